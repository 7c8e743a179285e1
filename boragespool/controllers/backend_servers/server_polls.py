"""Polls ``GET /v1/status`` of the backend servers of one dispatcher."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.controllers.backend_servers.backend_protocol import (
    STATUS_REQUEST,
    BackendStatus,
    decode_status,
)
from boragespool.controllers.backend_servers.connections import (
    BackendConnectionPool,
)
from boragespool.events import Event, log_event
from boragespool.http import ExchangeFailure, FailureKind
from boragespool.results import Failure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragespool.timers import TimerService
    from boragespool.types import Address, Seconds, ServerName

#: Number of connection timeouts without an answered poll in between after which
#: a server counts as lost.
_CONNECT_TIMEOUTS_UNTIL_LOST: Final = 3
#: Number of ticks without a change or failure after which a server is polled at
#: every second tick only. With ticks of 1 s and a poll timeout of 0.8 s, a
#: leaving server is noticed within 2.8 s; the goal is 3 s.
TICKS_UNTIL_STEADY: Final = 10
STEADY_INTERVAL_TICKS: Final = 2


@dataclass(frozen=True, slots=True)
class PollHooks:
    """Callbacks for the results of polls.

    Attributes
    ----------
    on_status : callable
        Called with the server and each status that it returns.
    on_lost : callable
        Called after each poll that finds a server lost: it refused the
        connection, or three connection attempts timed out without an answered
        poll in between. A slow answer alone does not make a server lost.
    """

    on_status: Callable[[ServerName, BackendStatus], None]
    on_lost: Callable[[ServerName], None]


class ServerPolls:
    """Polls servers, on one connection to each.

    Parameters
    ----------
    timers : TimerService
        Clock of the connections.
    timeout_s : float
        Longest time for one poll, in seconds.
    hooks : PollHooks
        Callbacks for the results.
    """

    def __init__(
        self,
        timers: TimerService,
        timeout_s: Seconds,
        hooks: PollHooks,
    ) -> None:
        """Set up without polled servers."""
        self._timers = timers
        self._timeout_s = timeout_s
        self._hooks = hooks
        self._pools_by_server: dict[ServerName, BackendConnectionPool] = {}
        self._tasks_by_server: dict[ServerName, asyncio.Task[None]] = {}
        self._connect_timeouts_by_server: dict[ServerName, int] = {}
        self._steady_ticks_by_server: dict[ServerName, int] = {}

    @property
    def servers(self) -> Iterable[ServerName]:
        """Names of the polled servers."""
        return tuple(self._pools_by_server)

    async def close(self) -> None:
        """Stop polling and close the connections."""
        for server in self.servers:
            self.remove(server)
        tasks = tuple(self._tasks_by_server.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add(self, server: ServerName, address: Address) -> None:
        """Start to poll a server, with the first poll at once."""
        pool = self._pools_by_server.get(server)
        if pool is None or pool.address != address:
            self.remove(server)
            self._pools_by_server[server] = BackendConnectionPool(
                address, 1, self._timers
            )
            self.reset_interval(server)
            self.poll(server)

    def remove(self, server: ServerName) -> None:
        """Stop polling a server."""
        pool = self._pools_by_server.pop(server, None)
        if pool is not None:
            pool.close()
            self._steady_ticks_by_server.pop(server)
            self._connect_timeouts_by_server.pop(server, None)

    def tick(self) -> None:
        """Poll the servers that are due at this tick."""
        for server in self._pools_by_server:
            ticks = self._steady_ticks_by_server[server] + 1
            self._steady_ticks_by_server[server] = ticks
            if ticks < TICKS_UNTIL_STEADY or not ticks % STEADY_INTERVAL_TICKS:
                self.poll(server)

    def reset_interval(self, server: ServerName) -> None:
        """Poll a server at each tick until it is steady again."""
        self._steady_ticks_by_server[server] = 0

    def poll(self, server: ServerName) -> None:
        """Poll one server, unless a poll of it is running."""
        if server in self._tasks_by_server:
            return
        task = asyncio.ensure_future(self._poll_once(server))
        self._tasks_by_server[server] = task
        task.add_done_callback(lambda done: self._on_poll_done(server, done))

    def _on_poll_done(
        self, server: ServerName, task: asyncio.Task[None]
    ) -> None:
        self._tasks_by_server.pop(server, None)
        if not task.cancelled() and task.exception() is not None:
            log_event(
                Event.TASK_FAILED,
                f'the poll of {server!r} raised {task.exception()!r}',
                level=logging.ERROR,
            )

    async def _poll_once(self, server: ServerName) -> None:
        pool = self._pools_by_server.get(server)
        if pool is None:
            return
        response = await pool.exchange(STATUS_REQUEST, self._timeout_s)
        if self._pools_by_server.get(server) is not pool:
            return
        if isinstance(response, ExchangeFailure):
            self._handle_failed_poll(server, response)
            return
        self._connect_timeouts_by_server[server] = 0
        status = decode_status(response)
        if isinstance(status, Failure):
            log_event(Event.SERVER_REPLY_REJECTED, status.reason)
        else:
            self._hooks.on_status(server, status)

    def _handle_failed_poll(
        self, server: ServerName, failure: ExchangeFailure
    ) -> None:
        self.reset_interval(server)
        if failure.kind == FailureKind.TIMEOUT and failure.sent:
            log_event(
                Event.CONNECTION_SILENT,
                f'the poll connection to {server!r} was silent and is closed',
                server=server,
            )
        elif failure.kind == FailureKind.TIMEOUT:
            self._connect_timeouts_by_server[server] = (
                self._connect_timeouts_by_server.get(server, 0) + 1
            )
        cannot_connect = (
            self._connect_timeouts_by_server.get(server, 0)
            >= _CONNECT_TIMEOUTS_UNTIL_LOST
        )
        if cannot_connect or failure.kind == FailureKind.REFUSED:
            self._hooks.on_lost(server)
