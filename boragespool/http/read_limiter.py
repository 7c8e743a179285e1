"""Limits the number of requests parsed in one iteration of the event loop.

Parsing a request costs about as much as refusing it. Without a limit, a flood
of requests would fill whole iterations of the event loop with parsing before
any of them could be refused.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

#: Requests parsed in one iteration of the event loop. A refused request takes
#: about 1 ms, so timers and messages of peers wait about 8 ms for all of them.
_READS_PER_ITERATION: Final = 8
#: Rate limit of requests on deferred connections, which are those whose last
#: request was refused for overload. In a large flood they would otherwise use
#: all iterations; at 1 ms each they use a quarter of a core.
DEFERRED_REQUESTS_PER_S: Final = 250
_DEFERRED_BURST_COUNT: Final = 8


class ReadLimiter:
    """Grants connections permission to read their next request.

    Connections are served in order of arrival. Deferred connections are served
    after all others, limited to `DEFERRED_REQUESTS_PER_S` by a token bucket.
    The newest of them go first, as the oldest may have missed their
    deadlines (adaptive LIFO; Maurer, "Fail at scale", ACM Queue 2015).
    """

    def __init__(self) -> None:
        """Start without waiting connections."""
        self._reads_left = _READS_PER_ITERATION
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._deferred: deque[asyncio.Future[None]] = deque()
        self._deferred_tokens: float = _DEFERRED_BURST_COUNT
        self._tokens_updated_s: float = 0
        self._scheduled_release: asyncio.Handle | None = None

    async def acquire(self, *, deferred: bool) -> None:
        """Wait until the connection may read its next request.

        Parameters
        ----------
        deferred : bool
            Whether the last request of the connection was refused for
            overload. Other connections then go first, and
            `DEFERRED_REQUESTS_PER_S` applies.
        """
        if not deferred and self._reads_left and not self._waiting:
            self._reads_left -= 1
            self._schedule_release(0)
            return
        waiter = asyncio.get_running_loop().create_future()
        (self._deferred if deferred else self._waiting).append(waiter)
        self._schedule_release(0)
        await waiter

    def close(self) -> None:
        """Cancel the scheduled callback.

        Connections that still wait would never be served.
        """
        if self._scheduled_release is not None:
            self._scheduled_release.cancel()

    def _schedule_release(self, delay_s: float) -> None:
        if self._scheduled_release is not None:
            return
        loop = asyncio.get_running_loop()
        if delay_s:
            self._scheduled_release = loop.call_later(
                delay_s, self._release_next
            )
        else:
            self._scheduled_release = loop.call_soon(self._release_next)

    def _release_next(self) -> None:
        self._scheduled_release = None
        released_count = _release(
            self._waiting.popleft, len(self._waiting), _READS_PER_ITERATION
        )
        self._reads_left = _READS_PER_ITERATION - released_count
        now_s = asyncio.get_running_loop().time()
        new_tokens = (now_s - self._tokens_updated_s) * DEFERRED_REQUESTS_PER_S
        tokens = min(_DEFERRED_BURST_COUNT, self._deferred_tokens + new_tokens)
        tokens -= _release(
            self._deferred.pop,
            len(self._deferred),
            min(self._reads_left, int(tokens)),
        )
        self._deferred_tokens = tokens
        self._tokens_updated_s = now_s
        if self._waiting or self._reads_left < _READS_PER_ITERATION:
            self._schedule_release(0)
        elif self._deferred:
            self._schedule_release(1 / DEFERRED_REQUESTS_PER_S)


def _release(
    pop_waiter: Callable[[], asyncio.Future[None]],
    waiting_count: int,
    limit: int,
) -> int:
    """Release up to `limit` waiters and return how many were released."""
    released_count = 0
    for _ in range(waiting_count):
        if released_count == limit:
            break
        waiter = pop_waiter()
        # The future of a cancelled connection is done already and not counted.
        if not waiter.done():
            waiter.set_result(None)
            released_count += 1
    return released_count
