"""Backend servers of this daemon: registrations, links, loads and budgets."""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import TYPE_CHECKING, Final, Self

from boragespool.controllers.forwarding.feed import ChangeFeed
from boragespool.controllers.forwarding.links import ServerLink
from boragespool.events import Event, log_event
from boragespool.forwarding import (
    Candidate,
    RegistrationTable,
    ServerLoad,
    WindowBudget,
    choose_server,
)
from boragespool.results import Failure
from boragespool.routing import LatencyTracker

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from boragespool.controllers.forwarding.dialect import Dialect
    from boragespool.controllers.forwarding.mirror import MirrorState
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.forwarding import Registration, RegistryChange
    from boragespool.store import Item
    from boragespool.timers import Subscription, TimerService
    from boragespool.types import DataCentre, RouteName, Seconds, ServiceName

#: Part of the connections of a backend server that daemons of its own data
#: centre share; the others share the rest.
_LOCAL_SHARE: Final = 0.6
#: Part of the connections that is used at all, so that connections that are
#: just being closed do not count against the limit.
_LIMIT_USE: Final = 0.9
_LEAST_LIMIT: Final = 2
_DEFAULT_CONNECTIONS: Final = 40
_TRIM_INTERVAL_S: Final = 1
#: Usual service time of a route without samples, as a part of its target.
_FIRST_USUAL_SHARE: Final = 0.15
_USUAL_WEIGHT: Final = 0.02
_USUAL_STEP: Final = 4


class Server:
    """One backend server with its link and load."""

    def __init__(self, registration: Registration, link: ServerLink) -> None:
        """Keep the parts."""
        self.registration = registration
        self.link = link
        self.load = ServerLoad(registration.slots)


class ServerFleet:
    """All backend servers, a context manager.

    Parameters
    ----------
    timers : TimerService
        Clock.
    options : ForwardingOptions
        Settings.
    dialect : Dialect
        Decodes registrations.
    draw : callable
        Returns a random number in ``[0, 1)``.
    """

    def __init__(
        self,
        timers: TimerService,
        options: ForwardingOptions,
        dialect: Dialect,
        draw: Callable[[], float],
    ) -> None:
        """Start without servers."""
        self.timers = timers
        self.options = options
        self.is_known = False
        self.daemons_by_data_centre: Mapping[DataCentre, int] = {}
        self._dialect = dialect
        self._draw = draw
        self._table = RegistrationTable(options.return_grace_s)
        self.feed = ChangeFeed(timers)
        self._told_by_key: dict[str, Registration] = {}
        self._listed: dict[str, Registration] = {}
        self._servers_by_service: defaultdict[
            ServiceName, dict[str, Server]
        ] = defaultdict(dict)
        self._connections_by_service: Mapping[ServiceName, int] = {}
        self._budgets_by_service: dict[ServiceName, WindowBudget] = {}
        self._trackers_by_route: dict[RouteName, LatencyTracker] = {}
        self._usual_s_by_route: dict[RouteName, Seconds] = {}
        self._distance_s_by_data_centre: dict[DataCentre, Seconds] = {}
        self._attempts = itertools.count()
        self._trimming: Subscription | None = None

    def __enter__(self) -> Self:
        """Begin to trim idle connections."""
        self._trimming = self.timers.every(_TRIM_INTERVAL_S, self._trim)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close all idle connections."""
        if self._trimming is not None:
            self._trimming.cancel()
        for servers in self._servers_by_service.values():
            for server in servers.values():
                server.link.close()

    @property
    def daemon_count(self) -> int:
        """Daemons that are known to serve, at least this one."""
        return max(1, sum(self.daemons_by_data_centre.values()))

    def next_attempt(self) -> int:
        """Return a number for an attempt that this process never used."""
        return next(self._attempts)

    def servers_of(self, service: ServiceName) -> Mapping[str, Server]:
        """Return the backend servers of a service that take new work."""
        return self._servers_by_service.get(service, {})

    def set_connections(self, counts: Mapping[ServiceName, int]) -> None:
        """Take over the connection limits of the configuration."""
        self._connections_by_service = counts
        self._share_connections()

    def set_daemons(self, counts: Mapping[DataCentre, int]) -> None:
        """Take over how many daemons serve in each data centre."""
        self.daemons_by_data_centre = counts
        self._share_connections()

    def take_state(self, state: MirrorState) -> None:
        """Take over what the store lists."""
        for key in state.changed_keys:
            self._read(key, state)
        keys_by_server = {
            entry.server: key for key, entry in self._listed.items()
        }
        change = self._table.update(
            {entry.server: entry for entry in self._listed.values()},
            self.timers.now_s(),
            state.returned_at_s,
        )
        self.is_known = True
        self._apply(change, state.revision)
        self._publish(change, keys_by_server, state)

    def choose(
        self,
        service: ServiceName,
        route: RouteName,
        tried: Collection[str],
    ) -> Server | None:
        """Choose a server for a request; None if none has room."""
        now_s = self.timers.now_s()
        servers = self.servers_of(service)
        usual_s = self.usual_s(route)
        local = self.options.data_centre
        chosen = choose_server(
            (
                Candidate(
                    name,
                    server.load,
                    server.registration.data_centre == local,
                    server.link.has_room,
                )
                for name, server in servers.items()
                if name not in tried
            ),
            usual_s,
            now_s,
            self._draw(),
        )
        return None if chosen is None else servers[chosen.server]

    def budget(self, service: ServiceName) -> WindowBudget:
        """Return the budget of second attempts to a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = WindowBudget(self.options.retries)
            self._budgets_by_service[service] = budget
        return budget

    def may_repeat(self, service: ServiceName) -> bool:
        """Take one second attempt from the budget of a service."""
        return self.budget(service).spend(
            self.timers.now_s(),
            self.daemon_count,
        )

    def usual_s(self, route: RouteName) -> Seconds:
        """Return the usual service time of a route, in seconds."""
        return self._usual_s_by_route.get(route, 0)

    def expect(self, route: RouteName, target_s: Seconds) -> None:
        """Give a new route a first usual service time."""
        self._usual_s_by_route.setdefault(
            route,
            target_s * _FIRST_USUAL_SHARE,
        )

    def tracker(self, route: RouteName) -> LatencyTracker:
        """Return the latency quantile of a route."""
        tracker = self._trackers_by_route.get(route)
        if tracker is None:
            tracker = LatencyTracker(self.options.hedge_quantile)
            self._trackers_by_route[route] = tracker
        return tracker

    def note_service_time(self, route: RouteName, service_s: Seconds) -> None:
        """Add the latency of a success, without the distance."""
        self.tracker(route).record(service_s)
        usual_s = self.usual_s(route)
        step = min(service_s, _USUAL_STEP * usual_s) - usual_s
        self._usual_s_by_route[route] = usual_s + _USUAL_WEIGHT * step

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
                    if other.registration.data_centre == place:
                        other.load.distance_s = took_s

    def drop(self, server: Server) -> None:
        """Stop using a server whose address another one has taken over."""
        name = server.registration.server
        self._servers_by_service[server.registration.service].pop(name, None)
        server.link.close()

    def _publish(
        self,
        change: RegistryChange,
        keys_by_server: Mapping[str, str],
        state: MirrorState,
    ) -> None:
        """Tell other daemons what changed, but not each heartbeat."""
        changes_by_key: dict[str, Item | None] = {}
        for registration in change.added + change.changed:
            key = keys_by_server[registration.server]
            if self._told_by_key.get(key) != registration.without_sequence:
                self._told_by_key[key] = registration.without_sequence
                changes_by_key[key] = state.items_by_key[key]
        for key in tuple(self._told_by_key):
            if self._told_by_key[key].server not in self._table.by_server:
                del self._told_by_key[key]
                changes_by_key[key] = None
        self.feed.publish(
            changes_by_key,
            state.revision,
            state.returned_at_s,
        )

    def _read(self, key: str, state: MirrorState) -> None:
        item = state.items_by_key.get(key)
        if item is None:
            self._listed.pop(key, None)
            return
        registration = self._dialect.read_registration(item)
        if isinstance(registration, Failure):
            self._listed.pop(key, None)
            log_event(
                Event.REGISTRATION_REJECTED,
                registration.reason,
                key=key,
                revision=item.revision,
            )
            return
        self._listed[key] = registration

    def _apply(self, change: RegistryChange, revision: int) -> None:
        for registration in change.added + change.changed:
            self._place(registration, revision)
        for registration in change.removed:
            self._remove(registration, revision, 'gone')
        if change.added or change.removed:
            self._share_connections()

    def _place(self, registration: Registration, revision: int) -> None:
        servers = self._servers_by_service[registration.service]
        known = servers.get(registration.server)
        if registration.draining:
            if known is not None:
                self._remove(registration, revision, 'draining')
            return
        if known is not None and (
            known.registration.address == registration.address
            and known.registration.born_ms == registration.born_ms
        ):
            known.registration = registration
            return
        if known is not None:
            known.link.close()
        link = ServerLink(registration.address, self.timers)
        server = Server(registration, link)
        server.load.distance_s = self._distance_s_by_data_centre.get(
            registration.data_centre,
            0,
        )
        server.load.warm_at_s = self.timers.now_s() + registration.warm_up_s
        servers[registration.server] = server
        _log_server(registration, revision, 'ready')

    def _remove(
        self,
        registration: Registration,
        revision: int,
        state: str,
    ) -> None:
        servers = self._servers_by_service[registration.service]
        known = servers.pop(registration.server, None)
        if known is not None:
            known.link.close()
            _log_server(registration, revision, state)

    def _share_connections(self) -> None:
        """Divide each server's connections between the daemons."""
        local = self.options.data_centre
        counts = self.daemons_by_data_centre
        local_count = max(1, counts.get(local, 1))
        for service, servers in self._servers_by_service.items():
            allowed = _LIMIT_USE * self._connections_by_service.get(
                service,
                _DEFAULT_CONNECTIONS,
            )
            for server in servers.values():
                place = server.registration.data_centre
                if place == local:
                    share = allowed * _LOCAL_SHARE / local_count
                else:
                    remote = self.daemon_count - counts.get(place, 0)
                    share = allowed * (1 - _LOCAL_SHARE) / max(1, remote)
                server.link.limit = max(_LEAST_LIMIT, int(share))

    def _trim(self) -> None:
        for servers in self._servers_by_service.values():
            for server in servers.values():
                server.link.trim()


def _log_server(
    registration: Registration,
    revision: int,
    state: str,
) -> None:
    log_event(
        Event.SERVER_STATE_CHANGED,
        f'{registration.server!r} of {registration.service!r} is {state}',
        server=registration.server,
        service=registration.service,
        address=registration.address,
        state=state,
        sequence=registration.sequence,
        revision=revision,
    )
