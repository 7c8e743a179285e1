"""Bounded pool of HTTP connections to one backend server."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from boragespool.http import ExchangeFailure, FailureKind, open_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.http import HttpConnection, HttpRequest, HttpResponse
    from boragespool.timers import TimerService
    from boragespool.types import Address, Seconds

#: Shorter than the idle timeout of usual HTTP servers, so that requests are
#: rarely sent on a connection that the server is closing.
_IDLE_TIMEOUT_S: Final = 20
#: The second try uses a new connection, if the first was closed before any
#: byte was sent on it.
_MAX_TRIES: Final = 2


class BackendConnectionPool:
    """Opens connections to one address on demand and reuses idle ones.

    Parameters
    ----------
    address : str
        ``ip:port`` of the backend server.
    connection_count : int
        Largest number of connections that are open at the same time.
    timers : TimerService
        Clock for timeouts and for the age of idle connections.
    """

    def __init__(
        self,
        address: Address,
        connection_count: int,
        timers: TimerService,
    ) -> None:
        """Set up a pool without open connections."""
        self.address = address
        self._timers = timers
        self._permits = asyncio.Semaphore(max(1, connection_count))
        self._idle: list[tuple[Seconds, HttpConnection]] = []
        self._in_use: set[HttpConnection] = set()

    @property
    def open_count(self) -> int:
        """Number of open connections, in use or idle."""
        return len(self._idle) + len(self._in_use)

    def close(self) -> None:
        """Close all connections; running exchanges fail with ``CLOSED``."""
        self.close_idle()
        for connection in self._in_use:
            connection.close()

    def close_idle(self, older_than_s: Seconds = 0) -> None:
        """Close the connections that were idle for at least `older_than_s`."""
        cutoff_s = self._timers.now_s() - older_than_s
        for idle_since_s, connection in self._idle:
            if idle_since_s <= cutoff_s:
                connection.close()
        self._idle = [entry for entry in self._idle if entry[0] > cutoff_s]

    def close_expired(self) -> None:
        """Close the connections that were idle for the idle timeout."""
        self.close_idle(_IDLE_TIMEOUT_S)

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: Seconds,
        on_connected: Callable[[HttpConnection], None] | None = None,
    ) -> HttpResponse | ExchangeFailure:
        """Send one request on an idle or a new connection.

        A connection that was closed before any byte was sent is replaced once.

        Parameters
        ----------
        request : HttpRequest
            Request to send.
        timeout_s : float
            Longest time to wait for a free connection, to connect and to
            exchange, in seconds.
        on_connected : callable, optional
            Called with the connection before the request is sent.

        Returns
        -------
        HttpResponse or ExchangeFailure
            Response of the server, or why there is none.
        """
        deadline_at_s = self._timers.now_s() + timeout_s
        if not await self._acquire_permit(timeout_s):
            return self._pool_exhausted_failure(timeout_s)
        try:
            return await self._exchange(request, deadline_at_s, on_connected)
        finally:
            self._permits.release()

    async def _acquire_permit(self, timeout_s: Seconds) -> bool:
        """Wait until a connection may be used; False after the timeout."""
        if not self._permits.locked():
            return await self._permits.acquire()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._permits.acquire()
        except TimeoutError:
            return False

    async def _exchange(
        self,
        request: HttpRequest,
        deadline_at_s: Seconds,
        on_connected: Callable[[HttpConnection], None] | None,
    ) -> HttpResponse | ExchangeFailure:
        connection: HttpConnection | ExchangeFailure | None = self._pop_idle()
        for _ in range(_MAX_TRIES):
            if connection is None:
                left_s = max(0, deadline_at_s - self._timers.now_s())
                connection = await open_connection(self.address, left_s)
            if isinstance(connection, ExchangeFailure):
                return connection
            if on_connected is not None:
                on_connected(connection)
            left_s = max(0, deadline_at_s - self._timers.now_s())
            result = await self._exchange_on(connection, request, left_s)
            if not _may_retry(result):
                break
            connection = None
        return result

    async def _exchange_on(
        self,
        connection: HttpConnection,
        request: HttpRequest,
        timeout_s: Seconds,
    ) -> HttpResponse | ExchangeFailure:
        self._in_use.add(connection)
        try:
            return await connection.exchange(request, timeout_s)
        finally:
            self._in_use.discard(connection)
            if connection.usable:
                self._idle.append((self._timers.now_s(), connection))

    def _pop_idle(self) -> HttpConnection | None:
        """Return the most recently used idle connection, or None."""
        with contextlib.suppress(IndexError):
            return self._idle.pop()[1]
        return None

    def _pool_exhausted_failure(self, timeout_s: Seconds) -> ExchangeFailure:
        return ExchangeFailure(
            FailureKind.TIMEOUT,
            sent=False,
            reason=f'no connection to {self.address!r} became free within '
            f'{timeout_s!r} s',
        )


def _may_retry(result: HttpResponse | ExchangeFailure) -> bool:
    if not isinstance(result, ExchangeFailure):
        return False
    return result.kind == FailureKind.CLOSED and not result.sent
