"""HTTP/1.1 client connection that runs one exchange at a time.

A failure states whether any byte of the request was sent, because that
decides whether a claim may be attempted again.
"""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Self, cast

import h11

from boragespool.http.messages import HttpResponse

if TYPE_CHECKING:
    from boragespool.http.messages import HttpRequest
    from boragespool.types import Address, Seconds


class FailureKind(enum.StrEnum):
    """How an exchange failed."""

    REFUSED = 'refused'
    TIMEOUT = 'timeout'
    CLOSED = 'closed'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """Result of an exchange that ended without a response.

    Attributes
    ----------
    kind : FailureKind
        How it failed.
    sent : bool
        Whether any byte of the request may have left this process.
    reason : str
        Error message of one sentence.
    """

    kind: FailureKind
    sent: bool
    reason: str


class HttpConnection(asyncio.Protocol):
    """One client connection; use `open_connection` to create it.

    Received bytes are parsed in the callback of the transport, which takes
    less time than reading a stream in a coroutine.
    """

    def __init__(self, address: Address) -> None:
        """Set up a connection whose transport is not yet connected."""
        self.address = address
        self._transport: asyncio.Transport | None = None
        self._protocol = h11.Connection(h11.CLIENT)
        self._usable = False
        self._peer_closed = False
        self._response_future: (
            asyncio.Future[HttpResponse | ExchangeFailure] | None
        )
        self._response_future = None
        self._echo_header: tuple[str, str] | None = None
        self._request: h11.Request | None = None
        self._request_body = b''
        self._response_head: h11.Response | None = None
        self._body_parts: list[bytes] = []

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
        self._protocol.receive_data(received)
        self._parse()

    def eof_received(self) -> None:
        """Complete a response that ends with the connection, or fail it."""
        self._usable = False
        self._peer_closed = True
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._protocol.receive_data(b'')
            self._parse()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the running exchange."""
        self._usable = False
        reason = 'the connection closed' if error is None else str(error)
        self._set_result(self._failure(FailureKind.CLOSED, reason))

    def close(self) -> None:
        """Abort the connection; a running exchange fails as closed."""
        self._usable = False
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
        self._body_parts = []
        self._echo_header = echo_header
        self._response_future = result
        timer = loop.call_later(timeout_s, self._fail_with_timeout, timeout_s)

        def on_done(_: object) -> None:
            timer.cancel()
            if self._response_future is result:
                self._response_future = None

        result.add_done_callback(on_done)
        self._send(request)
        return result

    def _send(self, request: HttpRequest) -> None:
        headers = [*request.fields, *request.headers.items()]
        if not any(name == 'host' for name, _ in headers):
            headers.insert(0, ('host', self.address))
        if request.body or not request.fields:
            headers.append(('content-length', str(len(request.body))))
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=headers,
        )
        self._request = head
        self._request_body = request.body
        if self._transport is not None:
            self._transport.write(self._encode(head, request.body))

    def _encode(self, head: h11.Request, body: bytes) -> bytes:
        encoded = self._protocol.send(head) or b''
        if body:
            encoded += self._protocol.send(h11.Data(data=body)) or b''
        return encoded + (self._protocol.send(h11.EndOfMessage()) or b'')

    def _parse(self) -> None:
        """Parse the received bytes; set the result if they complete it."""
        try:
            result = self._next_response()
        except h11.RemoteProtocolError as error:
            # h11 raises this also if the peer closes within a response.
            closed = self._peer_closed
            kind = FailureKind.CLOSED if closed else FailureKind.MALFORMED
            result = self._failure(kind, str(error))
        if result is not None:
            self._set_result(result)

    def _next_response(self) -> HttpResponse | ExchangeFailure | None:
        """Return the response, or None if it is not complete yet."""
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Data):
                self._body_parts.append(bytes(event.data))
            elif isinstance(event, h11.Response):
                self._response_head = event
            elif not isinstance(event, h11.InformationalResponse):
                return self._handle_last_event(event)

    def _handle_last_event(
        self, event: object
    ) -> HttpResponse | ExchangeFailure | None:
        """Return the result after an event that follows the body.

        Return None if the response is not complete yet.
        """
        if event is h11.NEED_DATA:
            return None
        if (
            isinstance(event, h11.EndOfMessage)
            and self._response_head is not None
        ):
            response = _to_http_response(
                self._response_head, b''.join(self._body_parts)
            )
            if self._is_stale_response(response):
                return self._skip_stale_response()
            self._start_next_cycle()
            return response
        return self._failure(
            FailureKind.CLOSED,
            'the peer closed the connection without a response',
        )

    def _is_stale_response(self, response: HttpResponse) -> bool:
        """Return whether the response belongs to an earlier request."""
        if self._echo_header is None:
            return False
        name, expected = self._echo_header
        return response.field(name) not in {None, expected}

    def _skip_stale_response(self) -> HttpResponse | ExchangeFailure | None:
        """Discard a stale response and parse the bytes that follow it."""
        received, is_closed = self._protocol.trailing_data
        if is_closed or self._request is None:
            return self._failure(
                FailureKind.CLOSED,
                'only the response to an earlier request arrived',
            )
        self._protocol = h11.Connection(h11.CLIENT)
        # Puts the new parser into the state after the request; sends nothing.
        self._encode(self._request, self._request_body)
        self._body_parts = []
        if not received:
            return None
        self._protocol.receive_data(received)
        return self._next_response()

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
            self._failure(
                FailureKind.TIMEOUT,
                f'{timeout_s!r} s passed without a response',
            ),
        )

    def _start_next_cycle(self) -> None:
        done = h11.DONE
        states = (self._protocol.our_state, self._protocol.their_state)
        # Bytes after the response would be taken for the next response.
        has_no_extra_bytes = not self._protocol.trailing_data[0]
        if states == (done, done) and has_no_extra_bytes:
            self._protocol.start_next_cycle()
        else:
            self.close()

    def _failure(self, kind: FailureKind, reason: str) -> ExchangeFailure:
        return ExchangeFailure(
            kind,
            sent=True,
            reason=f'exchange with {self.address!r} failed: {reason}',
        )


def _to_http_response(head: h11.Response, body: bytes) -> HttpResponse:
    fields = tuple(
        (name.decode('ascii'), text.decode('latin-1'))
        for name, text in head.headers
    )
    return HttpResponse(head.status_code, body, fields=fields)


async def open_connection(
    address: Address,
    timeout_s: Seconds,
) -> HttpConnection | ExchangeFailure:
    """Connect to an address.

    Parameters
    ----------
    address : str
        ``ip:port``.
    timeout_s : float
        Longest time for the TCP handshake, in seconds.

    Returns
    -------
    HttpConnection or ExchangeFailure
        A failure has the kind ``REFUSED`` or ``TIMEOUT`` and ``sent=False``.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await asyncio.get_running_loop().create_connection(
                partial(HttpConnection, address),
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
