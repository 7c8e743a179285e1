"""Attempts of one claim at backend servers.

Another attempt follows only an explicit ``not_run``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import (
    IN_FORCE,
    LEAVING_HOSTS,
    SERVERS,
    SUSPECTS,
)
from boragespool.controllers.queries.attempt_results import (
    record_attempt_result,
)
from boragespool.controllers.queries.fleet_view import FleetView
from boragespool.messages import ForwardClaim, WorkReply, WorkRequest
from boragespool.results import Failure, ResultCode
from boragespool.routing import (
    choose_replica,
    eligible_holdings,
    fingerprint_of,
)
from boragespool.types import Rank, RunState, WorkKind

if TYPE_CHECKING:
    from boragespool.controllers.context import Context
    from boragespool.routing import ServerObservations
    from boragespool.settings import RouteSettings, ServiceSettings
    from boragespool.types import HostName, Seconds, ServerName

#: Each attempt is an extra request to the fleet, so few are made.
MAX_ATTEMPTS: Final = 3
#: Time beyond the caller's deadline in which a result is still recorded.
GRACE_S: Final = 1.0
_RANKS: Final = tuple(Rank)


@dataclass(frozen=True, slots=True)
class _Target:
    server: ServerName
    dispatcher: HostName


@dataclass(frozen=True, slots=True)
class StartedClaim:
    """A claim whose start was recorded.

    Attributes
    ----------
    deadline_s : float
        Monotonic time of the deadline, in seconds.
    """

    ticket_id: str
    claim: ForwardClaim
    route: RouteSettings
    service: ServiceSettings
    deadline_s: Seconds

    @property
    def rank(self) -> Rank:
        """Rank of the route, unless the caller lowered it."""
        return self.claim.rank or self.route.rank


class ClaimSender:
    """Sends claims to the dispatchers of backend servers.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    observations : ServerObservations
        What this daemon saw of backend servers, shared with queries.
    """

    def __init__(
        self,
        context: Context,
        observations: ServerObservations,
    ) -> None:
        """Start with nothing in flight."""
        self._context = context
        self._observations = observations
        self._fleet = FleetView(context.board)

    def prepare(
        self,
        ticket_id: str,
        claim: ForwardClaim,
        deadline_s: Seconds,
    ) -> StartedClaim | Failure:
        """Look up the route of a claim in the revision in force."""
        document = self._context.board.read(IN_FORCE)
        settings = document.settings if document else None
        route = settings.routes.get(claim.route) if settings else None
        if settings is None or route is None:
            return Failure(
                ResultCode.UNKNOWN_ROUTE,
                f'route {claim.route!r} is not in the revision in force',
            )
        service = settings.services[route.service]
        return StartedClaim(ticket_id, claim, route, service, deadline_s)

    async def run(self, started: StartedClaim) -> WorkReply | Failure:
        """Run a claim at one backend server of its route's service.

        Returns
        -------
        WorkReply or Failure
            Result of the last attempt.
        """
        tried: set[ServerName] = set()
        result: WorkReply | Failure = Failure(
            ResultCode.NO_SERVER,
            'no backend server of the service is in use',
        )
        for number in range(MAX_ATTEMPTS):
            target = self._choose(started, tried)
            if target is None or self._left_s(started) <= 0:
                break
            tried.add(target.server)
            result = await self._send(started, target, number)
            if result.run is not RunState.NOT_RUN:
                break
        return result

    def _choose(
        self,
        started: StartedClaim,
        tried: set[ServerName],
    ) -> _Target | None:
        """Choose a server that was not tried, and its dispatcher."""
        board = self._context.board
        leaving = board.read(LEAVING_HOSTS)
        usable = eligible_holdings(
            started.service,
            board.read(SERVERS),
            leaving,
        )
        server = choose_replica(
            tuple(usable),
            tried,
            self._observations,
            (self._context.draw(), self._context.draw()),
            self._context.timers.now_s(),
            _RANKS.index(started.rank),
        )
        if server is None:
            return None
        dispatcher = self._fleet.dispatcher(server)
        return _Target(server, dispatcher) if dispatcher else None

    async def _send(
        self,
        started: StartedClaim,
        target: _Target,
        number: int,
    ) -> WorkReply | Failure:
        sent_s = self._context.timers.now_s()
        request = self._request(started, target.server, number)
        self._observations.record_sent(target.server)
        result: WorkReply | Failure = await self._context.peers.request(
            target.dispatcher,
            request,
            request.deadline_s + GRACE_S,
        )
        now_s = self._context.timers.now_s()
        record_attempt_result(
            self._observations,
            target.server,
            result,
            now_s - sent_s,
            now_s,
        )
        return result

    def _request(
        self,
        started: StartedClaim,
        server: ServerName,
        number: int,
    ) -> WorkRequest:
        claim = started.claim
        fingerprint = fingerprint_of(claim.route, claim.body)
        suspects = self._context.board.read(SUSPECTS)
        return WorkRequest(
            attempt_id=f'{started.ticket_id}#{number}',
            request_id=started.ticket_id,
            kind=WorkKind.CLAIM,
            route=claim.route,
            server=server,
            rank=started.rank,
            caller=claim.caller,
            deadline_s=self._left_s(started),
            body=claim.body,
            fingerprint=fingerprint,
            solo=fingerprint in suspects,
        )

    def _left_s(self, started: StartedClaim) -> Seconds:
        return started.deadline_s - self._context.timers.now_s()
