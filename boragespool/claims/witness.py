"""Replies of a witness, which records the starts and outcomes of tickets.

Sealing a ticket is a form of fencing: once it is sealed, the issuer can no
longer start it. A claim whose issuer seems to have failed is reported as not
run only after its ticket was sealed.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from boragespool.messages import (
    ClaimRecord,
    ClaimState,
    WitnessReply,
    WitnessVerdict,
)
from boragespool.results import ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from boragespool.claims.records import ClaimRecordTable
    from boragespool.types import Seconds


def record_start(
    table: ClaimRecordTable,
    record: ClaimRecord,
    now_s: Seconds,
) -> WitnessReply:
    """Record that the issuer starts the claim of a ticket.

    Parameters
    ----------
    table : ClaimRecordTable
        Records of the witness.
    record : ClaimRecord
        Record that the issuer sent.
    now_s : float
        Current time, in seconds.

    Returns
    -------
    WitnessReply
        ``RECORDED`` if the claim may start. Otherwise the verdict that
        forbids it, with the existing record if there is one.
    """
    existing = table.get(record.ticket_id)
    if existing is not None:
        return _reply_from_record(existing)
    if not table.was_never_recorded(record):
        return WitnessReply(WitnessVerdict.FORGOTTEN)
    table.put(replace(record, state=ClaimState.STARTED), now_s)
    return WitnessReply(WitnessVerdict.RECORDED)


def record_outcome(
    table: ClaimRecordTable,
    record: ClaimRecord,
    now_s: Seconds,
) -> WitnessReply:
    """Record the outcome of a claim, unless its ticket is sealed.

    Parameters
    ----------
    table : ClaimRecordTable
        Records of the witness.
    record : ClaimRecord
        Record that the issuer sent, with the outcome.
    now_s : float
        Current time, in seconds.

    Returns
    -------
    WitnessReply
        ``RECORDED``, also for a sealed ticket, or ``FORGOTTEN`` if the
        witness has no record of the ticket.
    """
    existing = table.get(record.ticket_id)
    if existing is None:
        return WitnessReply(WitnessVerdict.FORGOTTEN)
    if existing.state is not ClaimState.SEALED:
        table.put(record, now_s)
    return WitnessReply(WitnessVerdict.RECORDED)


def seal_ticket(
    table: ClaimRecordTable,
    record: ClaimRecord,
    now_s: Seconds,
) -> WitnessReply:
    """Seal a ticket whose claim has not started.

    Parameters
    ----------
    table : ClaimRecordTable
        Records of the witness.
    record : ClaimRecord
        New record of the ticket.
    now_s : float
        Current time, in seconds.

    Returns
    -------
    WitnessReply
        ``SEALED``, the verdict that follows from the existing record, or
        ``FORGOTTEN`` if a record of the ticket may have been dropped.
    """
    existing = table.get(record.ticket_id)
    if existing is not None:
        return _reply_from_record(existing)
    if not table.was_never_recorded(record):
        return WitnessReply(WitnessVerdict.FORGOTTEN)
    sealed = replace(
        record,
        state=ClaimState.SEALED,
        code=int(ResultCode.NOT_RUN_SEALED),
        run=RunState.NOT_RUN,
    )
    table.put(sealed, now_s)
    return _reply_from_record(sealed)


def _reply_from_record(existing: ClaimRecord) -> WitnessReply:
    verdict_by_state = {
        ClaimState.SEALED: WitnessVerdict.SEALED,
        ClaimState.OUTCOME: WitnessVerdict.OUTCOME,
    }
    verdict = verdict_by_state.get(existing.state, WitnessVerdict.STARTED)
    return WitnessReply(verdict, existing)
