"""Reads requests from and writes responses to one accepted connection."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Final

import h11

from boragespool.events import Event, log_event
from boragespool.http.limits import (
    EVENTS_PER_TURN,
    HEAD_READ_SIZE_BYTES,
    is_chunking_wasteful,
)
from boragespool.http.messages import (
    HttpRequest,
    encode_fields,
    failure_response,
    read_fields,
)
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from boragespool.http.limits import HttpLimits
    from boragespool.http.messages import HttpResponse
    from boragespool.http.streams import CallerStream
    from boragespool.types import Seconds

_READ_SIZE_BYTES: Final = 65_536
#: Time for which the input of a refused peer is discarded before the
#: connection is closed, in seconds.
_LINGERING_CLOSE_S: Final = 0.5
_HEADERS_TOO_LARGE_STATUS: Final = 431
#: Statuses of responses without a body: no content, not modified.
_BODILESS_STATUSES: Final = frozenset((204, 304))
#: Bytes that h11 buffers for an incomplete head or chunk header; the limit of
#: the server, which is checked as well, is usually lower.
_MAX_INCOMPLETE_BYTES: Final = 1_048_576
#: Separators of a header line, of the request line and after the head.
_LINE_OVERHEAD_BYTES: Final = 4
_HEAD_OVERHEAD_BYTES: Final = 14


class ServerExchange:
    """HTTP/1.1 protocol state of one accepted connection."""

    def __init__(
        self,
        reader: CallerStream,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Set up the exchange on the streams of a connection."""
        self.reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.SERVER, _MAX_INCOMPLETE_BYTES)
        peer = writer.get_extra_info('peername') or ('',)
        self._peer_ip = str(peer[0])
        self._first_bytes_at_s: Seconds = 0
        self._waited_s: Seconds = 0
        # Empty until the head of the request could be parsed.
        self._method = ''
        #: Whether the last request was refused for overload.
        self.deferred = False

    async def wait_for_bytes(self) -> bool:
        """Wait until a request begins; return False if the peer closed."""
        if self._protocol.trailing_data[0]:
            self._first_bytes_at_s = asyncio.get_running_loop().time()
            return True
        received = await self.reader.read(HEAD_READ_SIZE_BYTES)
        self._first_bytes_at_s = asyncio.get_running_loop().time()
        self._protocol.receive_data(received)
        return bool(received)

    async def read_request(self, limits: HttpLimits) -> HttpRequest | Failure:
        """Read one request within the limits."""
        now_s = asyncio.get_running_loop().time()
        self._waited_s = now_s - self._first_bytes_at_s
        self._method = ''
        try:
            async with asyncio.timeout(limits.read_timeout_s):
                return await self._read_request(limits)
        except TimeoutError:
            return Failure(
                ResultCode.REQUEST_TIMEOUT,
                f'the request took longer than {limits.read_timeout_s!r} s '
                'to arrive',
            )
        except h11.RemoteProtocolError as error:
            return _protocol_failure(error, limits)

    async def respond(
        self,
        response: HttpResponse,
        write_timeout_s: Seconds,
        *,
        close: bool,
    ) -> bool:
        """Write a response; return whether the connection can be reused.

        The connection is aborted if the peer does not receive the response
        within `write_timeout_s`, so that it cannot delay a graceful stop.
        """
        try:
            encoded = self._encode(response, close=close)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            log_event(
                Event.HANDLER_FAILED,
                f'a response cannot be encoded: {error!r}',
                level=logging.ERROR,
                status=response.status,
            )
            if self._protocol.our_state is not h11.SEND_RESPONSE:
                return False
            encoded = self._encode(_encoding_failure(), close=True)
        self._writer.write(encoded)
        if not await self._drain_writer(write_timeout_s):
            return False
        if self._protocol.our_state is not h11.DONE:
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    async def lingering_close(self, limits: HttpLimits) -> None:
        """Close the write side and discard input until the peer closes.

        It stops after `_LINGERING_CLOSE_S` or more bytes than a body may have.
        Closing a socket with unread bytes resets the connection, which can
        discard a failure response before the peer has read it.
        """
        with contextlib.suppress(OSError, TimeoutError):
            self._writer.write_eof()
            async with asyncio.timeout(_LINGERING_CLOSE_S):
                await self._discard_input(limits.body_size_bytes)

    def _encode(self, response: HttpResponse, *, close: bool) -> bytes:
        """Encode a response; one to HEAD has the length but not the body."""
        headers = [
            *response.fields,
            ('content-length', str(len(response.body))),
        ]
        if response.field('content-type') is None and response.content_type:
            headers.append(('content-type', response.content_type))
        if close:
            headers.append(('connection', 'close'))
        events: list[h11.Event] = [
            h11.Response(
                status_code=response.status, headers=encode_fields(headers)
            )
        ]
        if self._method != 'HEAD' and response.status not in _BODILESS_STATUSES:
            events.append(h11.Data(data=response.body))
        events.append(h11.EndOfMessage())
        return b''.join(self._protocol.send(event) or b'' for event in events)

    async def _drain_writer(self, timeout_s: Seconds) -> bool:
        """Wait until the write buffer of the transport is empty."""
        if not self._writer.transport.get_write_buffer_size():
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._writer.drain()
        except TimeoutError:
            self._writer.transport.abort()
            return False
        return True

    async def _discard_input(self, limit_bytes: int) -> None:
        """Read until the peer closes or has sent more than `limit_bytes`."""
        while limit_bytes >= 0:
            received = await self.reader.read(_READ_SIZE_BYTES)
            if not received:
                break
            limit_bytes -= len(received)

    async def _read_request(self, limits: HttpLimits) -> HttpRequest | Failure:
        head = await self._next_event(limits.header_size_bytes)
        if not isinstance(head, h11.Request):
            return Failure(
                ResultCode.MALFORMED_HTTP,
                'the connection closed before a request was complete',
            )
        self._method = head.method.decode('ascii')
        # A head that arrives in one piece is never incomplete.
        _check_head_size(_head_size_bytes(head), limits.header_size_bytes)
        fields = read_fields(head.headers)
        headers = dict(fields)
        failure = _check_framing(headers, limits)
        if failure is not None:
            return failure
        body = await self._read_body(limits)
        if isinstance(body, Failure):
            return body
        return HttpRequest(
            self._method,
            head.target.decode('latin-1'),
            body,
            headers,
            self._peer_ip,
            self._waited_s,
            self.deferred,
            fields,
        )

    async def _read_body(self, limits: HttpLimits) -> bytes | Failure:
        parts: list[bytes] = []
        size_bytes = 0
        chunk_count = 0
        while True:
            event = await self._next_event(limits.header_size_bytes)
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                return Failure(
                    ResultCode.MALFORMED_HTTP,
                    'the connection closed inside a request body',
                )
            size_bytes += len(event.data)
            chunk_count += event.chunk_start
            failure = _check_body(size_bytes, chunk_count, limits)
            if failure is not None:
                return failure
            parts.append(bytes(event.data))
            if not len(parts) % EVENTS_PER_TURN:
                # Other connections get their turn.
                await asyncio.sleep(0)

    async def _next_event(self, head_limit_bytes: int) -> object:
        """Return the next h11 event, reading from the stream as needed."""
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            buffered_bytes = len(self._protocol.trailing_data[0])
            _check_head_size(buffered_bytes, head_limit_bytes)
            if self._protocol.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100,
                    headers=[],
                )
                self._writer.write(
                    self._protocol.send(continue_response) or b''
                )
            # A head is checked against its limit after each read.
            is_in_head = self._protocol.their_state is h11.IDLE
            received = await self.reader.read(
                HEAD_READ_SIZE_BYTES if is_in_head else _READ_SIZE_BYTES
            )
            self._protocol.receive_data(received)


def _head_size_bytes(head: h11.Request) -> int:
    """Return the size of a request head as it is sent, in bytes."""
    return (
        _HEAD_OVERHEAD_BYTES
        + len(head.method)
        + len(head.target)
        + sum(
            len(name) + len(text) + _LINE_OVERHEAD_BYTES
            for name, text in head.headers
        )
    )


def _check_head_size(size_bytes: int, limit_bytes: int) -> None:
    if size_bytes > limit_bytes:
        raise h11.RemoteProtocolError(
            f'request head exceeds {limit_bytes} bytes',
            error_status_hint=_HEADERS_TOO_LARGE_STATUS,
        )


def _check_framing(
    headers: dict[str, str],
    limits: HttpLimits,
) -> Failure | None:
    """Return a failure for ambiguous framing or a body that is too large.

    Ambiguous framing would allow request smuggling.
    """
    if 'content-length' in headers and 'transfer-encoding' in headers:
        return Failure(
            ResultCode.AMBIGUOUS_LENGTH,
            'a request has either Content-Length or Transfer-Encoding, '
            'not both',
        )
    declared = int(headers.get('content-length', 0))
    if declared > limits.body_size_bytes:
        return _body_too_large(declared, limits)
    return None


def _encoding_failure() -> HttpResponse:
    return failure_response(
        Failure(
            ResultCode.INTERNAL_ERROR,
            'the response cannot be encoded; see event 201',
            RunState.UNKNOWN,
        ),
    )


def _check_body(
    size_bytes: int, chunk_count: int, limits: HttpLimits
) -> Failure | None:
    """Return a failure for a body that is too large or wastes time."""
    if size_bytes > limits.body_size_bytes:
        return _body_too_large(size_bytes, limits)
    if is_chunking_wasteful(chunk_count, size_bytes):
        return Failure(
            ResultCode.TINY_CHUNKS,
            f'the first {size_bytes} bytes of the body came in {chunk_count} '
            'chunks',
        )
    return None


def _body_too_large(size_bytes: int, limits: HttpLimits) -> Failure:
    return Failure(
        ResultCode.BODY_TOO_LARGE,
        f'the body has {size_bytes} bytes or more; at most '
        f'{limits.body_size_bytes} are allowed',
    )


def _protocol_failure(
    error: h11.RemoteProtocolError,
    limits: HttpLimits,
) -> Failure:
    if error.error_status_hint == _HEADERS_TOO_LARGE_STATUS:
        return Failure(
            ResultCode.HEADERS_TOO_LARGE,
            f'the request head exceeds {limits.header_size_bytes} bytes',
        )
    return Failure(
        ResultCode.MALFORMED_HTTP,
        f'the request is not valid HTTP/1.1: {error}',
    )
