"""Controller that issues tickets and runs claims at most once.

The issuer of a ticket runs its claim. Any other daemon forwards the claim to
the issuer, and has the witness seal the ticket if the issuer does not answer.
"""

from __future__ import annotations

import itertools
import secrets
from typing import TYPE_CHECKING, Final, Self

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, MEMBERS
from boragespool.claims import (
    IssuerIdentity,
    Ticket,
    choose_witness,
    format_ticket,
    issue_ticket,
    parse_ticket,
)
from boragespool.controllers.claims.claim_attempts import ClaimSender
from boragespool.controllers.claims.claim_forwarding import ClaimForwarder
from boragespool.controllers.claims.claim_outcomes import (
    failure_from_record,
    is_final,
    still_running_failure,
)
from boragespool.controllers.claims.claim_runs import ClaimRunner
from boragespool.controllers.claims.witnesses import WitnessController
from boragespool.controllers.requests import ClaimAnswer
from boragespool.events import Event, log_event
from boragespool.messages import (
    ClaimRecord,
    ClaimReply,
    ForwardClaim,
)
from boragespool.results import Failure, ResultCode
from boragespool.routing import ServerObservations
from boragespool.types import Rank, RunState

if TYPE_CHECKING:
    from boragespool.controllers.context import Context
    from boragespool.controllers.requests import ClaimRequest
    from boragespool.peers import Sender
    from boragespool.timers import TimerHandle
    from boragespool.types import HostName, RequestId

_EXPIRE_INTERVAL_S: Final = 5
_KEY_SIZE_BYTES: Final = 32
#: Timeout for requests for the outcome of an earlier claim.
_OUTCOME_TIMEOUT_S: Final = 2


class ClaimController:
    """Issues tickets and handles claims; an async context manager.

    Parameters
    ----------
    context : Context
        Services that the controllers of the daemon share.
    observations : ServerObservations, optional
        Observations about backend servers, shared with the queries.
    """

    def __init__(
        self,
        context: Context,
        observations: ServerObservations | None = None,
    ) -> None:
        """Set up an issuer with a new signing key."""
        identity = context.identity
        self._context = context
        self._issuer = IssuerIdentity(
            identity.host,
            identity.incarnation,
            identity.data_centre,
            secrets.token_bytes(_KEY_SIZE_BYTES),
        )
        self._sequence = itertools.count(1)
        self._witnesses = WitnessController(context)
        self._runner = ClaimRunner(
            context,
            self._issuer,
            self._witnesses,
            ClaimSender(context, observations or ServerObservations()),
        )
        self._forwarder = ClaimForwarder(
            context,
            self._runner,
            self._witnesses,
        )
        self._expire_timer: TimerHandle | None = None

    async def __aenter__(self) -> Self:
        """Serve forwarded claims and witness messages."""
        await self._witnesses.__aenter__()
        self._context.peers.on_request(ForwardClaim, self._serve_forwarded)
        self._expire_timer = self._context.timers.every(
            _EXPIRE_INTERVAL_S,
            self._runner.expire,
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel the timers, running claims and pending outcome reports."""
        if self._expire_timer is not None:
            self._expire_timer.cancel()
        await self._runner.stop()
        await self._witnesses.__aexit__(*exc_info)

    @property
    def idle(self) -> bool:
        """Whether no claim is running and no outcome report is pending."""
        return self._runner.idle

    def status(self) -> dict[str, int]:
        """Return the number of records kept as issuer and as witness."""
        return {
            'issuer_records': self._runner.record_count,
            'witness_records': self._witnesses.record_count,
        }

    def issue(self, count: int) -> tuple[str, ...]:
        """Return new tickets in the form that callers are given."""
        members = self._context.board.read(MEMBERS)
        tickets = (
            issue_ticket(
                self._issuer,
                next(self._sequence),
                choose_witness(
                    self._issuer,
                    members.values(),
                    self._context.draw(),
                ),
                self._context.timers.now_s(),
            )
            for _ in range(count)
        )
        return tuple(format_ticket(ticket) for ticket in tickets)

    async def run(self, request: ClaimRequest) -> ClaimAnswer | Failure:
        """Run a claim at most once.

        Parameters
        ----------
        request : ClaimRequest
            Claim with a ticket that any daemon issued.

        Returns
        -------
        ClaimAnswer or Failure
            A failure with run state ``NOT_RUN`` is permanent: the claim will
            never run. ``UNKNOWN`` means that the claim may have run or may
            still be running.
        """
        claim = ForwardClaim(
            ticket=request.ticket,
            route=request.route,
            caller=request.caller,
            body=request.body,
            deadline_s=request.deadline_s,
            rank=request.rank,
        )
        return await self._answer(claim, request.request_id)

    def refuse(self, ticket: str, refusal: Failure) -> Failure | None:
        """Refuse a claim before it is checked.

        Parameters
        ----------
        ticket : str
            Ticket that the caller sent.
        refusal : Failure
            Reason, with run state ``NOT_RUN``.

        Returns
        -------
        Failure or None
            The refusal. A ticket that this daemon issued is sealed first.
            None if this daemon already has a record of the ticket, whose
            result must be returned instead. For a ticket of another daemon
            the run state is ``UNKNOWN``, as that daemon may be running it.
        """
        return self._runner.refuse(ticket, refusal)

    async def outcome(
        self,
        ticket: str,
        request_id: RequestId,
    ) -> ClaimAnswer | Failure:
        """Return the outcome of an earlier claim.

        A ticket that has not started is sealed, so that the claim cannot
        run after the answer ``NOT_RUN``.
        """
        claim = ForwardClaim(
            ticket=ticket,
            route='',
            caller='',
            body=b'',
            deadline_s=_OUTCOME_TIMEOUT_S,
            outcome_only=True,
        )
        return await self._answer(claim, request_id)

    async def hand_over(self) -> HostName | None:
        """Move the witness records to another member before this one leaves.

        Returns
        -------
        str or None
            Host that took the records; None if no member did.
        """
        return await self._witnesses.hand_over()

    async def _answer(
        self,
        claim: ForwardClaim,
        request_id: RequestId,
    ) -> ClaimAnswer | Failure:
        ticket = parse_ticket(claim.ticket)
        if isinstance(ticket, Failure):
            return ticket
        record = await self._forwarder.resolve(ticket, claim)
        answer = self._answer_from_record(ticket, claim, record, request_id)
        if isinstance(answer, Failure) and answer.run is RunState.UNKNOWN:
            log_event(
                Event.CLAIM_UNKNOWN,
                answer.reason,
                ticket=ticket.ticket_id,
                request_id=request_id,
            )
        return answer

    def _answer_from_record(
        self,
        ticket: Ticket,
        claim: ForwardClaim,
        record: ClaimRecord | Failure,
        request_id: RequestId,
    ) -> ClaimAnswer | Failure:
        if isinstance(record, Failure):
            return record
        refusal = (
            failure_from_record(record)
            if is_final(record)
            else still_running_failure(ticket)
        )
        if refusal is not None:
            return refusal
        return ClaimAnswer(
            request_id,
            ResultCode(record.code),
            record.run,
            self._rank(claim),
            record.outcome,
        )

    async def _serve_forwarded(
        self,
        sender: Sender,
        claim: ForwardClaim,
    ) -> ClaimReply | Failure:
        """Run a claim for another daemon if this daemon issued the ticket."""
        ticket = parse_ticket(claim.ticket)
        if isinstance(ticket, Failure):
            return ticket
        if not self._forwarder.is_own(ticket):
            return Failure(
                ResultCode.PEER_REFUSED,
                f'this daemon did not issue ticket {claim.ticket!r}',
            )
        record = await self._runner.run(ticket, claim)
        if isinstance(record, Failure):
            return ClaimReply(int(record.code), record.run, None, record.reason)
        if not is_final(record):
            failure = still_running_failure(ticket)
            return ClaimReply(int(failure.code), failure.run)
        return ClaimReply(
            record.code,
            record.run,
            record.outcome,
            record.reason,
        )

    def _rank(self, claim: ForwardClaim) -> Rank:
        document = self._context.board.read(DOCUMENT_IN_FORCE)
        route = document.settings.routes.get(claim.route) if document else None
        if claim.rank is not None:
            return claim.rank
        return route.rank if route else Rank.URGENT
