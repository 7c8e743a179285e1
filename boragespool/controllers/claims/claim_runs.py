"""Runs the claims whose tickets this daemon issued.

Owns the claim records of the issuer and the tasks of running claims.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import (
    BLOCKED_FINGERPRINTS,
    DOCUMENT_IN_FORCE,
)
from boragespool.claims import (
    ClaimRecordTable,
    IssuerIdentity,
    Ticket,
    find_or_create_record,
    parse_ticket,
)
from boragespool.controllers.claims.claim_outcomes import (
    final_record,
    sealed_record,
)
from boragespool.events import Event, log_event
from boragespool.messages import (
    ClaimRecord,
    ClaimState,
    ForwardClaim,
    RecordOutcome,
    RecordStart,
    WitnessVerdict,
)
from boragespool.results import Failure, ResultCode
from boragespool.routing import fingerprint_of
from boragespool.settings import ClaimSettings
from boragespool.tasks import TaskSet
from boragespool.types import RunState

if TYPE_CHECKING:
    from boragespool.controllers.claims.claim_attempts import ClaimSender
    from boragespool.controllers.claims.witnesses import WitnessController
    from boragespool.controllers.context import Context
    from boragespool.types import Seconds

_MAX_OUTCOME_REPORTS: Final = 3


class ClaimRunner:
    """Runs claims at most once, for the tickets that this daemon issued.

    Parameters
    ----------
    context : Context
        Services that the controllers of the daemon share.
    issuer : IssuerIdentity
        Identity of this daemon as an issuer.
    witnesses : WitnessController
        Sends messages to witnesses.
    sender : ClaimSender
        Sends claims to backend servers.
    """

    def __init__(
        self,
        context: Context,
        issuer: IssuerIdentity,
        witnesses: WitnessController,
        sender: ClaimSender,
    ) -> None:
        """Set up the state without records."""
        self._context = context
        self._issuer = issuer
        self._witnesses = witnesses
        self._sender = sender
        self._table = ClaimRecordTable()
        self._task_by_ticket_id: dict[str, asyncio.Task[None]] = {}
        self._claim_tasks = TaskSet()
        self._report_tasks = TaskSet()

    @property
    def idle(self) -> bool:
        """Whether no claim is running and no outcome report is pending."""
        return not self._task_by_ticket_id and not self._report_tasks

    @property
    def record_count(self) -> int:
        """Number of records."""
        return len(self._table)

    async def run(
        self,
        ticket: Ticket,
        claim: ForwardClaim,
    ) -> ClaimRecord | Failure:
        """Run a claim, or return the record of an earlier call.

        Parameters
        ----------
        ticket : Ticket
            Ticket of this issuer and incarnation.
        claim : ForwardClaim
            Claim to run. With `outcome_only`, a ticket that has not started
            is sealed instead.

        Returns
        -------
        ClaimRecord or Failure
            Returned after at most `claim.deadline_s` seconds. If the record
            is not final, the claim is still running. A failure if the ticket
            cannot be used for this claim.
        """
        body_hash = (
            0 if claim.outcome_only else fingerprint_of(claim.route, claim.body)
        )
        record = find_or_create_record(
            self._table,
            ticket,
            body_hash,
            issuer=self._issuer,
            min_issued_at_s=self._now_s() - self.settings().ticket_validity_s,
        )
        if isinstance(record, Failure):
            return record
        if self._table.get(ticket.ticket_id) is None:
            self._add_record(ticket, record, claim)
        await self._wait_until_run(ticket.ticket_id, claim.deadline_s)
        return self._table.get(ticket.ticket_id) or record

    def refuse(self, text: str, refusal: Failure) -> Failure | None:
        """Refuse a claim and seal its ticket if this daemon issued it.

        Parameters
        ----------
        text : str
            Ticket that the caller sent.
        refusal : Failure
            Reason for the refusal.

        Returns
        -------
        Failure or None
            The failure for the caller, with run state ``UNKNOWN`` if another
            daemon issued the ticket; None if this daemon already has a record
            of the ticket.
        """
        ticket = parse_ticket(text)
        if isinstance(ticket, Failure):
            return refusal
        if (ticket.issuer, ticket.issuer_incarnation) != (
            self._issuer.host,
            self._issuer.incarnation,
        ):
            return replace(refusal, run=RunState.UNKNOWN)
        if self._table.get(ticket.ticket_id) is not None:
            return None
        record = find_or_create_record(
            self._table,
            ticket,
            0,
            issuer=self._issuer,
            min_issued_at_s=self._now_s() - self.settings().ticket_validity_s,
        )
        if isinstance(record, Failure):
            return record
        self._store_record(sealed_record(record, refusal.code, refusal.reason))
        return refusal

    def expire(self) -> None:
        """Drop records that exceed the age or count limit."""
        settings = self.settings()
        self._table.expire(
            self._now_s(),
            settings.record_age_s,
            settings.record_count,
        )

    async def stop(self) -> None:
        """Cancel running claims and pending reports, when the daemon stops."""
        await self._claim_tasks.close()
        await self._report_tasks.close()

    def settings(self) -> ClaimSettings:
        """Return the claim settings in force."""
        document = self._context.board.read(DOCUMENT_IN_FORCE)
        return document.settings.claims if document else ClaimSettings()

    def _add_record(
        self,
        ticket: Ticket,
        record: ClaimRecord,
        claim: ForwardClaim,
    ) -> None:
        """Store a new record and run its claim unless it is sealed."""
        if claim.outcome_only and record.state is ClaimState.STARTING:
            record = sealed_record(
                record,
                ResultCode.NOT_RUN_SEALED,
                'the outcome was requested before the claim started',
            )
        self._store_record(record)
        if record.state is ClaimState.STARTING:
            task = self._claim_tasks.spawn(self._execute(ticket, record, claim))
            self._task_by_ticket_id[ticket.ticket_id] = task
            task.add_done_callback(
                lambda _: self._task_by_ticket_id.pop(ticket.ticket_id, None),
            )

    async def _wait_until_run(self, ticket_id: str, timeout_s: Seconds) -> None:
        task = self._task_by_ticket_id.get(ticket_id)
        if task is not None:
            await asyncio.wait((task,), timeout=timeout_s)

    async def _execute(
        self,
        ticket: Ticket,
        record: ClaimRecord,
        claim: ForwardClaim,
    ) -> None:
        """Record the start at the witness, run the claim, report the result."""
        deadline_s = self._now_s() + claim.deadline_s
        prepared = self._sender.prepare(ticket.ticket_id, claim, deadline_s)
        if isinstance(prepared, Failure):
            self._store_record(
                sealed_record(record, prepared.code, prepared.reason)
            )
            return
        if record.body_hash in self._context.board.read(BLOCKED_FINGERPRINTS):
            reason = 'request is blocked because it crashed backend servers'
            self._store_record(
                sealed_record(record, ResultCode.REQUEST_BLOCKED, reason)
            )
            return
        if not await self._record_start(ticket, record):
            return
        reply = await self._sender.run(prepared)
        final = final_record(record, reply)
        self._store_record(final)
        self._report_tasks.spawn(self._report_outcome(ticket, final))

    async def _record_start(self, ticket: Ticket, record: ClaimRecord) -> bool:
        """Record the start at the witness, if the ticket has one.

        Returns False, and seals the ticket, if the witness did not record it.
        """
        if ticket.witness:
            reply = await self._witnesses.ask(
                RecordStart(
                    record,
                    ticket.witness,
                    ticket.witness_incarnation,
                ),
                self.settings().witness_timeout_s,
            )
            if reply.verdict is not WitnessVerdict.RECORDED:
                self._seal_unwitnessed(ticket, record, reply.verdict)
                return False
        self._store_record(replace(record, state=ClaimState.STARTED))
        return True

    def _seal_unwitnessed(
        self,
        ticket: Ticket,
        record: ClaimRecord,
        verdict: WitnessVerdict,
    ) -> None:
        reason = f'witness {ticket.witness!r} answered {verdict.value!r}'
        self._store_record(sealed_record(record, ResultCode.NO_WITNESS, reason))
        log_event(
            Event.CLAIM_SEALED,
            reason,
            level=logging.DEBUG,
            ticket=ticket.ticket_id,
        )

    async def _report_outcome(
        self, ticket: Ticket, record: ClaimRecord
    ) -> None:
        """Send the outcome to the witness, with a limited number of tries."""
        if not ticket.witness:
            return
        message = RecordOutcome(
            record,
            ticket.witness,
            ticket.witness_incarnation,
        )
        for _ in range(_MAX_OUTCOME_REPORTS):
            reply = await self._witnesses.ask(
                message,
                self.settings().witness_timeout_s,
            )
            if reply.verdict is WitnessVerdict.RECORDED:
                return

    def _store_record(self, record: ClaimRecord) -> None:
        self._table.put(record, self._now_s())

    def _now_s(self) -> Seconds:
        return self._context.timers.now_s()
