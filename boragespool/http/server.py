"""HTTP/1.1 server that passes complete requests to one handler.

Owns the listening socket and the connections that it accepted.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Any, Final, Self, cast

from boragespool.events import Event, log_event
from boragespool.http.exchange import ServerExchange
from boragespool.http.messages import HttpResponse, failure_response
from boragespool.http.read_limiter import ReadLimiter
from boragespool.http.streams import CallerStream
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from boragespool.http.limits import HttpLimits
    from boragespool.http.messages import HttpRequest
    from boragespool.types import Address

#: Polling interval during a drain, in seconds.
_DRAIN_POLL_S: Final = 0.02
_LISTEN_BACKLOG: Final = 1024


class HttpServer:
    """HTTP server with one listening socket, an async context manager.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on; port 0 selects a free port.
    limits : HttpLimits
        Limits of sizes, connections and times.
    handler : callable
        Coroutine function that returns the response to a request. If it
        raises, the response is a failure with `ResultCode.INTERNAL_ERROR`.
    cancel_on_close : bool, optional
        Whether the handler is cancelled when the caller closes the
        connection before the response is ready.

    Attributes
    ----------
    limits : HttpLimits
        Limits in use. They may be replaced at any time; a request that is
        being read keeps the limits with which reading began.
    """

    def __init__(
        self,
        address: Address,
        limits: HttpLimits,
        handler: Callable[[HttpRequest], Coroutine[Any, Any, HttpResponse]],
        *,
        cancel_on_close: bool = False,
    ) -> None:
        """Set up a server that does not listen before `__aenter__`."""
        self.limits = limits
        self._address = address
        self._handler = handler
        self._cancel_on_close = cancel_on_close
        self._draining = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        #: Connections without a request, longest idle first.
        self._idle_tasks: dict[asyncio.Task[None], None] = {}
        self._in_flight = 0
        self._read_limiter = ReadLimiter()

    async def __aenter__(self) -> Self:
        """Start to listen.

        Raises
        ------
        OSError
            If the address is in use or is not local.
        """
        host, _, port = self._address.rpartition(':')
        self._server = await asyncio.get_running_loop().create_server(
            self._new_protocol,
            host,
            int(port),
            backlog=_LISTEN_BACKLOG,
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and abort the remaining connections."""
        self.stop_listening()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._read_limiter.close()

    @property
    def address(self) -> Address:
        """``ip:port`` on which the server listens."""
        if self._server is None or not self._server.sockets:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    @property
    def in_flight(self) -> int:
        """Number of requests that began to arrive and are not yet answered."""
        return self._in_flight

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._server is not None:
            self._server.close()

    async def drain(self, timeout_s: float) -> bool:
        """Finish the requests in flight, then close every connection.

        From now on each response has the header ``Connection: close``.

        Returns
        -------
        bool
            Whether all connections closed within `timeout_s` seconds.
        """
        self.stop_listening()
        self._draining = True
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while self._tasks and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(_DRAIN_POLL_S)
        return not self._tasks

    def _new_protocol(self) -> asyncio.StreamReaderProtocol:
        reader = CallerStream()
        return asyncio.StreamReaderProtocol(reader, self._serve_connection)

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection; asyncio runs this in a task of its own."""
        task = asyncio.current_task()
        if task is None:
            return
        self._tasks.add(task)
        try:
            await self._serve_requests(
                ServerExchange(cast('CallerStream', reader), writer)
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve_requests(self, exchange: ServerExchange) -> None:
        """Serve requests until the connection is to be closed."""
        is_full = len(self._tasks) > self.limits.connection_count
        if is_full and not self._close_longest_idle():
            await self._respond(
                exchange,
                _too_many_connections(self.limits),
                close=True,
            )
            await exchange.lingering_close(self.limits)
            return
        while await self._wait_for_request(exchange):
            self._in_flight += 1
            try:
                await self._read_limiter.acquire(deferred=exchange.deferred)
                keep_open = await self._serve_one(exchange)
            finally:
                self._in_flight -= 1
            if not keep_open:
                return

    def _close_longest_idle(self) -> bool:
        """Close the longest idle connection; return False if there is none.

        None of its bytes has been read, so no request is lost.
        """
        if not self._idle_tasks:
            return False
        task = next(iter(self._idle_tasks))
        self._idle_tasks.pop(task)
        task.cancel()
        return True

    async def _wait_for_request(self, exchange: ServerExchange) -> bool:
        """Wait for the first byte of a request; see `_wait_for_bytes`."""
        task = asyncio.current_task()
        if task is None:
            return False
        self._idle_tasks[task] = None
        try:
            return await self._wait_for_bytes(exchange)
        finally:
            self._idle_tasks.pop(task, None)

    async def _wait_for_bytes(self, exchange: ServerExchange) -> bool:
        """Wait for the first byte of a request.

        Return False if the connection is idle for too long, closed by the
        peer, or idle during a drain.
        """
        loop = asyncio.get_running_loop()
        idle_until_s = loop.time() + self.limits.idle_timeout_s
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._idle_poll_s()):
                    return await exchange.wait_for_bytes()
            if self._draining or loop.time() >= idle_until_s:
                return False

    def _idle_poll_s(self) -> float:
        """Return the interval for checking whether a drain began."""
        return (
            _DRAIN_POLL_S
            if self._draining
            else min(1, self.limits.idle_timeout_s)
        )

    async def _serve_one(self, exchange: ServerExchange) -> bool:
        """Serve one request; return whether the connection stays open."""
        received = await exchange.read_request(self.limits)
        if isinstance(received, Failure):
            log_event(
                Event.CALLER_REJECTED,
                received.reason,
                level=logging.DEBUG,
                code=int(received.code),
            )
            await self._respond(
                exchange,
                failure_response(received),
                close=True,
            )
            await exchange.lingering_close(self.limits)
            return False
        response = await self._handle_while_connected(exchange, received)
        if response is None:
            return False
        exchange.deferred = response.defer_next
        close = response.close or self._draining
        return await self._respond(exchange, response, close=close)

    async def _respond(
        self,
        exchange: ServerExchange,
        response: HttpResponse,
        *,
        close: bool,
    ) -> bool:
        return await exchange.respond(
            response,
            self.limits.write_timeout_s,
            close=close,
        )

    async def _handle_while_connected(
        self,
        exchange: ServerExchange,
        request: HttpRequest,
    ) -> HttpResponse | None:
        """Return the response, or None if the caller closed before that."""
        if not self._cancel_on_close:
            return await self._handle(request)
        if exchange.reader.peer_closed:
            return None
        handler_task = asyncio.create_task(self._handle(request))
        exchange.reader.on_peer_close = handler_task.cancel
        try:
            return await handler_task
        except asyncio.CancelledError:
            handler_task.cancel()
            if exchange.reader.peer_closed:
                return None
            raise
        finally:
            exchange.reader.on_peer_close = None

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        """Call the handler; log an exception and answer with a failure.

        The response does not contain the traceback.
        """
        try:
            return await self._handler(request)
        except Exception as error:
            log_event(
                Event.HANDLER_FAILED,
                f'{request.method} {request.path} raised {error!r}',
                level=logging.ERROR,
            )
            return failure_response(
                Failure(
                    ResultCode.INTERNAL_ERROR,
                    'the request failed inside the daemon; see event 201',
                    RunState.UNKNOWN,
                ),
            )


def _too_many_connections(limits: HttpLimits) -> HttpResponse:
    return failure_response(
        Failure(
            ResultCode.TOO_MANY_CONNECTIONS,
            f'more than {limits.connection_count} connections are open',
            retry_after_s=1,
        ),
    )
