"""HTTP/1.1 client connection for one exchange at a time.

Reports whether any byte of a request was sent, which decides whether a claim
may be attempted again.
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
    """Sentinel for an exchange without a response.

    Attributes
    ----------
    kind : FailureKind
        How it failed.
    sent : bool
        False only if no byte of the request left this process.
    reason : str
        One sentence.
    """

    kind: FailureKind
    sent: bool
    reason: str


class HttpConnection(asyncio.Protocol):
    """One client connection; open it with `open_connection`.

    The bytes that arrive are parsed in the callback of the transport, which
    takes less time than a stream that a coroutine reads.
    """

    def __init__(self, address: Address) -> None:
        """Start without a transport."""
        self.address = address
        self._transport: asyncio.Transport | None = None
        self._protocol = h11.Connection(h11.CLIENT)
        self._usable = False
        self._peer_closed = False
        self._result: asyncio.Future[HttpResponse | ExchangeFailure] | None
        self._result = None
        self._echo: tuple[str, str] | None = None
        self._request: h11.Request | None = None
        self._body = b''
        self._head: h11.Response | None = None
        self._parts: list[bytes] = []

    async def __aenter__(self) -> Self:
        """Return the open connection."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close it."""
        self.close()

    @property
    def usable(self) -> bool:
        """Whether another exchange may begin."""
        return self._usable

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use the transport."""
        self._transport = cast('asyncio.Transport', transport)
        self._usable = True

    def data_received(self, received: bytes) -> None:
        """Parse a part of the response.

        Bytes that nobody asked for would be read as the next response, so
        they end the connection.
        """
        if self._result is None or self._result.done():
            self.close()
            return
        self._protocol.receive_data(received)
        self._parse()

    def eof_received(self) -> None:
        """Finish a response that the end of the connection delimits."""
        self._usable = False
        self._peer_closed = True
        if self._result is not None and not self._result.done():
            self._protocol.receive_data(b'')
            self._parse()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange under way."""
        self._usable = False
        reason = 'the connection closed' if error is None else str(error)
        self._settle(self._failure(FailureKind.CLOSED, reason))

    def close(self) -> None:
        """Close at once; an exchange under way fails as closed."""
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
        A cancelled call closes the connection, so that a late response cannot
        reach the next request.
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
        echo: tuple[str, str] | None = None,
    ) -> asyncio.Future[HttpResponse | ExchangeFailure]:
        """Send one request; the future gets its response.

        Parameters
        ----------
        request : HttpRequest
            Request; its body is sent with a Content-Length.
        timeout_s : float
            Longest time for the whole exchange, in seconds.
        echo : tuple of str, optional
            Name in lower case and value of a header field that the server
            repeats. A response with another value answers an earlier request
            and is discarded.

        Returns
        -------
        asyncio.Future
            Never fails; see `exchange`. Call `close` to give up.
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
        self._parts = []
        self._echo = echo
        self._result = result
        timer = loop.call_later(timeout_s, self._time_out, timeout_s)

        def finish(_: object) -> None:
            timer.cancel()
            if self._result is result:
                self._result = None

        result.add_done_callback(finish)
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
        self._body = request.body
        if self._transport is not None:
            self._transport.write(self._encode(head, request.body))

    def _encode(self, head: h11.Request, body: bytes) -> bytes:
        encoded = self._protocol.send(head) or b''
        if body:
            encoded += self._protocol.send(h11.Data(data=body)) or b''
        return encoded + (self._protocol.send(h11.EndOfMessage()) or b'')

    def _parse(self) -> None:
        """Parse what has arrived; settle the exchange if that is all."""
        try:
            result = self._parsed()
        except h11.RemoteProtocolError as error:
            # h11 also rejects a close before the end of the response.
            closed = self._peer_closed
            kind = FailureKind.CLOSED if closed else FailureKind.MALFORMED
            result = self._failure(kind, str(error))
        if result is not None:
            self._settle(result)

    def _parsed(self) -> HttpResponse | ExchangeFailure | None:
        """Return the response, or None until it is complete."""
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Data):
                self._parts.append(bytes(event.data))
            elif isinstance(event, h11.Response):
                self._head = event
            elif not isinstance(event, h11.InformationalResponse):
                return self._ended(event)

    def _ended(self, event: object) -> HttpResponse | ExchangeFailure | None:
        """Return what the last of the events that have arrived means."""
        if event is h11.NEED_DATA:
            return None
        if isinstance(event, h11.EndOfMessage) and self._head is not None:
            response = _response(self._head, b''.join(self._parts))
            if self._is_stale(response):
                return self._skip()
            self._finish_cycle()
            return response
        return self._failure(FailureKind.CLOSED, 'no response arrived')

    def _is_stale(self, response: HttpResponse) -> bool:
        """Whether the response answers an earlier request."""
        if self._echo is None:
            return False
        name, expected = self._echo
        return response.field(name) not in {None, expected}

    def _skip(self) -> HttpResponse | ExchangeFailure | None:
        """Discard a stale response and parse what follows it."""
        received, is_closed = self._protocol.trailing_data
        if is_closed or self._request is None:
            return self._failure(FailureKind.CLOSED, 'only a stale response')
        self._protocol = h11.Connection(h11.CLIENT)
        self._encode(self._request, self._body)
        self._parts = []
        if not received:
            return None
        self._protocol.receive_data(received)
        return self._parsed()

    def _settle(self, result: HttpResponse | ExchangeFailure) -> None:
        if isinstance(result, ExchangeFailure):
            self.close()
        if self._result is not None and not self._result.done():
            self._result.set_result(result)

    def _time_out(self, timeout_s: Seconds) -> None:
        self._settle(
            self._failure(FailureKind.TIMEOUT, f'{timeout_s!r} s passed'),
        )

    def _finish_cycle(self) -> None:
        done = h11.DONE
        states = (self._protocol.our_state, self._protocol.their_state)
        # Bytes after the response would be read as the next response.
        is_clean = not self._protocol.trailing_data[0]
        if states == (done, done) and is_clean:
            self._protocol.start_next_cycle()
        else:
            self.close()

    def _failure(self, kind: FailureKind, reason: str) -> ExchangeFailure:
        return ExchangeFailure(
            kind,
            sent=True,
            reason=f'exchange with {self.address!r} failed: {reason}',
        )


def _response(head: h11.Response, body: bytes) -> HttpResponse:
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
        A failure of kind ``REFUSED`` or ``TIMEOUT`` with ``sent=False``.
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
