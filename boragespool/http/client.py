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
        self._status = 0
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
        if not self.usable:
            self.close()
            return ExchangeFailure(
                FailureKind.CLOSED,
                sent=False,
                reason=f'{self.address!r} closed the idle connection',
            )
        loop = asyncio.get_running_loop()
        self._parts = []
        self._result = loop.create_future()
        timer = loop.call_later(timeout_s, self._time_out, timeout_s)
        try:
            self._send(request)
            return await self._result
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            timer.cancel()
            self._result = None

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
        if self._transport is not None:
            self._transport.write(sent)

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
                self._status = event.status_code
            elif not isinstance(event, h11.InformationalResponse):
                return self._ended(event)

    def _ended(self, event: object) -> HttpResponse | ExchangeFailure | None:
        """Return what the last of the events that have arrived means."""
        if event is h11.NEED_DATA:
            return None
        if isinstance(event, h11.EndOfMessage):
            self._finish_cycle()
            return HttpResponse(self._status, b''.join(self._parts))
        return self._failure(FailureKind.CLOSED, 'no response arrived')

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
