"""Event loop with a virtual clock that advances to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from boragespool.types import Seconds

_ResultT = TypeVar('_ResultT')


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: Seconds = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout and return the ready events.

        Raises
        ------
        RuntimeError
            If there is no timeout, so the loop would wait forever.
        """
        if timeout is None:
            raise RuntimeError('no timer is set and no callback is ready')
        self.now_s += max(timeout, 0)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now_s


def run_in_virtual_time(coroutine: Coroutine[Any, Any, _ResultT]) -> _ResultT:
    """Run a coroutine that uses no sockets in virtual time.

    Parameters
    ----------
    coroutine : coroutine
        Coroutine to run. Its sleeps and timeouts take no real time.

    Returns
    -------
    object
        Result of the coroutine.
    """
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        return runner.run(coroutine)
