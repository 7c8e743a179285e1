"""State of backend servers from several signs.

The first sign that a server leaves stops new work to it. Reports can be
false or stale, so they never take more than half of a service out of use.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from boragespool.types import ServerState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.types import ServerName


@dataclass(frozen=True, slots=True)
class ServerSigns:
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


def states_of(
    signs_by_server: Mapping[ServerName, ServerSigns],
) -> Mapping[ServerName, ServerState]:
    """Return the states of all backend servers of one service.

    Parameters
    ----------
    signs_by_server : mapping of str to ServerSigns
        All configured servers of the service.

    Returns
    -------
    mapping of str to ServerState
        ``DRAINING`` and ``LOST`` servers get no new work. When reports call
        more than half of the servers draining that are neither drained by an
        operator nor lost, the reports are disregarded and all are used.
    """
    candidates = [
        name
        for name, signs in signs_by_server.items()
        if not signs.drained and not _lost(signs)
    ]
    reported = {
        name for name in candidates if _reported_leaving(signs_by_server[name])
    }
    if len(reported) > len(candidates) // 2:
        reported = set()
    return {
        name: _state(signs, reported=name in reported)
        for name, signs in signs_by_server.items()
    }


def _lost(signs: ServerSigns) -> bool:
    return signs.unreachable or signs.announced == ServerState.LOST


def _reported_leaving(signs: ServerSigns) -> bool:
    return (
        signs.host_leaving
        or signs.reply_draining
        or signs.announced == ServerState.DRAINING
    )


def _state(signs: ServerSigns, *, reported: bool) -> ServerState:
    if _lost(signs):
        return ServerState.LOST
    if signs.drained or reported:
        return ServerState.DRAINING
    if signs.announced == ServerState.DRAINING:
        return ServerState.SERVING
    return signs.announced
