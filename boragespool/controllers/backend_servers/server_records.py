"""What server records are made of, and the log of their states."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.events import Event, log_event
from boragespool.messages import Holding, ServerRecord
from boragespool.types import ServerState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.blackboard.topics import ServerObservation
    from boragespool.controllers.backend_servers.backend_protocol import (
        BackendStatus,
    )
    from boragespool.settings import ServerSettings, Settings
    from boragespool.types import Seconds, ServerName

#: A reply ``draining`` counts until the polls must have confirmed it.
_DRAINING_REPLY_AGE_S: Final = 5


def configured_servers(settings: Settings) -> dict[ServerName, ServerSettings]:
    """Return the backend servers of all services."""
    return {
        name: server
        for service in settings.services.values()
        for name, server in service.servers.items()
    }


def initial_record(settings: Settings, server: ServerName) -> ServerRecord:
    """Return the record of a configured server of which nothing is known."""
    service, server_settings = next(
        (name, service.servers[server])
        for name, service in settings.services.items()
        if server in service.servers
    )
    return ServerRecord(
        server=server,
        service=service,
        data_centre=server_settings.data_centre,
        dispatcher='',
        dispatcher_incarnation=0,
        sequence=0,
        incarnation=0,
        state=ServerState.COLD,
        limit=1,
    )


def holdings_from_status(status: BackendStatus) -> tuple[Holding, ...]:
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


def recently_draining(
    observation: ServerObservation | None,
    now_s: Seconds,
) -> bool:
    """Whether the server refused work as draining a moment ago."""
    if observation is None:
        return False
    return now_s - observation.draining_at_s < _DRAINING_REPLY_AGE_S


def log_state_changes(
    before: Mapping[ServerName, ServerRecord],
    updates: Mapping[ServerName, ServerRecord],
) -> None:
    """Log each state that differs from the view before."""
    for server, record in updates.items():
        state_before = before[server].state if server in before else None
        if state_before != record.state:
            log_event(
                Event.SERVER_STATE_CHANGED,
                f'the state of server {server!r} changed',
                server=server,
                state=record.state,
                before=state_before,
            )
