"""Connection pool of one backend server.

The number of connections in use is bounded. Idle connections are reused, and
each connection carries one request at a time.
"""

from __future__ import annotations

import asyncio
import math
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.http import (
    ExchangeFailure,
    HttpConnection,
    HttpResponse,
    open_connection,
)
from boragespool.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.http import HttpRequest, ResponseBuffers
    from boragespool.timers import TimerService
    from boragespool.types import Address, Seconds

#: Maximum idle time of a connection, in seconds; used as it is if the server
#: sends no keep-alive timeout.
_DEFAULT_IDLE_TIMEOUT_S: Final = 8
#: Fraction of the server's keep-alive timeout for which an idle connection is
#: reused.
_IDLE_TIMEOUT_RATIO: Final = 0.7
#: Maximum idle time of a connection that is reused for a request that is not
#: idempotent, in seconds. Such a request cannot be retried if the server is
#: closing the connection at that moment.
_MAX_FRESH_IDLE_S: Final = 0.5
#: Timeout of the TCP handshake, in seconds: a few round trips between regions.
#: A lost SYN is sent again only after one second; another server can be tried
#: in the meantime.
_CONNECT_TIMEOUT_S: Final = 0.35
_KEEP_ALIVE_TIMEOUT_PATTERN: Final = re.compile(r'timeout=(\d+)')


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """An encoded request for one backend server.

    Attributes
    ----------
    timeout_s : float
        Timeout for the complete response, in seconds.
    echo_header : tuple of str or None
        Name and value of a header field that the response must repeat.
    needs_fresh_connection : bool
        Whether only a new or a recently used connection may be used.
    """

    request: HttpRequest
    timeout_s: Seconds
    echo_header: tuple[str, str] | None
    needs_fresh_connection: bool


class Exchange:
    """A request in progress on one connection.

    Parameters
    ----------
    on_end : callable
        Called once with the response or the failure, unless the exchange is
        cancelled.

    Attributes
    ----------
    connection : HttpConnection or None
        Connection in use; None while it is being opened.
    task : asyncio.Task or None
        Task that opens the connection; None if an idle one was reused.
    sent_at_s : float or None
        Time at which the request was sent, in seconds on the clock of the
        timer service; None while the connection is being opened.
    """

    def __init__(
        self,
        on_end: Callable[[HttpResponse | ExchangeFailure], None],
    ) -> None:
        """Set up the exchange; a connection is assigned later."""
        self.on_end: Callable[[HttpResponse | ExchangeFailure], None] | None
        self.on_end = on_end
        self.connection: HttpConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.sent_at_s: Seconds | None = None

    def cancel(self) -> None:
        """Close the connection, or stop opening it; skip `on_end`."""
        self.on_end = None
        if self.connection is not None:
            self.connection.close()
        elif self.task is not None:
            self.task.cancel()

    def finish(self, result: HttpResponse | ExchangeFailure) -> None:
        """Call `on_end` with the result, unless the exchange has ended."""
        callback = self.on_end
        self.on_end = None
        if callback is not None:
            callback(result)


class ServerConnections:
    """Bounded pool of connections to one backend server.

    Parameters
    ----------
    address : str
        Address of the server, as ``ip:port``.
    timers : TimerService
        Clock.
    buffers : ResponseBuffers
        Memory for incomplete responses of all servers.
    on_capacity_available : callable
        Called without arguments whenever another request can be sent.

    Attributes
    ----------
    limit : int
        Maximum number of connections in use at the same time; 0 once the
        pool is closed.
    max_idle_s : float
        Maximum time for which an idle connection is kept, in seconds.
    min_handshake_s : float or None
        Shortest TCP handshake so far, in seconds; None before the first one.
    """

    def __init__(
        self,
        address: Address,
        timers: TimerService,
        buffers: ResponseBuffers,
        on_capacity_available: Callable[[], None],
    ) -> None:
        """Start without open connections and with a limit of 1."""
        self.address = address
        self.limit = 1
        self.max_idle_s: Seconds = _DEFAULT_IDLE_TIMEOUT_S
        self.min_handshake_s: Seconds | None = None
        self._timers = timers
        self._buffers = buffers
        self._on_capacity_available = on_capacity_available
        self._idle: list[tuple[Seconds, Seconds, HttpConnection]] = []
        self._busy_count = 0
        self._is_warming_up = False
        self._idle_timeout_s: Seconds = _DEFAULT_IDLE_TIMEOUT_S
        self._tasks = TaskSet()

    @property
    def has_capacity(self) -> bool:
        """Whether another request can be sent now."""
        return self._busy_count < self.limit

    @property
    def idle_until_s(self) -> Seconds:
        """Time at which the last idle connection expires, in seconds.

        ``-inf`` if no idle connection is usable.
        """
        return max(
            (entry[1] for entry in self._idle if entry[2].usable),
            default=-math.inf,
        )

    @property
    def has_idle(self) -> bool:
        """Whether a request can be sent without opening a connection."""
        return self.idle_until_s > self._timers.now_s()

    @property
    def may_warm_up(self) -> bool:
        """Whether `warm_up` may open another idle connection."""
        return self.has_capacity and not self._is_warming_up

    def warm_up(self, on_failure: Callable[[], None]) -> None:
        """Open an idle connection for a later request.

        Parameters
        ----------
        on_failure : callable
            Called if the server does not accept the connection.
        """
        self._is_warming_up = True

        def on_end(failure: ExchangeFailure | None) -> None:
            self._is_warming_up = False
            if failure is not None:
                on_failure()

        self.probe(on_end)

    def probe(self, on_end: Callable[[ExchangeFailure | None], None]) -> None:
        """Open an idle connection, to see whether the server accepts it.

        Parameters
        ----------
        on_end : callable
            Called with the failure, or with None if the server accepted.
        """
        self._tasks.spawn(self._open_idle(on_end))

    def send(
        self,
        outgoing: OutgoingRequest,
        on_end: Callable[[HttpResponse | ExchangeFailure], None],
    ) -> Exchange:
        """Send a request on an idle connection, or on a new one."""
        exchange = Exchange(on_end)
        self._busy_count += 1
        connection = self._pop_idle(
            _MAX_FRESH_IDLE_S if outgoing.needs_fresh_connection else None
        )
        if connection is None:
            exchange.task = self._tasks.spawn(
                self._open_connection(exchange, outgoing)
            )
            exchange.task.add_done_callback(self._release_if_cancelled)
        else:
            self._start_exchange(exchange, connection, outgoing)
        return exchange

    def close(self) -> None:
        """Close the idle connections; requests in flight may finish."""
        self.limit = 0
        for _, _, connection in self._idle:
            connection.close()
        self._idle.clear()

    def close_expired(self) -> None:
        """Close idle connections that have expired or cannot be used."""
        now_s = self._timers.now_s()
        kept = []
        for entry in self._idle:
            if entry[1] > now_s and entry[2].usable:
                kept.append(entry)
            else:
                entry[2].close()
        self._idle = kept

    async def _open_connection(
        self, exchange: Exchange, outgoing: OutgoingRequest
    ) -> None:
        connection = await self._connect(outgoing.timeout_s)
        if isinstance(connection, ExchangeFailure):
            self._busy_count -= 1
            exchange.finish(connection)
            self._on_capacity_available()
            return
        self._start_exchange(exchange, connection, outgoing)

    async def _open_idle(
        self, on_end: Callable[[ExchangeFailure | None], None]
    ) -> None:
        connection = await self._connect(_CONNECT_TIMEOUT_S)
        if isinstance(connection, ExchangeFailure):
            on_end(connection)
            return
        if self.limit:
            now_s = self._timers.now_s()
            # First in the list, as the last one is reused first.
            self._idle.insert(
                0, (now_s, now_s + self._idle_timeout_s, connection)
            )
        else:
            connection.close()
        on_end(None)

    async def _connect(
        self, timeout_s: Seconds
    ) -> HttpConnection | ExchangeFailure:
        started_at_s = self._timers.now_s()
        connection = await open_connection(
            self.address, min(timeout_s, _CONNECT_TIMEOUT_S), self._buffers
        )
        if not isinstance(connection, ExchangeFailure):
            took_s = self._timers.now_s() - started_at_s
            self.min_handshake_s = min(took_s, self.min_handshake_s or took_s)
        return connection

    def _release_if_cancelled(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            self._busy_count -= 1
            self._on_capacity_available()

    def _start_exchange(
        self,
        exchange: Exchange,
        connection: HttpConnection,
        outgoing: OutgoingRequest,
    ) -> None:
        exchange.connection = connection
        exchange.sent_at_s = self._timers.now_s()
        result = connection.start_exchange(
            outgoing.request,
            outgoing.timeout_s,
            outgoing.echo_header,
        )
        result.add_done_callback(
            lambda completed: self._finish_exchange(
                exchange, connection, completed.result()
            ),
        )

    def _finish_exchange(
        self,
        exchange: Exchange,
        connection: HttpConnection,
        result: HttpResponse | ExchangeFailure,
    ) -> None:
        self._busy_count -= 1
        if connection.usable and self.limit:
            now_s = self._timers.now_s()
            self._idle_timeout_s = _idle_timeout_s(result)
            until_s = now_s + min(self._idle_timeout_s, self.max_idle_s)
            self._idle.append((now_s, until_s, connection))
        else:
            connection.close()
        exchange.finish(result)
        self._on_capacity_available()

    def _pop_idle(self, max_idle_s: Seconds | None) -> HttpConnection | None:
        """Return the most recently used idle connection that can be reused.

        Parameters
        ----------
        max_idle_s : float or None
            Maximum idle time, in seconds; None if only the expiry counts.

        Returns
        -------
        HttpConnection or None
            None if there is no such connection.
        """
        now_s = self._timers.now_s()
        while self._idle:
            since_s, until_s, connection = self._idle[-1]
            is_expired = now_s >= until_s or not connection.usable
            is_fresh = max_idle_s is None or now_s - since_s <= max_idle_s
            self._idle.pop()
            if is_fresh and not is_expired:
                return connection
            connection.close()
        return None


def _idle_timeout_s(result: HttpResponse | ExchangeFailure) -> Seconds:
    """Return the maximum idle time of the connection, in seconds.

    It follows from the ``Keep-Alive`` header field of the last response.
    """
    if not isinstance(result, HttpResponse):
        return 0
    stated = _KEEP_ALIVE_TIMEOUT_PATTERN.search(
        result.field('keep-alive') or ''
    )
    if stated is None:
        return _DEFAULT_IDLE_TIMEOUT_S
    return min(
        _DEFAULT_IDLE_TIMEOUT_S, int(stated.group(1)) * _IDLE_TIMEOUT_RATIO
    )
