"""Incarnation and concurrency limit of one backend server.

Both follow from the exchanges of its dispatcher with the server.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Final

from boragespool import backends
from boragespool.blackboard.topics import ServerObservation
from boragespool.controllers.backend_servers.backend_protocol import (
    STATUS_REQUEST,
    decode_status,
)
from boragespool.controllers.backend_servers.jobs import (
    BackendHooks,
    WorkInFlight,
    ran_to_completion,
)
from boragespool.events import Event, log_event
from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from boragespool.controllers.backend_servers.connections import (
        BackendConnectionPool,
    )
    from boragespool.controllers.context import Context
    from boragespool.messages import WorkReply
    from boragespool.types import Incarnation, ServerName

_STATUS_TIMEOUT_S: Final = 1


class ServerHealth:
    """Incarnation, concurrency limit and observations of one backend server.

    Attributes
    ----------
    incarnation : int
        Incarnation of the running server; 0 while it is unknown.
    """

    def __init__(
        self,
        server: ServerName,
        slots: int,
        context: Context,
        hooks: BackendHooks,
    ) -> None:
        """Set up the limit of a cold start and an unknown incarnation."""
        self.incarnation: Incarnation = 0
        self._server = server
        self._limit = backends.initial_limit(slots)
        self._observation = ServerObservation(self._limit.limit)
        self._context = context
        self._hooks = hooks

    @property
    def limit(self) -> int:
        """Number of requests that may run at the same time."""
        return self._limit.limit

    def configure(self, slots: int) -> None:
        """Apply a change of the configured slots."""
        if slots != self._limit.slots:
            self._set_limit(backends.with_slots(self._limit, slots))

    def note_incarnation(self, incarnation: Incarnation) -> None:
        """Store a higher incarnation; if one was known, reset the limit."""
        if incarnation <= self.incarnation:
            return
        if self.incarnation:
            self._set_limit(backends.initial_limit(self._limit.slots))
        self.incarnation = incarnation

    def note_refused_connection(self) -> None:
        """Reset incarnation and limit after a refused connection."""
        self.incarnation = 0
        self._set_limit(backends.initial_limit(self._limit.slots))
        self._update_observation(refused_at_s=self._context.timers.now_s())

    def note_reply(self, reply: WorkReply, in_flight: int) -> None:
        """Adjust the limit and update the observation after a reply."""
        now_s = self._context.timers.now_s()
        if ran_to_completion(reply):
            self._set_limit(backends.after_reply(self._limit, in_flight))
        elif reply.code == ResultCode.SERVER_SHED:
            self._set_limit(backends.after_shed(self._limit, now_s))
        elif reply.code == ResultCode.SERVER_DRAINING:
            self._update_observation(draining_at_s=now_s)
        elif reply.code == ResultCode.SERVER_REPLY_INVALID:
            log_event(Event.SERVER_REPLY_REJECTED, reply.reason)

    async def fetch_incarnation(self, pool: BackendConnectionPool) -> None:
        """Request the status of the server and store its incarnation."""
        response = await pool.exchange(STATUS_REQUEST, _STATUS_TIMEOUT_S)
        status = decode_status(response)
        if not isinstance(status, Failure):
            self.note_incarnation(status.incarnation)

    async def check_loss(
        self,
        pool: BackendConnectionPool,
        incarnation: Incarnation,
        in_flight: WorkInFlight,
    ) -> None:
        """Check whether the server was lost, after a connection was closed.

        Parameters
        ----------
        pool : BackendConnectionPool
            Connections to the server; idle ones are closed.
        incarnation : int
            Incarnation to which the work was sent; 0 if unknown, and then no
            loss is reported, because it could be counted twice.
        in_flight : WorkInFlight
            Work in flight when the connection was lost.
        """
        pool.close_idle()
        response = await pool.exchange(STATUS_REQUEST, _STATUS_TIMEOUT_S)
        status = decode_status(response)
        if isinstance(status, Failure):
            lost = status.code == ResultCode.SERVER_UNREACHABLE
            if lost:
                self.note_refused_connection()
        else:
            lost = status.incarnation != incarnation
            self.note_incarnation(status.incarnation)
        if lost and incarnation:
            await self._hooks.on_loss(self._server, incarnation, in_flight)

    def _set_limit(self, limit: backends.LimitState) -> None:
        before = self._limit.limit
        self._limit = limit
        if limit.limit != before:
            log_event(
                Event.SERVER_LIMIT_CHANGED,
                f'concurrency limit of {self._server!r} is now {limit.limit}',
                level=logging.DEBUG,
                server=self._server,
                limit=limit.limit,
                before=before,
            )
            self._update_observation(limit=limit.limit)

    def _update_observation(self, **changes: Any) -> None:
        self._observation = replace(self._observation, **changes)
        self._hooks.on_observation(self._server, self._observation)
