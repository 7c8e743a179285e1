"""Attempts of one claim at backend servers.

Another attempt follows only an explicit ``not_run``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import (
    IN_FORCE,
    LEAVING_HOSTS,
    MEMBERS,
    SERVERS,
    SUSPECTS,
)
from boragespool.claims import claim_hash
from boragespool.messages import ForwardClaim, WorkReply, WorkRequest
from boragespool.results import Failure, ResultCode
from boragespool.routing import dispatcher_of
from boragespool.types import RunState, ServerState, WorkKind

if TYPE_CHECKING:
    from boragespool.controllers.context import Context
    from boragespool.settings import RouteSettings, ServerSettings
    from boragespool.types import HostName, Seconds, ServerName

#: Each attempt is an extra request to the fleet, so few are made.
MAX_ATTEMPTS: Final = 3
#: Time beyond the caller's deadline in which a result is still recorded.
GRACE_S: Final = 1.0
_USABLE: Final = frozenset((ServerState.SERVING, ServerState.COLD))


@dataclass(frozen=True, slots=True)
class _Target:
    server: ServerName
    dispatcher: HostName


async def attempt_claim(
    context: Context,
    ticket_id: str,
    claim: ForwardClaim,
    deadline_s: Seconds,
) -> WorkReply | Failure:
    """Run a claim at one backend server of its route's service.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    ticket_id : str
        Ticket whose start was recorded.
    claim : ForwardClaim
        The claim.
    deadline_s : float
        Monotonic time of the deadline, in seconds.

    Returns
    -------
    WorkReply or Failure
        Result of the last attempt.
    """
    route = _route(context, claim)
    if isinstance(route, Failure):
        return route
    tried: set[ServerName] = set()
    result: WorkReply | Failure = Failure(
        ResultCode.NO_SERVER,
        f'no backend server of service {route.service!r} is in use',
    )
    for number in range(MAX_ATTEMPTS):
        target = _choose_server(context, route, tried)
        if target is None or deadline_s <= context.timers.now_s():
            break
        tried.add(target.server)
        request = WorkRequest(
            attempt_id=f'{ticket_id}#{number}',
            request_id=ticket_id,
            kind=WorkKind.CLAIM,
            route=claim.route,
            server=target.server,
            rank=route.rank,
            caller=claim.caller,
            deadline_s=deadline_s - context.timers.now_s(),
            body=claim.body,
            fingerprint=claim_hash(claim.route, claim.body),
            solo=_is_suspect(context, claim),
        )
        result = await context.peers.request(
            target.dispatcher,
            request,
            request.deadline_s + GRACE_S,
        )
        if result.run is not RunState.NOT_RUN:
            break
    return result


def _route(context: Context, claim: ForwardClaim) -> RouteSettings | Failure:
    document = context.board.read(IN_FORCE)
    route = document.settings.routes.get(claim.route) if document else None
    return route or Failure(
        ResultCode.UNKNOWN_ROUTE,
        f'route {claim.route!r} is not in the revision in force',
    )


def _choose_server(
    context: Context,
    route: RouteSettings,
    tried: set[ServerName],
) -> _Target | None:
    """Choose a usable server that was not tried, and its dispatcher."""
    members = context.board.read(MEMBERS)
    targets = []
    for server, place in _usable_servers(context, route).items():
        dispatcher = dispatcher_of(server, place.data_centre, members)
        if server not in tried and dispatcher is not None:
            targets.append(_Target(server, dispatcher))
    if not targets:
        return None
    return targets[int(context.draw() * len(targets))]


def _usable_servers(
    context: Context,
    route: RouteSettings,
) -> dict[ServerName, ServerSettings]:
    """Return the servers of the route's service that take new work."""
    document = context.board.read(IN_FORCE)
    if document is None:
        return {}
    leaving = context.board.read(LEAVING_HOSTS)
    records = context.board.read(SERVERS)
    configured = document.settings.services[route.service].servers
    return {
        server: place
        for server, place in configured.items()
        if not place.drained
        and place.host not in leaving
        and server in records
        and records[server].state in _USABLE
    }


def _is_suspect(context: Context, claim: ForwardClaim) -> bool:
    suspects = context.board.read(SUSPECTS)
    return claim_hash(claim.route, claim.body) in suspects
