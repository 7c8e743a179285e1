"""HTTP/1.1 client connection for one exchange at a time.

Reports whether any byte of a request was sent, which decides whether a claim
may be attempted again.
"""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Self

import h11

from boragespool.http.messages import HttpResponse

if TYPE_CHECKING:
    from boragespool.http.messages import HttpRequest
    from boragespool.types import Address, Seconds

_READ_SIZE_BYTES: Final = 65_536


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


class HttpConnection:
    """One client connection; open it with `open_connection`."""

    def __init__(
        self,
        address: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Take over both stream ends."""
        self.address = address
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.CLIENT)
        self._usable = True
        self._peer_closed = False

    async def __aenter__(self) -> Self:
        """Return the open connection."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close it."""
        self.close()

    @property
    def usable(self) -> bool:
        """Whether another exchange may begin."""
        return (
            self._usable
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    def close(self) -> None:
        """Close at once; an exchange under way fails as closed."""
        self._usable = False
        self._writer.transport.abort()

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
        if not self.usable:
            self.close()
            return ExchangeFailure(
                FailureKind.CLOSED,
                sent=False,
                reason=f'{self.address!r} closed the idle connection',
            )
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(request)
        except TimeoutError:
            return self._fail(FailureKind.TIMEOUT, f'{timeout_s!r} s passed')
        except (OSError, h11.RemoteProtocolError) as error:
            return self._fail(self._failure_kind(error), str(error))
        except asyncio.CancelledError:
            self.close()
            raise

    async def _exchange(
        self,
        request: HttpRequest,
    ) -> HttpResponse | ExchangeFailure:
        self._send(request)
        head = await self._next_event()
        if not isinstance(head, h11.Response):
            return self._fail(FailureKind.CLOSED, 'no response arrived')
        parts: list[bytes] = []
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return self._fail(FailureKind.CLOSED, 'response cut short')
            parts.append(bytes(event.data))
        self._finish_cycle()
        return HttpResponse(head.status_code, b''.join(parts))

    def _send(self, request: HttpRequest) -> None:
        headers = [
            ('host', self.address),
            ('content-length', str(len(request.body))),
            *request.headers.items(),
        ]
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=headers,
        )
        sent = self._protocol.send(head) or b''
        if request.body:
            sent += self._protocol.send(h11.Data(data=request.body)) or b''
        sent += self._protocol.send(h11.EndOfMessage()) or b''
        self._writer.write(sent)

    async def _next_event(self) -> object:
        """Return the next event, skipping informational responses."""
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                received = await self._reader.read(_READ_SIZE_BYTES)
                self._peer_closed = not received
                self._protocol.receive_data(received)
            elif not isinstance(event, h11.InformationalResponse):
                return event

    def _finish_cycle(self) -> None:
        done = h11.DONE
        states = (self._protocol.our_state, self._protocol.their_state)
        # Bytes after the response would be read as the next response.
        is_clean = not self._protocol.trailing_data[0]
        if states == (done, done) and is_clean:
            self._protocol.start_next_cycle()
        else:
            self.close()

    def _fail(self, kind: FailureKind, reason: str) -> ExchangeFailure:
        self.close()
        return ExchangeFailure(
            kind,
            sent=True,
            reason=f'exchange with {self.address!r} failed: {reason}',
        )

    def _failure_kind(self, error: Exception) -> FailureKind:
        """Tell a close before the response, which h11 rejects, from noise."""
        if isinstance(error, OSError) or self._peer_closed:
            return FailureKind.CLOSED
        return FailureKind.MALFORMED


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
            reader, writer = await asyncio.open_connection(host, int(port))
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
    return HttpConnection(address, reader, writer)
