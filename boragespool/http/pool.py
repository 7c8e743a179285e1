"""Pool of HTTP client connections with keep-alive."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final, Self

from boragespool.http.client import HttpConnection, open_connection
from boragespool.http.failures import ExchangeFailure, FailureKind
from boragespool.http.response_buffers import ResponseBuffers

if TYPE_CHECKING:
    from boragespool.http.messages import HttpRequest, HttpResponse
    from boragespool.types import Address, Seconds

# Half of the server's idle timeout, so that a connection is rarely reused at
# the moment at which the server closes it.
_MAX_IDLE_S: Final = 30


class ConnectionPool:
    """Pool of connections to any number of addresses; async context manager.

    Parameters
    ----------
    connection_count : int
        Maximum number of concurrent exchanges; further ones wait.
    connect_timeout_s : float, optional
        Longest time for a TCP handshake, in seconds.
    buffers : ResponseBuffers, optional
        Limits of the responses, and the memory that the connections share;
        own ones with the default limits if it is missing.
    """

    def __init__(
        self,
        connection_count: int,
        connect_timeout_s: Seconds = math.inf,
        buffers: ResponseBuffers | None = None,
    ) -> None:
        """Create an empty pool."""
        self._buffers = buffers or ResponseBuffers()
        self._exchange_slots = asyncio.Semaphore(connection_count)
        self._connect_timeout_s = connect_timeout_s
        self._idle_by_address: dict[
            Address, list[tuple[Seconds, HttpConnection]]
        ] = {}

    async def __aenter__(self) -> Self:
        """Return the pool."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the idle connections."""
        for address in tuple(self._idle_by_address):
            self.close_idle(address)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to one address."""
        for _, connection in self._idle_by_address.pop(address, ()):
            connection.close()

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        timeout_s: Seconds,
    ) -> HttpResponse | ExchangeFailure:
        """Send one request over an idle or a new connection.

        Parameters
        ----------
        address : str
            ``ip:port``.
        request : HttpRequest
            Request; it is not sent again after a failure.
        timeout_s : float
            Longest time for waiting, TCP handshake and exchange together, in
            seconds.

        Returns
        -------
        HttpResponse or ExchangeFailure
            `ExchangeFailure.sent` is False if no byte was sent.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange_slots.acquire()
        except TimeoutError:
            return ExchangeFailure(
                FailureKind.TIMEOUT,
                sent=False,
                reason=f'no connection became free within {timeout_s!r} s',
            )
        try:
            return await self._exchange(address, request, deadline_s)
        finally:
            self._exchange_slots.release()

    async def _exchange(
        self,
        address: Address,
        request: HttpRequest,
        deadline_s: Seconds,
    ) -> HttpResponse | ExchangeFailure:
        loop = asyncio.get_running_loop()
        connection = self._take_idle(address) or await open_connection(
            address,
            min(deadline_s - loop.time(), self._connect_timeout_s),
            self._buffers,
        )
        if isinstance(connection, ExchangeFailure):
            return connection
        response = await connection.exchange(request, deadline_s - loop.time())
        if connection.usable:
            idle = self._idle_by_address.setdefault(address, [])
            idle.append((loop.time(), connection))
        return response

    def _take_idle(self, address: Address) -> HttpConnection | None:
        """Return the idle connection used last, or None.

        Connections that are closed or idle for too long are dropped.
        """
        idle = self._idle_by_address.get(address, [])
        oldest_s = asyncio.get_running_loop().time() - _MAX_IDLE_S
        while idle:
            last_used_at_s, connection = idle.pop()
            if last_used_at_s >= oldest_s and connection.usable:
                return connection
            connection.close()
        return None
