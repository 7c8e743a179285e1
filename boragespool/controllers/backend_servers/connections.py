"""Connections to one backend server: bounded, opened on demand, reused."""

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

#: Shorter than the idle timeout of usual HTTP servers, so that a request
#: rarely meets a connection that is being closed.
_IDLE_TIMEOUT_S: Final = 20
#: The first connection, and one more if no byte was sent on it.
_MAX_TRIES: Final = 2


class BackendConnectionPool:
    """Owns all connections to one address, an async context manager.

    Parameters
    ----------
    address : str
        ``ip:port`` of the backend server.
    connection_count : int
        Connections that may be open at the same time.
    timers : TimerService
        Clock of the idle connections.
    """

    def __init__(
        self,
        address: Address,
        connection_count: int,
        timers: TimerService,
    ) -> None:
        """Open nothing yet."""
        self.address = address
        self._timers = timers
        self._permits = asyncio.Semaphore(max(1, connection_count))
        self._idle: list[tuple[Seconds, HttpConnection]] = []
        self._in_use: set[HttpConnection] = set()

    @property
    def open_count(self) -> int:
        """Connections in use and idle."""
        return len(self._idle) + len(self._in_use)

    def close(self) -> None:
        """Close all connections; exchanges under way fail as closed."""
        self.close_idle()
        for connection in self._in_use:
            connection.close()

    def close_idle(self, older_than_s: Seconds = 0) -> None:
        """Close the connections that were idle for at least this time."""
        cutoff_s = self._timers.now_s() - older_than_s
        for idle_since_s, connection in self._idle:
            if idle_since_s <= cutoff_s:
                connection.close()
        self._idle = [entry for entry in self._idle if entry[0] > cutoff_s]

    def close_expired(self) -> None:
        """Close connections that nobody used for a while."""
        self.close_idle(_IDLE_TIMEOUT_S)

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: Seconds,
        on_connected: Callable[[HttpConnection], None] | None = None,
    ) -> HttpResponse | ExchangeFailure:
        """Send one request on an idle or a new connection.

        Parameters
        ----------
        timeout_s : float
            Longest time for connecting and for the exchange, in seconds.
        on_connected : callable, optional
            Called with the connection before the request is sent.

        Returns
        -------
        HttpResponse or ExchangeFailure
            A connection that was closed before any byte was sent is replaced
            once.
        """
        deadline_at_s = self._timers.now_s() + timeout_s
        if not await self._acquire_permit(timeout_s):
            return self._no_free_connection(timeout_s)
        try:
            return await self._exchange(request, deadline_at_s, on_connected)
        finally:
            self._permits.release()

    async def _acquire_permit(self, timeout_s: Seconds) -> bool:
        """Wait until fewer connections are in use than allowed."""
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
        """Return the connection used last; None if none is idle."""
        with contextlib.suppress(IndexError):
            return self._idle.pop()[1]
        return None

    def _no_free_connection(self, timeout_s: Seconds) -> ExchangeFailure:
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
