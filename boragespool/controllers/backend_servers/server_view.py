"""Records of all backend servers with the states that hold at one daemon."""

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
    """What the states follow from.

    Attributes
    ----------
    settings : Settings
        Settings in force; they name all servers and the drained ones.
    records : mapping of str to ServerRecord
        Records by the servers' dispatchers.
    observations : mapping of str to ServerObservation
        What this daemon saw while it sent work.
    leaving_hosts : frozenset of str
        Hosts that leave according to the platform.
    now_s : float
        Time on the clock of the observations, in seconds.
    """

    settings: Settings
    records: Mapping[ServerName, ServerRecord]
    observations: Mapping[ServerName, ServerObservation]
    leaving_hosts: frozenset[str]
    now_s: Seconds


class ServerView:
    """View of all servers, updated step by step.

    Attributes
    ----------
    by_server : ShardedMapping of str to ServerRecord
        Never changed; a refresh replaces it if a record differs.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.by_server: ShardedMapping[ServerRecord] = ShardedMapping()
        self._sources = ViewSources(Settings(), {}, {}, frozenset(), 0)
        self._service_by_server: dict[ServerName, ServiceName] = {}
        self._states_by_service: dict[ServiceName, ServiceStates] = {}
        self._recently_draining: frozenset[ServerName] = frozenset()

    @property
    def has_expiring_state(self) -> bool:
        """Whether a state changes after some time without any event."""
        return bool(self._recently_draining)

    def refresh(
        self,
        sources: ViewSources,
        changed: Iterable[ServerName],
    ) -> Mapping[ServerName, ServerRecord]:
        """Follow a change.

        Parameters
        ----------
        sources : ViewSources
            Present sources.
        changed : iterable of str
            Servers whose record differs from that at the last refresh. Other
            differences of the sources are found here.

        Returns
        -------
        mapping of str to ServerRecord
            Records that differ from the view before.
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
        """Return the servers whose signs differ apart from the records."""
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
        """Forget what followed from other settings."""
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
        """Return the records of some servers with the states that hold."""
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
