"""A backend server as seen by this daemon.

Holds its connections, its observed load and an adaptive concurrency limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.backends.limit import LimitState, after_reply, after_shed
from boragespool.forwarding import ServerLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.forwarding.server_connections import (
        ServerConnections,
    )
    from boragespool.controllers.forwarding.server_rate import ServerRate
    from boragespool.forwarding import Registration
    from boragespool.types import Seconds

#: Service time, as a multiple of that without load, above which the
#: concurrency limit of a server is lowered: all its slots are in use, and
#: further requests wait there in order of arrival. Requests that are slow by
#: themselves take up to five times as long.
_QUEUEING_FACTOR: Final = 6
#: Time that a server takes to accept a connection, in seconds.
_ACCEPT_S: Final = 0.005


class Server:
    """A backend server with its connections, load and concurrency limit.

    The concurrency limit bounds the requests that this daemon has in flight
    to the server. It is lowered while replies are slow, so that calls wait in
    this daemon, ordered by priority, rather than in the queue of the server.

    Parameters
    ----------
    registration : Registration
        Current registration of the server.
    connections : ServerConnections
        Connections to the server.
    rate : ServerRate
        Limit that the server names.

    Attributes
    ----------
    load : ServerLoad
        Attempts in flight and observed speed.
    rate : ServerRate
        Limit that the server names.
    min_concurrency : int
        Lower bound of the concurrency limit, however slow the server is.
    """

    def __init__(
        self,
        registration: Registration,
        connections: ServerConnections,
        rate: ServerRate,
    ) -> None:
        """Start with a concurrency limit equal to the connection limit."""
        self.registration = registration
        self.connections = connections
        self.load = ServerLoad(registration.slots)
        self.rate = rate
        self.min_concurrency = 1
        self._concurrency = LimitState(connections.limit, connections.limit)

    @property
    def has_capacity(self) -> bool:
        """Whether another request can be sent now."""
        limit = max(self.min_concurrency, self._concurrency.limit)
        has_room = self.load.in_flight < limit and self.rate.may_send
        return has_room and self.connections.has_capacity

    @property
    def connect_s(self) -> Seconds:
        """Expected time to get a connection for another request."""
        if self.connections.has_idle:
            return 0
        return self.load.round_trip_s + _ACCEPT_S

    def warm_up(self, now_s: Callable[[], Seconds]) -> None:
        """Open an idle connection; suspect the server if it does not accept.

        Parameters
        ----------
        now_s : callable
            Clock of the timer service.
        """
        self.connections.warm_up(
            lambda: self.load.suspect_after_failure(now_s())
        )

    def set_limits(self, connection_limit: int, min_concurrency: int) -> None:
        """Set this daemon's share of the server's capacity.

        Parameters
        ----------
        connection_limit : int
            Maximum number of connections in use, which is also the upper
            bound of the concurrency limit.
        min_concurrency : int
            Lower bound of the concurrency limit.
        """
        self.connections.limit = connection_limit
        self.min_concurrency = min_concurrency
        state = self._concurrency
        if state.slots != connection_limit:
            is_full = state.limit >= state.slots
            allowed = (
                connection_limit
                if is_full
                else min(connection_limit, state.fractional_limit)
            )
            self._concurrency = LimitState(
                connection_limit, allowed, state.reduced_at_s
            )

    def record_reply(
        self,
        service_s: Seconds,
        unloaded_s: Seconds,
        now_s: Seconds,
    ) -> None:
        """Raise the concurrency limit, or lower it after a slow reply.

        Parameters
        ----------
        service_s : float
            Latency of the reply without the network round trip, in seconds.
        unloaded_s : float
            Service time of such a request without queueing, in seconds.
        """
        if service_s > _QUEUEING_FACTOR * unloaded_s:
            self.record_failure(now_s)
        else:
            in_flight = self.load.in_flight + 1
            self._concurrency = after_reply(self._concurrency, in_flight)

    def record_abandoned(
        self,
        waited_s: Seconds,
        unloaded_s: Seconds,
        now_s: Seconds,
    ) -> None:
        """Lower the concurrency limit if an abandoned request was slow.

        Parameters
        ----------
        waited_s : float
            Time without a reply before the request was abandoned, without
            the network round trip, in seconds.
        unloaded_s : float
            Service time of such a request without queueing, in seconds.
        """
        if waited_s > _QUEUEING_FACTOR * unloaded_s:
            self.record_failure(now_s)

    def record_failure(self, now_s: Seconds) -> None:
        """Lower the concurrency limit, at most once for a burst of failures."""
        self._concurrency = after_shed(self._concurrency, now_s)
