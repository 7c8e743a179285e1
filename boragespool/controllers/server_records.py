"""Records of backend servers, adjusted for all signs."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from boragespool.backends import ServerSigns, states_of
from boragespool.events import Event, log_event
from boragespool.messages import Holding, ServerRecord
from boragespool.types import ServerState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.blackboard.topics import ServerObservation
    from boragespool.controllers.backend_protocol import BackendStatus
    from boragespool.settings import ServerSettings, Settings
    from boragespool.types import Seconds, ServerName

#: A reply ``draining`` counts until the polls must have confirmed it.
_REPLY_AGE_S: Final = 5


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


def log_changes(
    before: Mapping[ServerName, ServerRecord],
    view: Mapping[ServerName, ServerRecord],
) -> None:
    """Log each state that differs."""
    for server, record in view.items():
        state_before = before[server].state if server in before else None
        if state_before != record.state:
            log_event(
                Event.SERVER_STATE_CHANGED,
                f'the state of server {server!r} changed',
                server=server,
                state=record.state,
                before=state_before,
            )


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
