"""Backend servers of this daemon: registrations, links, loads and budgets."""

from __future__ import annotations

import itertools
import math
from collections import Counter, defaultdict
from functools import partial
from typing import TYPE_CHECKING, Final, Self

from boragespool.blackboard.forwarding_topics import (
    REGISTERED,
    ROUTES,
    SERVING_HOSTS,
)
from boragespool.controllers.forwarding.links import ServerLink
from boragespool.controllers.forwarding.route_times import RouteTimes
from boragespool.controllers.forwarding.server import Server
from boragespool.controllers.forwarding.waiting import WaitingCalls
from boragespool.events import Event, log_event
from boragespool.forwarding import (
    Candidate,
    Place,
    RetryBudget,
    choose_server,
    diff_registrations,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.forwarding import HostRecord, Registration
    from boragespool.timers import Subscription, TimerService
    from boragespool.types import (
        DataCentre,
        RouteName,
        Seconds,
        ServerName,
        ServiceName,
    )

#: Part of the connections of a backend server that daemons of its own data
#: centre share; the others share the rest.
_LOCAL_SHARE: Final = 0.6
#: Part of the connections that is used at all, so that connections that are
#: just being closed do not count against the limit.
_LIMIT_USE: Final = 0.9
#: Connections that a daemon may open at least, so that a request and its
#: hedge fit in the largest fleets.
_LEAST_LIMIT: Final = 2
#: Requests, as a multiple of its slots, that the daemons of its data centre
#: send to a server at least; one waits there while another one runs.
_LEAST_SLOT_USE: Final = 2
#: Connections of a server whose service states no limit, as on the sites.
_DEFAULT_CONNECTIONS: Final = 40
#: Idle connections are looked at this often, in seconds; their limits are
#: whole seconds.
_TRIM_INTERVAL_S: Final = 1


class ServerFleet:
    """All backend servers, a context manager.

    Parameters
    ----------
    board : Blackboard
        Read for registrations, daemons and the configuration.
    timers : TimerService
        Clock.
    options : ForwardingOptions
        Settings.
    draw : callable
        Returns a random number in ``[0, 1)``.
    """

    def __init__(
        self,
        board: Blackboard,
        timers: TimerService,
        options: ForwardingOptions,
        draw: Callable[[], float],
    ) -> None:
        """Start without servers."""
        self.board = board
        self.timers = timers
        self.options = options
        self.times = RouteTimes(options.hedge_quantile)
        self.waiting = WaitingCalls(timers)
        self._known: Mapping[ServerName, Registration] = {}
        self._daemons_by_data_centre: Counter[DataCentre] = Counter()
        self._draw = draw
        self._servers_by_service: defaultdict[
            ServiceName, dict[str, Server]
        ] = defaultdict(dict)
        self._budgets_by_service: dict[ServiceName, RetryBudget] = {}
        self._distance_s_by_data_centre: dict[DataCentre, Seconds] = {}
        self._region_by_data_centre = dict(options.regions_by_data_centre)
        self._started_at_s = timers.now_s()
        self._attempts = itertools.count()
        self._trimming: Subscription | None = None
        self._unsubscribe: tuple[Callable[[], None], ...] = ()

    def __enter__(self) -> Self:
        """Follow the blackboard and begin to trim idle connections."""
        self._trimming = self.timers.every(_TRIM_INTERVAL_S, self._trim)
        self._unsubscribe = (
            self.board.subscribe(REGISTERED, self._take_servers),
            self.board.subscribe(SERVING_HOSTS, self._take_hosts),
            self.board.subscribe(ROUTES, self._share_connections),
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close all idle connections."""
        if self._trimming is not None:
            self._trimming.cancel()
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        for servers in self._servers_by_service.values():
            for server in servers.values():
                server.link.close()

    @property
    def daemon_count(self) -> int:
        """Daemons that are known to serve, at least this one."""
        return max(1, self._daemons_by_data_centre.total())

    def next_attempt(self) -> int:
        """Return a number for an attempt that this process never used."""
        return next(self._attempts)

    def servers_of(self, service: ServiceName) -> Mapping[str, Server]:
        """Return the backend servers of a service that take new work."""
        return self._servers_by_service.get(service, {})

    def choose(
        self,
        service: ServiceName,
        route: RouteName,
        tried: Collection[str],
    ) -> Server | None:
        """Choose a server for a request; None if none has room."""
        now_s = self.timers.now_s()
        servers = self.servers_of(service)
        usual_s = self.times.usual_s(route)
        chosen = choose_server(
            (
                Candidate(
                    name,
                    server.load,
                    self._place_of(server.registration.data_centre),
                    server.has_room,
                )
                for name, server in servers.items()
                if name not in tried
            ),
            usual_s,
            now_s,
            self._draw(),
        )
        return None if chosen is None else servers[chosen.server]

    def has_room(
        self,
        service: ServiceName,
        tried: Collection[str],
    ) -> bool:
        """Whether a server that was not tried can take a request now."""
        return any(
            server.has_room
            for name, server in self.servers_of(service).items()
            if name not in tried
        )

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return the budget of second attempts to a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self.options.retries, self._started_at_s)
            self._budgets_by_service[service] = budget
        return budget

    def may_repeat(self, service: ServiceName, *, is_hedge: bool) -> bool:
        """Take one second attempt from the budget of a service."""
        return self.budget(service).spend(
            self.timers.now_s(),
            self.daemon_count,
            is_hedge=is_hedge,
        )

    def note_handshake(self, server: Server) -> None:
        """Learn the distance of a data centre from the shortest handshake."""
        took_s = server.link.handshake_s
        if took_s is None:
            return
        place = server.registration.data_centre
        known_s = self._distance_s_by_data_centre.get(place)
        if known_s is None or took_s < known_s:
            self._distance_s_by_data_centre[place] = took_s
            for servers in self._servers_by_service.values():
                for other in servers.values():
                    _note_distance(other, place, took_s)

    def drop(self, server: Server) -> None:
        """Stop using a server whose address another one has taken over."""
        name = server.registration.server
        self._servers_by_service[server.registration.service].pop(name, None)
        server.link.close()

    def _take_servers(
        self,
        registered: Mapping[ServerName, Registration] | None,
    ) -> None:
        change = diff_registrations(self._known, registered or {})
        self._known = registered or {}
        for registration in change.added + change.changed:
            self._place(registration)
        for registration in change.removed:
            self._remove(registration, 'gone')
        if change.added or change.removed:
            self._share_connections()

    def _take_hosts(self, records: tuple[HostRecord, ...]) -> None:
        self._daemons_by_data_centre = Counter(
            record.data_centre for record in records
        )
        self._share_connections()

    def _place(self, registration: Registration) -> None:
        servers = self._servers_by_service[registration.service]
        known = servers.get(registration.server)
        if registration.draining:
            if known is not None:
                self._remove(registration, 'draining')
            return
        if known is not None:
            if _is_same_start(known.registration, registration):
                known.registration = registration
                return
            known.link.close()
        link = ServerLink(
            registration.address,
            self.timers,
            partial(self.waiting.serve, registration.service),
        )
        server = Server(registration, link)
        server.load.round_trip_s = self._distance_s_by_data_centre.get(
            registration.data_centre,
            0,
        )
        server.load.warm_at_s = self.timers.now_s() + registration.warm_up_s
        servers[registration.server] = server
        _log_server(registration, 'ready')

    def _remove(self, registration: Registration, state: str) -> None:
        servers = self._servers_by_service[registration.service]
        known = servers.pop(registration.server, None)
        if known is not None:
            known.link.close()
            _log_server(registration, state)

    def _place_of(self, data_centre: DataCentre) -> Place:
        if data_centre == self.options.data_centre:
            return Place.DATA_CENTRE
        region = self._region_by_data_centre.get(data_centre)
        is_near = region == self.options.region
        return Place.REGION if is_near else Place.ELSEWHERE

    def _share_connections(self, _: object = None) -> None:
        """Divide each server's connections between the daemons."""
        routes = self.board.read(ROUTES)
        limits_by_service: Mapping[ServiceName, int] = {}
        if routes is not None:
            limits_by_service = routes.configuration.connections_by_service
        for service, servers in self._servers_by_service.items():
            allowed = _LIMIT_USE * limits_by_service.get(
                service,
                _DEFAULT_CONNECTIONS,
            )
            for server in servers.values():
                place = server.registration.data_centre
                share = allowed * self._share_of(place)
                server.share(
                    max(_LEAST_LIMIT, int(share)),
                    self._least_window(server.registration),
                )
        self.waiting.serve_all()

    def _share_of(self, place: DataCentre) -> float:
        """Return this daemon's part of the connections in a data centre."""
        near_count = self._daemons_by_data_centre[place]
        if place == self.options.data_centre:
            return _LOCAL_SHARE / max(1, near_count)
        return (1 - _LOCAL_SHARE) / max(1, self.daemon_count - near_count)

    def _least_window(self, registration: Registration) -> int:
        """Return what a server gets at the same time however slow it is."""
        place = registration.data_centre
        if place != self.options.data_centre:
            return _LEAST_LIMIT
        near_count = max(1, self._daemons_by_data_centre[place])
        slots = _LEAST_SLOT_USE * registration.slots
        return math.ceil(slots / near_count)

    def _trim(self) -> None:
        for servers in self._servers_by_service.values():
            for server in servers.values():
                server.link.trim()


def _note_distance(server: Server, place: str, round_trip_s: Seconds) -> None:
    if server.registration.data_centre == place:
        server.load.round_trip_s = round_trip_s


def _is_same_start(first: Registration, second: Registration) -> bool:
    return (first.address, first.started_at_ms) == (
        second.address,
        second.started_at_ms,
    )


def _log_server(registration: Registration, state: str) -> None:
    log_event(
        Event.SERVER_STATE_CHANGED,
        f'{registration.server!r} of {registration.service!r} is {state}',
        server=registration.server,
        service=registration.service,
        address=registration.address,
        state=state,
        sequence=registration.sequence,
    )
