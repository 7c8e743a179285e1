"""Contents of server records, and log events for changes of their states."""

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

#: Time during which a reply ``draining`` counts; by its end a poll has found
#: the state of the server.
_DRAINING_REPLY_AGE_S: Final = 5


def configured_servers(settings: Settings) -> dict[ServerName, ServerSettings]:
    """Return the settings of the backend servers of all services, by name."""
    return {
        name: server
        for service in settings.services.values()
        for name, server in service.servers.items()
    }


def initial_record(settings: Settings, server: ServerName) -> ServerRecord:
    """Return a record of a configured server without any observation."""
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
    """Return the held index versions in a status, oldest first.

    Versions that are not decimal numbers are ignored.
    """
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
    """Return whether the server replied ``draining`` a short time ago."""
    if observation is None:
        return False
    return now_s - observation.draining_at_s < _DRAINING_REPLY_AGE_S


def log_state_changes(
    before: Mapping[ServerName, ServerRecord],
    updates: Mapping[ServerName, ServerRecord],
) -> None:
    """Log the servers in `updates` whose state differs from `before`."""
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
