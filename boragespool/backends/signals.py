"""State of a backend server, derived from several health signals.

The first signal that a server is leaving stops new work to it. Reports can be
wrong or outdated, so `ServiceStates` never lets them take more than half of the
servers out of service.
"""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import ServerState


@dataclass(frozen=True, slots=True)
class ServerSignals:
    """Health signals of one backend server.

    Attributes
    ----------
    announced : ServerState
        State in the record of its dispatcher.
    drained : bool
        Whether an operator drained it in the settings.
    host_leaving : bool
        Whether the platform lists its host as leaving.
    reply_draining : bool
        Whether it answered work with ``draining`` in its present incarnation.
    unreachable : bool
        Whether it refused the latest connection of this daemon.
    """

    announced: ServerState = ServerState.SERVING
    drained: bool = False
    host_leaving: bool = False
    reply_draining: bool = False
    unreachable: bool = False


def is_lost(signals: ServerSignals) -> bool:
    """Return whether the server cannot be reached."""
    return signals.unreachable or signals.announced == ServerState.LOST


def is_reported_leaving(signals: ServerSignals) -> bool:
    """Return whether any report says that the server is leaving."""
    return (
        signals.host_leaving
        or signals.reply_draining
        or signals.announced == ServerState.DRAINING
    )


def state_of(signals: ServerSignals, *, reported: bool) -> ServerState:
    """Return the state of one server.

    Parameters
    ----------
    signals : ServerSignals
        Health signals of the server.
    reported : bool
        Whether reports say that it is leaving and are not ignored.
    """
    if is_lost(signals):
        return ServerState.LOST
    if signals.drained or reported:
        return ServerState.DRAINING
    if signals.announced == ServerState.DRAINING:
        return ServerState.SERVING
    return signals.announced
