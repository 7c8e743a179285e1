"""HTTP/1.1 client connection that runs one exchange at a time."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Self, cast

import h11

from boragespool.http.failures import ExchangeFailure, FailureKind
from boragespool.http.response_buffers import ResponseBuffers
from boragespool.http.response_parser import ResponseParser

if TYPE_CHECKING:
    from boragespool.http.messages import HttpRequest, HttpResponse
    from boragespool.types import Address, Seconds


class HttpConnection(asyncio.Protocol):
    """One client connection; use `open_connection` to create it.

    Received bytes are parsed in the callback of the transport, which takes
    less time than reading a stream in a coroutine.

    Parameters
    ----------
    address : str
        ``ip:port`` of the peer.
    buffers : ResponseBuffers, optional
        Limits of responses, and the memory that all connections share; own
        ones with the default limits if it is missing.
    """

    def __init__(
        self, address: Address, buffers: ResponseBuffers | None = None
    ) -> None:
        """Set up a connection whose transport is not yet connected."""
        self.address = address
        self._transport: asyncio.Transport | None = None
        self._parser = ResponseParser(
            address, self, buffers or ResponseBuffers()
        )
        self._usable = False
        self._response_future: (
            asyncio.Future[HttpResponse | ExchangeFailure] | None
        )
        self._response_future = None

    async def __aenter__(self) -> Self:
        """Return the open connection."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the connection."""
        self.close()

    @property
    def usable(self) -> bool:
        """Whether the connection is open for another exchange."""
        return self._usable

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the connected transport."""
        self._transport = cast('asyncio.Transport', transport)
        self._usable = True

    def data_received(self, received: bytes) -> None:
        """Parse received bytes of the response.

        If no exchange is running, the connection is closed, because the bytes
        would be taken for the next response.
        """
        if self._response_future is None or self._response_future.done():
            self.close()
            return
        self._handle_result(self._parser.receive(received))

    def eof_received(self) -> None:
        """Complete a response that ends with the connection, or fail it."""
        self._usable = False
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._handle_result(self._parser.receive(b''))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the running exchange."""
        self._usable = False
        reason = 'the connection closed' if error is None else str(error)
        self._set_result(self._parser.failure(FailureKind.CLOSED, reason))

    def close(self) -> None:
        """Abort the connection; a running exchange fails as closed."""
        self._usable = False
        self._parser.clear_body()
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: Seconds,
    ) -> HttpResponse | ExchangeFailure:
        """Send one request and read its response.

        Parameters
        ----------
        request : HttpRequest
            Request; its body is sent with a Content-Length.
        timeout_s : float
            Longest time for the whole exchange, in seconds.

        Returns
        -------
        HttpResponse or ExchangeFailure
            After a failure the connection is closed.

        Notes
        -----
        If the call is cancelled, the connection is closed, so that a late
        response is not taken for the response to the next request.
        """
        result = self.start_exchange(request, timeout_s)
        try:
            return await result
        except asyncio.CancelledError:
            self.close()
            raise

    def start_exchange(
        self,
        request: HttpRequest,
        timeout_s: Seconds,
        echo_header: tuple[str, str] | None = None,
    ) -> asyncio.Future[HttpResponse | ExchangeFailure]:
        """Send one request and return a future of its response.

        Parameters
        ----------
        request : HttpRequest
            Request; its body is sent with a Content-Length.
        timeout_s : float
            Longest time for the whole exchange, in seconds.
        echo_header : tuple of str, optional
            Name in lower case and value of a header field of the request that
            the server repeats in its response. A response with another value
            belongs to an earlier request and is discarded.

        Returns
        -------
        asyncio.Future
            Future of the result as in `exchange`; it has no exception. Call
            `close` to abandon the exchange.
        """
        loop = asyncio.get_running_loop()
        result: asyncio.Future[HttpResponse | ExchangeFailure]
        result = loop.create_future()
        if not self.usable:
            self.close()
            result.set_result(
                ExchangeFailure(
                    FailureKind.CLOSED,
                    sent=False,
                    reason=f'{self.address!r} closed the idle connection',
                ),
            )
            return result
        self._response_future = result
        timer = loop.call_later(timeout_s, self._fail_with_timeout, timeout_s)

        def on_done(_: object) -> None:
            timer.cancel()
            if self._response_future is result:
                self._response_future = None

        result.add_done_callback(on_done)
        try:
            encoded = self._parser.start(request, echo_header)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self._set_result(
                ExchangeFailure(
                    FailureKind.MALFORMED,
                    sent=False,
                    reason=f'the request cannot be sent: {error}',
                ),
            )
            return result
        if self._transport is not None:
            self._transport.write(encoded)
        return result

    def abort_response(self, reason: str) -> None:
        """Fail the exchange because its response is too large."""
        self._set_result(self._parser.failure(FailureKind.TOO_LARGE, reason))

    def _handle_result(
        self, result: HttpResponse | ExchangeFailure | None
    ) -> None:
        if self._parser.is_interrupted:
            self._pause_reading()
            return
        if result is None:
            return
        if not self._parser.is_reusable:
            self.close()
        self._set_result(result)

    def _pause_reading(self) -> None:
        """Parse the rest of the received bytes after other callbacks."""
        if self._transport is not None:
            self._transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._resume)

    def _resume(self) -> None:
        if self._response_future is None or self._response_future.done():
            return
        result = self._parser.resume()
        if self._transport is not None and not self._parser.is_interrupted:
            self._transport.resume_reading()
        self._handle_result(result)

    def _set_result(self, result: HttpResponse | ExchangeFailure) -> None:
        if isinstance(result, ExchangeFailure):
            self.close()
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_result(result)

    def _fail_with_timeout(self, timeout_s: Seconds) -> None:
        self._set_result(
            self._parser.failure(
                FailureKind.TIMEOUT,
                f'{timeout_s!r} s passed without a response',
            ),
        )


async def open_connection(
    address: Address,
    timeout_s: Seconds,
    buffers: ResponseBuffers | None = None,
) -> HttpConnection | ExchangeFailure:
    """Connect to an address.

    Parameters
    ----------
    address : str
        ``ip:port``.
    timeout_s : float
        Longest time for the TCP handshake, in seconds.
    buffers : ResponseBuffers, optional
        Limits of responses, and the memory that connections share.

    Returns
    -------
    HttpConnection or ExchangeFailure
        A failure has the kind ``REFUSED`` or ``TIMEOUT`` and ``sent=False``.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await asyncio.get_running_loop().create_connection(
                partial(HttpConnection, address, buffers),
                host,
                int(port),
            )
    except TimeoutError:
        return ExchangeFailure(
            FailureKind.TIMEOUT,
            sent=False,
            reason=f'{address!r} did not accept within {timeout_s!r} s',
        )
    except OSError as error:
        return ExchangeFailure(
            FailureKind.REFUSED,
            sent=False,
            reason=f'{address!r} refused the connection: {error}',
        )
    return connection
