"""Backend servers that this daemon may send requests to.

Keeps the servers of each service with their connections and loads, the queue
of waiting calls and the retry budget of each service. The connections that a
server allows are divided between all daemons without messages between them.
"""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from functools import partial
from typing import TYPE_CHECKING, Final, Self

from boragespool.blackboard.forwarding_topics import (
    REGISTRATIONS,
    ROUTES,
    SERVING_HOSTS,
)
from boragespool.controllers.forwarding.crash_guard import CrashGuard
from boragespool.controllers.forwarding.route_times import RouteTimes
from boragespool.controllers.forwarding.server import Server
from boragespool.controllers.forwarding.server_connections import (
    ServerConnections,
)
from boragespool.controllers.forwarding.server_rate import ServerRate
from boragespool.controllers.forwarding.service_queues import ServiceQueues
from boragespool.events import Event, log_event
from boragespool.forwarding import (
    AllowanceShare,
    Candidate,
    Locality,
    RetryBudget,
    SharingDaemons,
    choose_server,
    diff_registrations,
    sharing_daemons,
)
from boragespool.http import ResponseBuffers

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.forwarding import HostRecord, Registration
    from boragespool.timers import TimerHandle, TimerService
    from boragespool.types import (
        DataCentre,
        Region,
        RouteName,
        Seconds,
        ServerName,
        ServiceName,
    )

#: Fraction of a server's connections that the daemons use. The rest allows
#: for connections that are closing but still count against its limit.
_USABLE_CONNECTION_RATIO: Final = 0.9
#: Minimum number of connections from one daemon to a server, so that a
#: request and its hedge fit even if there are many daemons.
_MIN_CONNECTION_COUNT: Final = 2
#: Minimum number of requests per slot that the daemons of its region
#: together may have in flight at a server: one runs while the next one waits.
_MIN_REQUESTS_PER_SLOT: Final = 2
#: Connections that a server allows if its service sets no limit.
_DEFAULT_CONNECTION_COUNT: Final = 40
#: Interval between checks for expired idle connections, in seconds; keep-alive
#: timeouts are whole seconds.
_IDLE_CHECK_INTERVAL_S: Final = 1


class ServerFleet:
    """Backend servers by service; a context manager.

    While entered, it follows the registrations, the daemons and the
    configuration on the blackboard.

    Parameters
    ----------
    board : Blackboard
        Source of registrations, daemons and the configuration.
    timers : TimerService
        Clock and timers.
    options : ForwardingOptions
        Location of this daemon, retry limits and the hedging quantile.
    random : callable
        Return a random number in ``[0, 1)``.

    Attributes
    ----------
    route_times : RouteTimes
        Observed service times by route.
    queues : ServiceQueues
        Calls that wait until a server has capacity, by service.
    response_buffers : ResponseBuffers
        Memory for incomplete responses of all servers.
    crash_guard : CrashGuard
        Keeps requests that crash servers away from them.
    """

    def __init__(
        self,
        board: Blackboard,
        timers: TimerService,
        options: ForwardingOptions,
        random: Callable[[], float],
    ) -> None:
        """Set up an empty fleet that follows nothing until it is entered."""
        self.board = board
        self.timers = timers
        self.options = options
        self.route_times = RouteTimes(options.hedge_quantile)
        self.queues = ServiceQueues(timers)
        self.response_buffers = ResponseBuffers(options.response_limits)
        self.crash_guard = CrashGuard(
            board, timers, options.host, partial(_is_in_use, self.servers_of)
        )
        self._registrations_by_server: Mapping[ServerName, Registration] = {}
        self._daemon_count = 0
        self._sharing_daemons = SharingDaemons({})
        self._random = random
        self._servers_by_service: defaultdict[
            ServiceName, dict[str, Server]
        ] = defaultdict(dict)
        self._budgets_by_service: dict[ServiceName, RetryBudget] = {}
        self._round_trip_s_by_data_centre: dict[DataCentre, Seconds] = {}
        self._region_by_data_centre = dict(options.regions_by_data_centre)
        self._allowance_share = AllowanceShare(changed_at_s=timers.now_s())
        self._attempt_numbers = itertools.count()
        self._idle_check: TimerHandle | None = None
        self._unsubscribe_callbacks: tuple[Callable[[], None], ...] = ()

    def __enter__(self) -> Self:
        """Subscribe to the blackboard and start closing idle connections."""
        self._idle_check = self.timers.every(
            _IDLE_CHECK_INTERVAL_S, self._close_expired_connections
        )
        self.crash_guard.__enter__()
        self._unsubscribe_callbacks = (
            self.board.subscribe(REGISTRATIONS, self._apply_registrations),
            self.board.subscribe(SERVING_HOSTS, self._apply_hosts),
            self.board.subscribe(ROUTES, self._update_limits),
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Unsubscribe and close all idle connections."""
        if self._idle_check is not None:
            self._idle_check.cancel()
        for unsubscribe in self._unsubscribe_callbacks:
            unsubscribe()
        self.crash_guard.__exit__(*exc_info)
        for servers in self._servers_by_service.values():
            for server in servers.values():
                server.connections.close()

    @property
    def daemon_count(self) -> int:
        """Number of daemons known to accept requests, at least 1."""
        return max(1, self._daemon_count)

    def next_attempt_number(self) -> int:
        """Return a number for an attempt or queued call; never reused."""
        return next(self._attempt_numbers)

    def servers_of(self, service: ServiceName) -> Mapping[str, Server]:
        """Return the servers of a service that accept requests, by name."""
        return self._servers_by_service.get(service, {})

    def choose(
        self,
        service: ServiceName,
        route: RouteName,
        tried: Collection[str],
    ) -> Server | None:
        """Return the best server that has capacity and was not tried yet.

        Returns
        -------
        Server or None
            None if no such server has capacity.
        """
        now_s = self.timers.now_s()
        servers = self.servers_of(service)
        mean_service_s = self.route_times.mean_service_s(route)
        chosen = choose_server(
            (
                Candidate(
                    name,
                    server.load,
                    self._locality_of(server.registration.data_centre),
                    server.has_capacity,
                    server.connect_s,
                )
                for name, server in servers.items()
                if name not in tried
            ),
            mean_service_s,
            now_s,
            self._random(),
        )
        return None if chosen is None else servers[chosen.server]

    def has_capacity(
        self,
        service: ServiceName,
        tried: Collection[str],
    ) -> bool:
        """Whether a server that was not tried yet can take a request now."""
        return any(
            server.has_capacity
            for name, server in self.servers_of(service).items()
            if name not in tried
        )

    def min_round_trip_s(
        self,
        service: ServiceName,
        tried: Collection[str],
    ) -> Seconds:
        """Return the round trip time to the nearest server not tried yet.

        In seconds; 0 if there is none or if it is unknown.
        """
        return min(
            (
                server.load.round_trip_s
                for name, server in self.servers_of(service).items()
                if name not in tried
            ),
            default=0,
        )

    def retry_budget(self, service: ServiceName) -> RetryBudget:
        """Return the budget for retries and hedges to a service."""
        retry_budget = self._budgets_by_service.get(service)
        if retry_budget is None:
            retry_budget = RetryBudget(self.options.retry_limits)
            self._budgets_by_service[service] = retry_budget
        return retry_budget

    def spend_retry_budget(
        self, service: ServiceName, *, is_hedge: bool
    ) -> bool:
        """Charge a retry or hedge to the budget of a service.

        Returns
        -------
        bool
            Whether the budget allows the attempt; False charges nothing.
        """
        now_s = self.timers.now_s()
        return self.retry_budget(service).spend(
            now_s,
            self._allowance_share.at(now_s, self.options.retry_limits.window_s),
            is_hedge=is_hedge,
        )

    def update_round_trip(self, server: Server) -> None:
        """Update the round trip time to the data centre of a server.

        It is the shortest TCP handshake with any server in the data centre,
        and applies to all of them.
        """
        took_s = server.connections.min_handshake_s
        if took_s is None:
            return
        data_centre = server.registration.data_centre
        known_s = self._round_trip_s_by_data_centre.get(data_centre)
        if known_s is None or took_s < known_s:
            self._round_trip_s_by_data_centre[data_centre] = took_s
            for servers in self._servers_by_service.values():
                for other in servers.values():
                    _set_round_trip(other, data_centre, took_s)

    def discard(self, server: Server) -> None:
        """Stop using a server whose address now belongs to another server."""
        if _is_in_use(self.servers_of, server):
            registration = server.registration
            del self._servers_by_service[registration.service][
                registration.server
            ]
        server.connections.close()

    def _apply_registrations(
        self,
        registrations: Mapping[ServerName, Registration] | None,
    ) -> None:
        change = diff_registrations(
            self._registrations_by_server, registrations or {}
        )
        before_by_server = self._registrations_by_server
        self._registrations_by_server = registrations or {}
        for changed in change.changed:
            before = before_by_server[changed.server]
            if before.service != changed.service:
                self._remove(before, 'gone')
        has_new = [
            self._add_or_update(registration)
            for registration in change.added + change.changed
        ]
        for registration in change.removed:
            self._remove(registration, 'gone')
        if change.removed or any(has_new):
            self._update_limits()

    def _apply_hosts(self, records: tuple[HostRecord, ...]) -> None:
        self._daemon_count = len(records)
        self._sharing_daemons = sharing_daemons(records, self.options.host)
        self._allowance_share = self._allowance_share.changed(
            1 / self._sharing_daemons.count,
            self.timers.now_s(),
            self.options.retry_limits.window_s,
        )
        self._update_limits()

    def _add_or_update(self, registration: Registration) -> bool:
        """Use a registration; return whether it is that of a new server."""
        servers = self._servers_by_service[registration.service]
        known = servers.get(registration.server)
        if registration.draining:
            if known is not None:
                self._remove(registration, 'draining')
            return False
        if known is not None:
            if _is_same_process(known.registration, registration):
                known.registration = registration
                return False
            known.connections.close()
        dispatch = partial(self.queues.dispatch, registration.service)
        server = Server(
            registration,
            ServerConnections(
                registration.address,
                self.timers,
                self.response_buffers,
                dispatch,
            ),
            ServerRate(registration.server, self.timers, dispatch),
        )
        server.load.round_trip_s = self._round_trip_s_by_data_centre.get(
            registration.data_centre,
            0,
        )
        server.load.warm_at_s = self.timers.now_s() + registration.warm_up_s
        servers[registration.server] = server
        _log_server_state(registration, 'ready')
        return True

    def _remove(self, registration: Registration, state: str) -> None:
        servers = self._servers_by_service[registration.service]
        known = servers.pop(registration.server, None)
        if known is not None:
            known.connections.close()
            _log_server_state(registration, state)

    def _locality_of(self, data_centre: DataCentre) -> Locality:
        if data_centre == self.options.data_centre:
            return Locality.DATA_CENTRE
        is_near = self._region_of(data_centre) == self.options.region
        return Locality.REGION if is_near else Locality.ELSEWHERE

    def _update_limits(self, _: object = None) -> None:
        """Recalculate this daemon's share of the capacity of each server."""
        routes = self.board.read(ROUTES)
        connection_limits_by_service: Mapping[ServiceName, int] = {}
        if routes is not None:
            connection_limits_by_service = (
                routes.configuration.connections_by_service
            )
        for service, servers in self._servers_by_service.items():
            usable_count = (
                _USABLE_CONNECTION_RATIO
                * connection_limits_by_service.get(
                    service,
                    _DEFAULT_CONNECTION_COUNT,
                )
            )
            for server in servers.values():
                regions = (
                    self._region_of(server.registration.data_centre),
                    self.options.region,
                )
                sharing = self._sharing_daemons
                share = usable_count * sharing.connection_ratio(*regions)
                server.rate.apply_ratio(sharing.rate_ratio(*regions))
                server.connections.max_idle_s = self._sharing_daemons.max_idle_s
                server.set_limits(
                    max(_MIN_CONNECTION_COUNT, int(share)),
                    self._min_concurrency(server.registration),
                )
        self.queues.dispatch_all()

    def _region_of(self, data_centre: DataCentre) -> Region:
        """Return the region of a data centre; its own name if unknown."""
        return self._region_by_data_centre.get(data_centre, data_centre)

    def _min_concurrency(self, registration: Registration) -> int:
        """Return the lower bound of the concurrency limit of a server."""
        region = self._region_of(registration.data_centre)
        if region != self.options.region:
            return _MIN_CONNECTION_COUNT
        slots = _MIN_REQUESTS_PER_SLOT * registration.slots
        return math.ceil(slots / self._sharing_daemons.near_count(region))

    def _close_expired_connections(self) -> None:
        for servers in self._servers_by_service.values():
            for server in servers.values():
                server.connections.close_expired()


def _set_round_trip(
    server: Server, data_centre: str, round_trip_s: Seconds
) -> None:
    if server.registration.data_centre == data_centre:
        server.load.round_trip_s = round_trip_s


def _is_in_use(
    servers_of: Callable[[ServiceName], Mapping[str, Server]],
    server: Server,
) -> bool:
    registration = server.registration
    servers = servers_of(registration.service)
    return servers.get(registration.server) is server


def _is_same_process(first: Registration, second: Registration) -> bool:
    return (first.address, first.started_at_ms) == (
        second.address,
        second.started_at_ms,
    )


def _log_server_state(registration: Registration, state: str) -> None:
    log_event(
        Event.SERVER_STATE_CHANGED,
        f'{registration.server!r} of {registration.service!r} is {state}',
        server=registration.server,
        service=registration.service,
        address=registration.address,
        state=state,
        sequence=registration.sequence,
    )
