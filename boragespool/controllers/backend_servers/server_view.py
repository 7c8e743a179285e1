"""Records of all backend servers with their effective states at one daemon."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from boragespool.backends import ServerSignals, ServiceStates
from boragespool.blackboard import ShardedMapping
from boragespool.controllers.backend_servers.server_records import (
    recently_draining,
)
from boragespool.settings import Settings
from boragespool.types import ServerState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from boragespool.blackboard.topics import ServerObservation
    from boragespool.messages import ServerRecord
    from boragespool.settings import ServerSettings
    from boragespool.types import Seconds, ServerName, ServiceName


@dataclass(frozen=True, slots=True)
class ViewSources:
    """Inputs from which the effective states are derived.

    Attributes
    ----------
    settings : Settings
        Settings in force, with all servers and which of them are drained.
    records : mapping of str to ServerRecord
        Records by server, as announced by the dispatchers.
    observations : mapping of str to ServerObservation
        What this daemon observed by server while it sent work.
    leaving_hosts : frozenset of str
        Hosts that the platform lists as leaving.
    now_s : float
        Time on the clock of the observations, in seconds.
    """

    settings: Settings
    records: Mapping[ServerName, ServerRecord]
    observations: Mapping[ServerName, ServerObservation]
    leaving_hosts: frozenset[str]
    now_s: Seconds


class ServerView:
    """Effective records of all servers, updated incrementally.

    Attributes
    ----------
    by_server : ShardedMapping of str to ServerRecord
        Records by server. The mapping is immutable; `refresh` replaces it if a
        record changed.
    """

    def __init__(self) -> None:
        """Set up an empty view."""
        self.by_server: ShardedMapping[ServerRecord] = ShardedMapping()
        self._sources = ViewSources(Settings(), {}, {}, frozenset(), 0)
        self._service_by_server: dict[ServerName, ServiceName] = {}
        self._states_by_service: dict[ServiceName, ServiceStates] = {}
        self._recently_draining: frozenset[ServerName] = frozenset()

    @property
    def has_expiring_state(self) -> bool:
        """Whether a state may change by the passage of time alone."""
        return bool(self._recently_draining)

    def refresh(
        self,
        sources: ViewSources,
        changed: Iterable[ServerName],
    ) -> Mapping[ServerName, ServerRecord]:
        """Update the view after a change of the sources.

        Parameters
        ----------
        sources : ViewSources
            Current sources.
        changed : iterable of str
            Servers whose record in the sources changed since the last refresh.
            Changes of the other sources are found by comparison.

        Returns
        -------
        mapping of str to ServerRecord
            Changed records by server.
        """
        stale = {*changed, *self._find_changes(sources)}
        self._sources = sources
        for changed_server in tuple(stale & self._service_by_server.keys()):
            service = self._service_by_server[changed_server]
            states = self._states_by_service[service]
            if states.set_signals(
                changed_server, self._signals(changed_server)
            ):
                stale.update(states.servers)
        updates = {
            server: record
            for server, record in self._current_records(stale)
            if record != self.by_server.get(server)
        }
        if updates:
            self.by_server = self.by_server.updated(updates)
        return updates

    def _find_changes(self, sources: ViewSources) -> set[ServerName]:
        """Return the servers affected by changes of sources except records."""
        before = self._sources
        recent = frozenset(
            server
            for server, observation in sources.observations.items()
            if recently_draining(observation, sources.now_s)
        )
        found = set(recent ^ self._recently_draining)
        self._recently_draining = recent
        if sources.settings is not before.settings:
            self._reset(sources.settings)
            return set(self._service_by_server)
        changed_hosts = sources.leaving_hosts ^ before.leaving_hosts
        if changed_hosts:
            found.update(
                server
                for server, service in self._service_by_server.items()
                if _server_settings(sources, service, server).host
                in changed_hosts
            )
        return found

    def _reset(self, settings: Settings) -> None:
        """Drop the states of other settings and the servers they removed."""
        self._service_by_server = {
            server: name
            for name, service in settings.services.items()
            for server in service.servers
        }
        self._states_by_service = {
            name: ServiceStates() for name in settings.services
        }
        kept = {
            server: record
            for server, record in self.by_server.items()
            if server in self._service_by_server
        }
        empty: ShardedMapping[ServerRecord] = ShardedMapping()
        self.by_server = empty.updated(kept)

    def _signals(self, server: ServerName) -> ServerSignals:
        sources = self._sources
        configured = _server_settings(
            sources,
            self._service_by_server[server],
            server,
        )
        record = sources.records.get(server)
        return ServerSignals(
            ServerState.SERVING if record is None else record.state,
            drained=configured.drained,
            host_leaving=bool(configured.host)
            and configured.host in sources.leaving_hosts,
            reply_draining=server in self._recently_draining,
        )

    def _current_records(
        self,
        servers: Iterable[ServerName],
    ) -> Iterable[tuple[ServerName, ServerRecord]]:
        """Return the records of some servers with their effective states."""
        for server in servers:
            service = self._service_by_server.get(server)
            record = self._sources.records.get(server)
            if service is None or record is None:
                continue
            state = self._states_by_service[service].state(server)
            if state == record.state:
                yield server, record
            else:
                yield server, replace(record, state=state)


def _server_settings(
    sources: ViewSources,
    service: ServiceName,
    server: ServerName,
) -> ServerSettings:
    return sources.settings.services[service].servers[server]
