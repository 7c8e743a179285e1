"""Sends claims to backend servers.

A claim is sent to another server only if the previous attempt explicitly
reported ``not_run``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import (
    DOCUMENT_IN_FORCE,
    LEAVING_HOSTS,
    SERVERS,
    SUSPECT_FINGERPRINTS,
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

#: Limited because each attempt is an additional request to the servers.
MAX_ATTEMPTS: Final = 3
#: Time after the caller's deadline during which a result is still recorded.
RESULT_GRACE_S: Final = 1.0
_RANKS: Final = tuple(Rank)


@dataclass(frozen=True, slots=True)
class _Target:
    server: ServerName
    dispatcher: HostName


@dataclass(frozen=True, slots=True)
class PreparedClaim:
    """Claim with the settings that apply to it, ready to be sent.

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
    """Sends claims to backend servers through their dispatchers.

    Parameters
    ----------
    context : Context
        Services that the controllers of the daemon share.
    observations : ServerObservations
        Observations about backend servers, shared with the queries.
    """

    def __init__(
        self,
        context: Context,
        observations: ServerObservations,
    ) -> None:
        """Set up the sender."""
        self._context = context
        self._observations = observations
        self._fleet = FleetView(context.board)

    def prepare(
        self,
        ticket_id: str,
        claim: ForwardClaim,
        deadline_s: Seconds,
    ) -> PreparedClaim | Failure:
        """Look up the settings of a claim in the revision in force.

        Parameters
        ----------
        ticket_id : str
            Ticket of the claim.
        claim : ForwardClaim
            The claim.
        deadline_s : float
            Monotonic time of the deadline, in seconds.

        Returns
        -------
        PreparedClaim or Failure
            A failure if the route is unknown.
        """
        document = self._context.board.read(DOCUMENT_IN_FORCE)
        settings = document.settings if document else None
        route = settings.routes.get(claim.route) if settings else None
        if settings is None or route is None:
            return Failure(
                ResultCode.UNKNOWN_ROUTE,
                f'route {claim.route!r} is not in the revision in force',
            )
        service = settings.services[route.service]
        return PreparedClaim(ticket_id, claim, route, service, deadline_s)

    async def run(self, prepared: PreparedClaim) -> WorkReply | Failure:
        """Run a claim on one backend server of its service.

        Up to `MAX_ATTEMPTS` servers are tried, until the claim has run or may
        have run, or the deadline has passed.

        Returns
        -------
        WorkReply or Failure
            Result of the last attempt.
        """
        tried_servers: set[ServerName] = set()
        result: WorkReply | Failure = Failure(
            ResultCode.NO_SERVER,
            'no eligible backend server for the service',
        )
        for attempt_number in range(MAX_ATTEMPTS):
            target = self._choose(prepared, tried_servers)
            if target is None or self._time_left_s(prepared) <= 0:
                break
            tried_servers.add(target.server)
            result = await self._send(prepared, target, attempt_number)
            if result.run is not RunState.NOT_RUN:
                break
        return result

    def _choose(
        self,
        prepared: PreparedClaim,
        tried_servers: set[ServerName],
    ) -> _Target | None:
        """Return an untried server and its dispatcher, or None."""
        board = self._context.board
        leaving = board.read(LEAVING_HOSTS)
        eligible = eligible_holdings(
            prepared.service,
            board.read(SERVERS),
            leaving,
        )
        server = choose_replica(
            tuple(eligible),
            tried_servers,
            self._observations,
            (self._context.draw(), self._context.draw()),
            self._context.timers.now_s(),
            _RANKS.index(prepared.rank),
        )
        if server is None:
            return None
        dispatcher = self._fleet.dispatcher(server)
        return _Target(server, dispatcher) if dispatcher else None

    async def _send(
        self,
        prepared: PreparedClaim,
        target: _Target,
        attempt_number: int,
    ) -> WorkReply | Failure:
        sent_s = self._context.timers.now_s()
        request = self._request(prepared, target.server, attempt_number)
        self._observations.record_sent(target.server)
        result: WorkReply | Failure = await self._context.peers.request(
            target.dispatcher,
            request,
            request.deadline_s + RESULT_GRACE_S,
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
        prepared: PreparedClaim,
        server: ServerName,
        attempt_number: int,
    ) -> WorkRequest:
        claim = prepared.claim
        fingerprint = fingerprint_of(claim.route, claim.body)
        suspects = self._context.board.read(SUSPECT_FINGERPRINTS)
        return WorkRequest(
            attempt_id=f'{prepared.ticket_id}#{attempt_number}',
            request_id=prepared.ticket_id,
            kind=WorkKind.CLAIM,
            route=claim.route,
            server=server,
            rank=prepared.rank,
            caller=claim.caller,
            deadline_s=self._time_left_s(prepared),
            body=claim.body,
            fingerprint=fingerprint,
            solo=fingerprint in suspects,
        )

    def _time_left_s(self, prepared: PreparedClaim) -> Seconds:
        return prepared.deadline_s - self._context.timers.now_s()
