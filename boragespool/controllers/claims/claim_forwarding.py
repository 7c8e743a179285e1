"""Resolves claims whose ticket was issued by any daemon.

Forwards a claim to the issuer of its ticket, or has the witness seal the
ticket if the issuer does not answer.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from boragespool.blackboard.topics import MEMBERS
from boragespool.claims import Ticket, starting_record, unknown_outcome_failure
from boragespool.controllers.claims.claim_outcomes import record_from_reply
from boragespool.events import Event, log_event
from boragespool.messages import (
    ClaimRecord,
    ClaimReply,
    ForwardClaim,
    SealTicket,
    WitnessVerdict,
)
from boragespool.results import Failure, ResultCode
from boragespool.routing import fingerprint_of
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from boragespool.controllers.claims.claim_runs import ClaimRunner
    from boragespool.controllers.claims.witnesses import WitnessController
    from boragespool.controllers.context import Context
    from boragespool.types import Seconds


class ClaimForwarder:
    """Gets claim records from this daemon, the issuer or the witness.

    Parameters
    ----------
    context : Context
        Services that the controllers of the daemon share.
    runner : ClaimRunner
        Runs the claims whose ticket this daemon issued.
    witnesses : WitnessController
        Sends messages to witnesses.
    """

    def __init__(
        self,
        context: Context,
        runner: ClaimRunner,
        witnesses: WitnessController,
    ) -> None:
        """Set up the forwarder."""
        self._context = context
        self._runner = runner
        self._witnesses = witnesses

    async def resolve(
        self,
        ticket: Ticket,
        claim: ForwardClaim,
    ) -> ClaimRecord | Failure:
        """Return the claim record of a ticket.

        Runs the claim if this daemon issued the ticket. Else forwards the
        claim to the issuer. Has the witness seal the ticket if the issuer is
        dead, has restarted or does not answer with a `ClaimReply`.
        """
        if self.is_own(ticket):
            return await self._runner.run(ticket, claim)
        if self._issuer_may_be_running(ticket):
            reply = await self._context.peers.request(
                ticket.issuer,
                claim,
                self._forward_timeout_s(claim),
            )
            if isinstance(reply, ClaimReply):
                return record_from_reply(ticket, reply)
        return await self._seal(ticket, claim)

    def is_own(self, ticket: Ticket) -> bool:
        """Return whether this incarnation of this daemon issued a ticket."""
        identity = self._context.identity
        return (ticket.issuer, ticket.issuer_incarnation) == (
            identity.host,
            identity.incarnation,
        )

    async def _seal(
        self,
        ticket: Ticket,
        claim: ForwardClaim,
    ) -> ClaimRecord | Failure:
        """Have the witness seal the ticket, or return its existing record."""
        body_hash = (
            0 if claim.outcome_only else fingerprint_of(claim.route, claim.body)
        )
        reply = await self._witnesses.ask(
            SealTicket(
                starting_record(ticket, body_hash),
                ticket.witness,
                ticket.witness_incarnation,
            ),
            self._runner.settings().witness_timeout_s,
        )
        verdict = reply.verdict.value
        log_event(
            Event.CLAIM_SEALED,
            f'reply of the witness to the seal request: {verdict!r}',
            level=logging.DEBUG,
            ticket=ticket.ticket_id,
        )
        existing = reply.record
        if existing is None or reply.verdict is WitnessVerdict.STARTED:
            return unknown_outcome_failure(ticket)
        if body_hash and existing.body_hash not in {0, body_hash}:
            return Failure(
                ResultCode.TICKET_REUSED,
                f'ticket {ticket.ticket_id!r} was used for another claim',
            )
        return existing

    def _issuer_may_be_running(self, ticket: Ticket) -> bool:
        """Return whether the issuer's incarnation may still be running."""
        member = self._context.board.read(MEMBERS).get(ticket.issuer)
        if member is None:
            return False
        is_same_incarnation = member.incarnation == ticket.issuer_incarnation
        return is_same_incarnation and member.status is not MemberStatus.DEAD

    def _forward_timeout_s(self, claim: ForwardClaim) -> Seconds:
        """Return a timeout, in seconds, that leaves time to ask the witness.

        The issuer gets at least half of the time to the deadline.
        """
        witness_timeout_s = self._runner.settings().witness_timeout_s
        return max(
            claim.deadline_s - witness_timeout_s,
            claim.deadline_s / 2,
        )
