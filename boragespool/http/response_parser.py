"""Parses the responses that one client connection receives.

Owns the protocol state and the body that is being received.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from boragespool.http.failures import ExchangeFailure, FailureKind
from boragespool.http.limits import (
    EVENTS_PER_TURN,
    HEAD_READ_SIZE_BYTES,
    is_chunking_wasteful,
)
from boragespool.http.messages import (
    HttpResponse,
    encode_fields,
    read_fields,
)

if TYPE_CHECKING:
    from boragespool.http.messages import HttpRequest
    from boragespool.http.response_buffers import Receiver, ResponseBuffers
    from boragespool.types import Address


class ResponseParser:
    """Protocol state of one client connection.

    Parameters
    ----------
    address : str
        ``ip:port`` of the peer, for error messages.
    receiver : Receiver
        Connection that receives the responses.
    buffers : ResponseBuffers
        Limits of responses, and the memory that connections share.

    Attributes
    ----------
    is_interrupted : bool
        Whether received bytes are left to parse; see `resume`.
    """

    def __init__(
        self, address: Address, receiver: Receiver, buffers: ResponseBuffers
    ) -> None:
        """Start before the first request."""
        self._address = address
        self._receiver = receiver
        self._buffers = buffers
        self._protocol = h11.Connection(h11.CLIENT)
        self._echo_header: tuple[str, str] | None = None
        self._request_events: tuple[h11.Event, ...] = ()
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._piece_count = 0
        self._chunk_count = 0
        self._skipped_count = 0
        self._has_ended = False
        # Received bytes that the protocol has not been given yet.
        self._unparsed = b''
        self.is_interrupted = False

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can take another request.

        Bytes after the response would be taken for the next response.
        """
        states = (self._protocol.our_state, self._protocol.their_state)
        extra_bytes = self._protocol.trailing_data[0] or self._unparsed
        return states == (h11.DONE, h11.DONE) and not extra_bytes

    def start(
        self, request: HttpRequest, echo_header: tuple[str, str] | None
    ) -> bytes:
        """Begin an exchange; return the encoded request."""
        if self._request_events:
            self._protocol.start_next_cycle()
        self.clear_body()
        self._head = None
        self._skipped_count = 0
        self._echo_header = echo_header
        self._request_events = _request_events(request, self._address)
        return self._send_request()

    def receive(self, received: bytes) -> HttpResponse | ExchangeFailure | None:
        """Parse received bytes, which are empty at the end of the stream.

        Returns
        -------
        HttpResponse or ExchangeFailure or None
            None if the response is not complete yet.
        """
        self._has_ended = not received
        self._unparsed = received
        if self._has_ended:
            self._protocol.receive_data(received)
        return self.resume()

    def resume(self) -> HttpResponse | ExchangeFailure | None:
        """Parse on after an interruption; see `receive`.

        Parsing is interrupted after `EVENTS_PER_TURN` events, so that other
        connections get their turn; `is_interrupted` is then true.
        """
        self.is_interrupted = False
        try:
            return self._next_response()
        except h11.RemoteProtocolError as error:
            # h11 raises this also if the peer closes within a response.
            kind = (
                FailureKind.CLOSED if self._has_ended else FailureKind.MALFORMED
            )
            return self.failure(kind, str(error))

    def clear_body(self) -> None:
        """Free the memory of the body that is being received."""
        self._body = bytearray()
        self._piece_count = 0
        self._chunk_count = 0
        self._buffers.release(self._receiver)

    def failure(self, kind: FailureKind, reason: str) -> ExchangeFailure:
        """Return a failure of the exchange, whose request was sent."""
        return ExchangeFailure(
            kind,
            sent=True,
            reason=f'exchange with {self._address!r} failed: {reason}',
        )

    def _send_request(self) -> bytes:
        encoded = [self._protocol.send(event) for event in self._request_events]
        return b''.join(piece or b'' for piece in encoded)

    def _next_response(self) -> HttpResponse | ExchangeFailure | None:
        for _ in range(EVENTS_PER_TURN):
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                if not self._unparsed:
                    return None
                self._give_bytes()
                continue
            result = self._handle_event(event)
            if result is not None:
                return result
        self.is_interrupted = True
        return None

    def _give_bytes(self) -> None:
        """Give the protocol received bytes, at first only those of a head.

        It has no limit for a head that it gets at once.
        """
        count = len(self._unparsed)
        if self._head is None:
            count = HEAD_READ_SIZE_BYTES
        self._protocol.receive_data(self._unparsed[:count])
        self._unparsed = self._unparsed[count:]

    def _handle_event(
        self, event: object
    ) -> HttpResponse | ExchangeFailure | None:
        """Return the result, or None if further events follow."""
        if isinstance(event, h11.Data):
            return self._add_to_body(event)
        if isinstance(event, h11.InformationalResponse):
            return self._count_skipped_response()
        if isinstance(event, h11.Response):
            self._head = event
            return None
        if isinstance(event, h11.EndOfMessage) and self._head is not None:
            return self._complete_response(self._head)
        return self.failure(
            FailureKind.CLOSED,
            'the peer closed the connection without a response',
        )

    def _complete_response(
        self, head: h11.Response
    ) -> HttpResponse | ExchangeFailure | None:
        response = _to_http_response(head, bytes(self._body))
        self.clear_body()
        if not self._is_stale_response(response):
            return response
        return self._count_skipped_response() or self._skip_stale_response()

    def _add_to_body(self, event: h11.Data) -> ExchangeFailure | None:
        """Append to the body; return a failure if it is too large."""
        self._piece_count += 1
        self._chunk_count += event.chunk_start
        self._body += event.data
        limits = self._buffers.limits
        is_counted = self._buffers.add(self._receiver, len(event.data))
        is_wasteful = is_chunking_wasteful(self._chunk_count, len(self._body))
        if (
            is_counted
            and self._piece_count <= limits.piece_count
            and not is_wasteful
        ):
            return None
        return self.failure(
            FailureKind.TOO_LARGE,
            f'the body of {len(self._body)} bytes in {self._piece_count} '
            f'pieces exceeds {limits!r}, or has too many chunks',
        )

    def _count_skipped_response(self) -> ExchangeFailure | None:
        """Count a response to skip; return a failure after too many."""
        self._skipped_count += 1
        if self._skipped_count <= self._buffers.limits.skipped_count:
            return None
        return self.failure(
            FailureKind.TOO_LARGE,
            f'{self._skipped_count} informational or stale responses came '
            'before the response',
        )

    def _is_stale_response(self, response: HttpResponse) -> bool:
        """Return whether the response belongs to an earlier request."""
        if self._echo_header is None:
            return False
        name, expected = self._echo_header
        return response.field(name) not in {None, expected}

    def _skip_stale_response(self) -> ExchangeFailure | None:
        """Discard a stale response; the bytes after it are parsed next."""
        received, is_closed = self._protocol.trailing_data
        if is_closed:
            return self.failure(
                FailureKind.CLOSED,
                'only the response to an earlier request arrived',
            )
        self._protocol = h11.Connection(h11.CLIENT)
        self._head = None
        # Puts the new parser into the state after the request; the encoded
        # request is not sent.
        self._send_request()
        self._unparsed = received + self._unparsed
        return None


def _request_events(
    request: HttpRequest, address: Address
) -> tuple[h11.Event, ...]:
    headers = [*request.fields, *request.headers.items()]
    if not any(name == 'host' for name, _ in headers):
        headers.insert(0, ('host', address))
    if request.body or not request.fields:
        headers.append(('content-length', str(len(request.body))))
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=encode_fields(headers),
    )
    if request.body:
        return (head, h11.Data(data=request.body), h11.EndOfMessage())
    return (head, h11.EndOfMessage())


def _to_http_response(head: h11.Response, body: bytes) -> HttpResponse:
    fields = read_fields(head.headers)
    return HttpResponse(head.status_code, body, fields=fields)
