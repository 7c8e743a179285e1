"""An event loop whose clock jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from boragespool.types import Seconds

_ResultT = TypeVar('_ResultT')


class _JumpingSelector(selectors.SelectSelector):
    """Adds each wait to the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: Seconds = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return at once.

        Raises
        ------
        RuntimeError
            If nothing would ever happen.
        """
        if timeout is None:
            raise RuntimeError('no timer is set and no callback is ready')
        self.now_s += max(timeout, 0)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._clock = _JumpingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now_s


def run_in_virtual_time(work: Coroutine[Any, Any, _ResultT]) -> _ResultT:
    """Run a coroutine without sockets in virtual time.

    Parameters
    ----------
    work : coroutine
        Sleeps and timeouts in it take no real time.

    Returns
    -------
    object
        Its result.
    """
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(work)
