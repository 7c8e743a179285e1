"""Connections to one backend server: bounded, reused, never shared."""

from __future__ import annotations

import asyncio
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

    from boragespool.http import HttpRequest
    from boragespool.timers import TimerService
    from boragespool.types import Address, Seconds

#: Idle time of a connection whose server states no limit, in seconds.
_IDLE_S: Final = 8
#: Part of the stated limit after which a connection is not used again.
_IDLE_SHARE: Final = 0.7
#: Idle time up to which a connection serves a request that must not run
#: twice, in seconds: such a request is lost if the server is just closing.
_FRESH_S: Final = 0.5
#: Longest TCP handshake, in seconds: some round trips between regions. An
#: opening packet that was dropped is sent again only after one second, and
#: another server can be asked meanwhile.
_CONNECT_S: Final = 0.35
_KEEP_ALIVE_TIMEOUT: Final = re.compile(r'timeout=(\d+)')


@dataclass(frozen=True, slots=True)
class Outgoing:
    """One request for one backend server.

    Attributes
    ----------
    timeout_s : float
        Longest time until the complete response, in seconds.
    echo : tuple of str or None
        Header field that the response repeats.
    fresh_only : bool
        Whether the connection must have been used just now, or be new.
    """

    request: HttpRequest
    timeout_s: Seconds
    echo: tuple[str, str] | None
    fresh_only: bool


class Exchange:
    """One request under way on one connection."""

    def __init__(
        self,
        on_end: Callable[[HttpResponse | ExchangeFailure], None],
    ) -> None:
        """Start without a connection."""
        self.on_end: Callable[[HttpResponse | ExchangeFailure], None] | None
        self.on_end = on_end
        self.connection: HttpConnection | None = None
        self.task: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """Close the connection; `on_end` is not called any more."""
        self.on_end = None
        if self.connection is not None:
            self.connection.close()
        elif self.task is not None:
            self.task.cancel()

    def finish(self, result: HttpResponse | ExchangeFailure) -> None:
        """Report the result once."""
        callback = self.on_end
        self.on_end = None
        if callback is not None:
            callback(result)


class ServerLink:
    """Owns all connections to one backend server.

    Parameters
    ----------
    address : str
        ``ip:port``.
    timers : TimerService
        Clock.
    on_room : callable
        Called when another request can be sent.

    Attributes
    ----------
    limit : int
        Connections that may be open at the same time.
    handshake_s : float or None
        Shortest TCP handshake, in seconds; None before the first one.
    """

    def __init__(
        self,
        address: Address,
        timers: TimerService,
        on_room: Callable[[], None],
    ) -> None:
        """Open nothing yet."""
        self.address = address
        self.limit = 1
        self.handshake_s: Seconds | None = None
        self._timers = timers
        self._on_room = on_room
        self._idle: list[tuple[Seconds, Seconds, HttpConnection]] = []
        self._busy_count = 0
        self._tasks = TaskSet()

    @property
    def has_room(self) -> bool:
        """Whether another request can be sent now."""
        return self._busy_count < self.limit

    def send(
        self,
        outgoing: Outgoing,
        on_end: Callable[[HttpResponse | ExchangeFailure], None],
    ) -> Exchange:
        """Send a request on an idle or a new connection."""
        exchange = Exchange(on_end)
        self._busy_count += 1
        connection = self._take_idle(_FRESH_S if outgoing.fresh_only else None)
        if connection is None:
            exchange.task = self._tasks.spawn(self._open(exchange, outgoing))
            exchange.task.add_done_callback(self._release_cancelled)
        else:
            self._use(exchange, connection, outgoing)
        return exchange

    def close(self) -> None:
        """Close the idle connections; requests under way go on."""
        self.limit = 0
        for _, _, connection in self._idle:
            connection.close()
        self._idle.clear()

    def trim(self) -> None:
        """Close connections that were idle for too long."""
        now_s = self._timers.now_s()
        kept = []
        for entry in self._idle:
            if entry[1] > now_s and entry[2].usable:
                kept.append(entry)
            else:
                entry[2].close()
        self._idle = kept

    async def _open(self, exchange: Exchange, outgoing: Outgoing) -> None:
        began_s = self._timers.now_s()
        connection = await open_connection(
            self.address,
            min(outgoing.timeout_s, _CONNECT_S),
        )
        if isinstance(connection, ExchangeFailure):
            self._busy_count -= 1
            exchange.finish(connection)
            self._on_room()
            return
        took_s = self._timers.now_s() - began_s
        self.handshake_s = min(took_s, self.handshake_s or took_s)
        self._use(exchange, connection, outgoing)

    def _release_cancelled(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            self._busy_count -= 1
            self._on_room()

    def _use(
        self,
        exchange: Exchange,
        connection: HttpConnection,
        outgoing: Outgoing,
    ) -> None:
        exchange.connection = connection
        result = connection.start_exchange(
            outgoing.request,
            outgoing.timeout_s,
            outgoing.echo,
        )
        result.add_done_callback(
            lambda ended: self._end(exchange, connection, ended.result()),
        )

    def _end(
        self,
        exchange: Exchange,
        connection: HttpConnection,
        result: HttpResponse | ExchangeFailure,
    ) -> None:
        self._busy_count -= 1
        if connection.usable and self.limit:
            now_s = self._timers.now_s()
            idle_s = _idle_s(result)
            self._idle.append((now_s, now_s + idle_s, connection))
        else:
            connection.close()
        exchange.finish(result)
        self._on_room()

    def _take_idle(self, fresh_s: Seconds | None) -> HttpConnection | None:
        """Return the connection that was used last."""
        now_s = self._timers.now_s()
        while self._idle:
            since_s, until_s, connection = self._idle[-1]
            is_old = now_s >= until_s or not connection.usable
            is_fresh = fresh_s is None or now_s - since_s <= fresh_s
            self._idle.pop()
            if is_fresh and not is_old:
                return connection
            connection.close()
        return None


def _idle_s(result: HttpResponse | ExchangeFailure) -> Seconds:
    """Return for how long the connection may be idle."""
    if not isinstance(result, HttpResponse):
        return 0
    stated = _KEEP_ALIVE_TIMEOUT.search(result.field('keep-alive') or '')
    if stated is None:
        return _IDLE_S
    return min(_IDLE_S, int(stated.group(1)) * _IDLE_SHARE)
