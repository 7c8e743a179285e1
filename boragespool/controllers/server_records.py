"""Records of backend servers: merged, aged, and adjusted for all signs."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from boragespool.backends import ServerSigns, prefer, states_of
from boragespool.messages import Holding, ServerRecord
from boragespool.types import ServerState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from boragespool.blackboard.topics import ServerObservation
    from boragespool.controllers.backend_protocol import BackendStatus
    from boragespool.settings import ServerSettings, Settings
    from boragespool.types import HostName, Seconds, ServerName

#: A reply ``draining`` counts until the polls must have confirmed it.
_REPLY_AGE_S: Final = 5


class RecordTable:
    """Records of all servers, with the time of their last confirmation.

    Parameters
    ----------
    record_age_s : float
        Time without confirmation after which any other record replaces one.
        A daemon that sees only a sample of the members may not know that a
        dispatcher is gone.
    """

    def __init__(self, record_age_s: Seconds) -> None:
        """Start empty."""
        self.by_server: dict[ServerName, ServerRecord] = {}
        self._heard_s: dict[ServerName, Seconds] = {}
        self._record_age_s = record_age_s

    def merge(
        self,
        incoming: ServerRecord,
        current: HostName | None,
        now_s: Seconds,
    ) -> None:
        """Keep the incoming record if it is preferred to the known one."""
        server = incoming.server
        known = self.by_server.get(server)
        silent_s = now_s - self._heard_s.get(server, -math.inf)
        is_stale = silent_s > self._record_age_s
        kept = prefer(None if is_stale else known, incoming, current)
        if kept == incoming:
            self.by_server[server] = incoming
            self._heard_s[server] = now_s

    def owned(self, servers: Iterable[ServerName]) -> tuple[ServerRecord, ...]:
        """Return the known records of some servers, ordered by name."""
        return tuple(
            self.by_server[server]
            for server in sorted(servers)
            if server in self.by_server
        )

    def keep_only(self, servers: Mapping[ServerName, ServerSettings]) -> None:
        """Forget servers that are no longer in the settings."""
        for server in self.by_server.keys() - servers.keys():
            self.by_server.pop(server)
            self._heard_s.pop(server)


def servers_of(settings: Settings) -> dict[ServerName, ServerSettings]:
    """Return the backend servers of all services."""
    return {
        name: server
        for service in settings.services.values()
        for name, server in service.servers.items()
    }


def holdings_of(status: BackendStatus) -> tuple[Holding, ...]:
    """Return the index versions of a status, oldest first."""
    return tuple(
        sorted(
            (
                Holding(int(version), ranges)
                for version, ranges in status.holdings.items()
                if version.isdecimal()
            ),
            key=lambda holding: holding.version,
        ),
    )


def view_of(
    settings: Settings,
    records: Mapping[ServerName, ServerRecord],
    observations: Mapping[ServerName, ServerObservation],
    leaving_hosts: frozenset[str],
    now_s: Seconds,
) -> dict[ServerName, ServerRecord]:
    """Return the records with the states that hold at this daemon.

    Parameters
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
    view: dict[ServerName, ServerRecord] = {}
    for service in settings.services.values():
        signs_by_server = {
            name: _signs(
                server,
                records.get(name),
                observations.get(name),
                leaving_hosts,
                now_s,
            )
            for name, server in service.servers.items()
        }
        states = states_of(signs_by_server)
        known = [records[name] for name in states if name in records]
        for record in known:
            view[record.server] = replace(record, state=states[record.server])
    return view


def recently_draining(
    observation: ServerObservation | None,
    now_s: Seconds,
) -> bool:
    """Whether the server refused work as draining a moment ago."""
    if observation is None:
        return False
    return now_s - observation.draining_at_s < _REPLY_AGE_S


def _signs(
    server: ServerSettings,
    record: ServerRecord | None,
    observation: ServerObservation | None,
    leaving_hosts: frozenset[str],
    now_s: Seconds,
) -> ServerSigns:
    return ServerSigns(
        ServerState.SERVING if record is None else record.state,
        drained=server.drained,
        host_leaving=bool(server.host) and server.host in leaving_hosts,
        reply_draining=recently_draining(observation, now_s),
    )
