"""HTTP/1.1 listener that hands complete requests to one handler.

Owns the listening socket and the caller connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Any, Final, Self, cast

from boragespool.events import Event, log_event
from boragespool.http.exchange import ServerExchange
from boragespool.http.read_limiter import ReadLimiter
from boragespool.http.messages import HttpResponse, failure_response
from boragespool.http.streams import CallerStream
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from boragespool.http.limits import HttpLimits
    from boragespool.http.messages import HttpRequest
    from boragespool.types import Address

_POLL_S: Final = 0.02
_BACKLOG: Final = 1024


class HttpServer:
    """Listener of one process, an async context manager.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on; port 0 picks a free one.
    limits : HttpLimits
        Bounds on sizes, connections and times.
    handler : callable
        Turns one request into one response. An exception becomes a response
        with `ResultCode.INTERNAL_ERROR`.
    cancel_on_close : bool, optional
        Whether the handler is cancelled when the caller closes the
        connection before it has the response.

    Attributes
    ----------
    limits : HttpLimits
        May be replaced at any time; a request that is being read keeps the
        limits with which it began.
    """

    def __init__(
        self,
        address: Address,
        limits: HttpLimits,
        handler: Callable[[HttpRequest], Coroutine[Any, Any, HttpResponse]],
        *,
        cancel_on_close: bool = False,
    ) -> None:
        """Keep the settings; `__aenter__` listens."""
        self.limits = limits
        self._address = address
        self._handler = handler
        self._cancel_on_close = cancel_on_close
        self._draining = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._in_flight = 0
        self._gate = ReadLimiter()

    async def __aenter__(self) -> Self:
        """Listen.

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
            backlog=_BACKLOG,
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and drop the remaining connections."""
        self.stop_listening()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._gate.close()

    @property
    def address(self) -> Address:
        """Address in use, with the chosen port."""
        if self._server is None or not self._server.sockets:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    @property
    def in_flight(self) -> int:
        """Requests that have begun to arrive and are not yet answered."""
        return self._in_flight

    @property
    def connection_count(self) -> int:
        """Open connections."""
        return len(self._tasks)

    def stop_listening(self) -> None:
        """Refuse new connections; open ones go on."""
        if self._server is not None:
            self._server.close()

    async def drain(self, timeout_s: float) -> bool:
        """Answer what is in flight, then close every connection.

        Each response from now on carries ``Connection: close``.

        Returns
        -------
        bool
            Whether all connections closed within `timeout_s` seconds.
        """
        self.stop_listening()
        self._draining = True
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while self._tasks and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(_POLL_S)
        return not self._tasks

    def _new_protocol(self) -> asyncio.StreamReaderProtocol:
        reader = CallerStream()
        return asyncio.StreamReaderProtocol(reader, self._serve_connection)

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection in its own task."""
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
        """Serve requests until one side wants to close."""
        if len(self._tasks) > self.limits.connection_count:
            await self._respond(
                exchange,
                _too_many(self.limits),
                close=True,
            )
            await exchange.lingering_close(self.limits)
            return
        while await self._wait_for_request(exchange):
            self._in_flight += 1
            try:
                await self._gate.acquire(deferred=exchange.deferred)
                keep_open = await self._serve_one(exchange)
            finally:
                self._in_flight -= 1
            if not keep_open:
                return

    async def _wait_for_request(self, exchange: ServerExchange) -> bool:
        """Wait for the first byte of a request; stop early when draining."""
        loop = asyncio.get_running_loop()
        idle_until_s = loop.time() + self.limits.idle_timeout_s
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._idle_slice_s()):
                    return await exchange.wait_for_bytes()
            if self._draining or loop.time() >= idle_until_s:
                return False

    def _idle_slice_s(self) -> float:
        """Return how long to sleep between two looks at the drain flag."""
        return _POLL_S if self._draining else min(1, self.limits.idle_timeout_s)

    async def _serve_one(self, exchange: ServerExchange) -> bool:
        """Read, handle and answer one request; tell whether to go on."""
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
        response = await self._handle_for(exchange, received)
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

    async def _handle_for(
        self,
        exchange: ServerExchange,
        request: HttpRequest,
    ) -> HttpResponse | None:
        """Return the response; None if the caller left before it was ready."""
        if not self._cancel_on_close:
            return await self._handle(request)
        if exchange.reader.peer_closed:
            return None
        handling = asyncio.create_task(self._handle(request))
        exchange.reader.on_peer_close = handling.cancel
        try:
            return await handling
        except asyncio.CancelledError:
            handling.cancel()
            if exchange.reader.peer_closed:
                return None
            raise
        finally:
            exchange.reader.on_peer_close = None

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        """Call the handler; an exception must not show its traceback."""
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


def _too_many(limits: HttpLimits) -> HttpResponse:
    return failure_response(
        Failure(
            ResultCode.TOO_MANY_CONNECTIONS,
            f'more than {limits.connection_count} connections are open',
            retry_after_s=1,
        ),
    )
