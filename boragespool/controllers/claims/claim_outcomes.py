"""Conversion between claim records, replies and failures."""

from __future__ import annotations

from dataclasses import replace
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.messages import (
    ClaimRecord,
    ClaimReply,
    ClaimState,
    WorkReply,
)
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from boragespool.claims import Ticket

_FINAL_STATES: Final = frozenset((ClaimState.OUTCOME, ClaimState.SEALED))
_REASON_BY_RUN_STATE: Final = MappingProxyType(
    {
        RunState.NOT_RUN: 'the ticket is sealed; the claim was not run',
        RunState.UNKNOWN: 'the outcome of the claim is not known',
    }
)


def is_final(record: ClaimRecord) -> bool:
    """Return whether the record of a ticket no longer changes."""
    return record.state in _FINAL_STATES


def sealed_record(
    record: ClaimRecord,
    code: ResultCode,
    reason: str,
) -> ClaimRecord:
    """Return the record of a ticket whose claim will never run."""
    return replace(
        record,
        state=ClaimState.SEALED,
        code=int(code),
        run=RunState.NOT_RUN,
        reason=reason,
    )


def final_record(
    record: ClaimRecord,
    reply: WorkReply | Failure,
) -> ClaimRecord:
    """Return the final record for the result of the last attempt."""
    if reply.run is RunState.NOT_RUN:
        return sealed_record(record, ResultCode(reply.code), reply.reason)
    if reply.run is RunState.UNKNOWN or isinstance(reply, Failure):
        return replace(
            record,
            state=ClaimState.OUTCOME,
            code=int(ResultCode.OUTCOME_UNKNOWN),
            run=RunState.UNKNOWN,
            reason=reply.reason,
        )
    completed = reply.code == ResultCode.COMPLETE
    code = ResultCode.CLAIM_RUN if completed else ResultCode.CLAIM_FAILED
    return replace(
        record,
        state=ClaimState.OUTCOME,
        code=int(code),
        run=RunState.RUN,
        outcome=reply.outcome,
        reason=reply.reason,
    )


def failure_from_record(record: ClaimRecord) -> Failure | None:
    """Return the failure for a final record; None if the claim ran."""
    if record.run is RunState.RUN:
        return None
    code = ResultCode(record.code or ResultCode.OUTCOME_UNKNOWN)
    return Failure(
        code, record.reason or _REASON_BY_RUN_STATE[record.run], record.run
    )


def record_from_reply(
    ticket: Ticket,
    reply: ClaimReply,
) -> ClaimRecord | Failure:
    """Return a record for a reply; a failure unless the claim ran."""
    if reply.run is not RunState.RUN:
        return Failure(ResultCode(reply.code), reply.reason, reply.run)
    return ClaimRecord(
        ticket_id=ticket.ticket_id,
        issuer=ticket.issuer,
        issuer_incarnation=ticket.issuer_incarnation,
        sequence=ticket.sequence,
        state=ClaimState.OUTCOME,
        code=reply.code,
        run=reply.run,
        outcome=reply.outcome,
        reason=reply.reason,
    )


def still_running_failure(ticket: Ticket) -> Failure:
    """Return the failure for a claim still running at the deadline."""
    return Failure(
        ResultCode.OUTCOME_UNKNOWN,
        f'claim of ticket {ticket.ticket_id!r} is still running; request its '
        'outcome later',
        RunState.UNKNOWN,
        retry_after_s=1,
    )
