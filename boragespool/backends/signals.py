"""State of backend servers from several signs.

The first sign that a server leaves stops new work to it. Reports can be
false or stale, so they never take more than half of a service out of use.
"""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import ServerState


@dataclass(frozen=True, slots=True)
class ServerSignals:
    """What is known about one backend server.

    Attributes
    ----------
    announced : ServerState
        State in the record of its dispatcher.
    drained : bool
        An operator drained it in the settings.
    host_leaving : bool
        The platform lists its host as leaving.
    reply_draining : bool
        It answered work with ``draining`` in its present incarnation.
    unreachable : bool
        It refused the latest connection of this daemon.
    """

    announced: ServerState = ServerState.SERVING
    drained: bool = False
    host_leaving: bool = False
    reply_draining: bool = False
    unreachable: bool = False


def is_lost(signs: ServerSignals) -> bool:
    """Tell whether the server cannot be reached."""
    return signs.unreachable or signs.announced == ServerState.LOST


def reports_leaving(signs: ServerSignals) -> bool:
    """Tell whether a report calls the server leaving."""
    return (
        signs.host_leaving
        or signs.reply_draining
        or signs.announced == ServerState.DRAINING
    )


def state_of(signs: ServerSignals, *, reported: bool) -> ServerState:
    """Return the state of one server.

    Parameters
    ----------
    signs : ServerSignals
        What is known about it.
    reported : bool
        Whether a report that it leaves counts.
    """
    if is_lost(signs):
        return ServerState.LOST
    if signs.drained or reported:
        return ServerState.DRAINING
    if signs.announced == ServerState.DRAINING:
        return ServerState.SERVING
    return signs.announced
