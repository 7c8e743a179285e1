"""Bounds how many requests one turn of the event loop parses.

Parsing costs about as much as refusing, so that a flood would fill the turns
of the loop before any of its requests could be refused.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

#: Requests parsed in one turn. One that is refused costs about 1 ms, so that
#: timers and messages of peers wait about 8 ms for them.
_TURN_COUNT: Final = 8
#: Requests per second on connections whose last request was refused for
#: overload. They would otherwise take all turns in a large flood; at 1 ms each
#: they take a quarter of a core.
DEFERRED_REQUESTS_PER_S: Final = 250
_DEFERRED_BURST: Final = 8


class ReadLimiter:
    """Lets connections read their next request, in order of arrival.

    Deferred ones go newest first, as the oldest may have missed their
    deadlines (adaptive LIFO; Maurer, "Fail at scale", ACM Queue 2015).
    """

    def __init__(self) -> None:
        """Start open."""
        self._free = _TURN_COUNT
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._deferred: deque[asyncio.Future[None]] = deque()
        self._deferred_credit: float = _DEFERRED_BURST
        self._credit_at_s: float = 0
        self._turn: asyncio.Handle | None = None

    async def acquire(self, *, deferred: bool) -> None:
        """Wait for a turn.

        Parameters
        ----------
        deferred : bool
            Whether other connections go first and `DEFERRED_REQUESTS_PER_S` applies.
        """
        if not deferred and self._free and not self._waiting:
            self._free -= 1
            self._plan_turn(0)
            return
        entry = asyncio.get_running_loop().create_future()
        (self._deferred if deferred else self._waiting).append(entry)
        self._plan_turn(0)
        await entry

    def close(self) -> None:
        """Plan no further turn; used when the connections are cancelled."""
        if self._turn is not None:
            self._turn.cancel()

    def _plan_turn(self, delay_s: float) -> None:
        if self._turn is not None:
            return
        loop = asyncio.get_running_loop()
        if delay_s:
            self._turn = loop.call_later(delay_s, self._take_turn)
        else:
            self._turn = loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._turn = None
        passed = _release(
            self._waiting.popleft, len(self._waiting), _TURN_COUNT
        )
        self._free = _TURN_COUNT - passed
        now_s = asyncio.get_running_loop().time()
        earned = (now_s - self._credit_at_s) * DEFERRED_REQUESTS_PER_S
        credit = min(_DEFERRED_BURST, self._deferred_credit + earned)
        credit -= _release(
            self._deferred.pop,
            len(self._deferred),
            min(self._free, int(credit)),
        )
        self._deferred_credit = credit
        self._credit_at_s = now_s
        if self._waiting or self._free < _TURN_COUNT:
            self._plan_turn(0)
        elif self._deferred:
            self._plan_turn(1 / DEFERRED_REQUESTS_PER_S)


def _release(
    take: Callable[[], asyncio.Future[None]],
    waiting: int,
    count: int,
) -> int:
    """Let up to `count` of the waiting entries pass; return how many did."""
    released = 0
    for _ in range(waiting):
        if released == count:
            break
        entry = take()
        # A connection that was cancelled takes no turn.
        if not entry.done():
            entry.set_result(None)
            released += 1
    return released
