"""Decisions of a witness.

Sealing fences a ticket: once sealed it can never start. This is the rule of
fencing, that a failed peer is in a safe state before its work is given up.
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
    """Record that the issuer starts a ticket, unless it is sealed.

    Parameters
    ----------
    table : ClaimRecordTable
        Records of the witness.
    record : ClaimRecord
        Record of the issuer.
    now_s : float
        Current time, in seconds.

    Returns
    -------
    WitnessReply
        ``RECORDED``, or why the ticket must not start.
    """
    known = table.get(record.ticket_id)
    if known is not None:
        return _reply(known)
    if not table.was_never_recorded(record):
        return WitnessReply(WitnessVerdict.FORGOTTEN)
    table.put(replace(record, state=ClaimState.STARTED), now_s)
    return WitnessReply(WitnessVerdict.RECORDED)


def record_outcome(
    table: ClaimRecordTable,
    record: ClaimRecord,
    now_s: Seconds,
) -> WitnessReply:
    """Record the outcome that the issuer learned."""
    known = table.get(record.ticket_id)
    if known is None:
        return WitnessReply(WitnessVerdict.FORGOTTEN)
    if known.state is not ClaimState.SEALED:
        table.put(record, now_s)
    return WitnessReply(WitnessVerdict.RECORDED)


def seal_ticket(
    table: ClaimRecordTable,
    record: ClaimRecord,
    now_s: Seconds,
) -> WitnessReply:
    """Seal a ticket that has not started, or tell what is known of it."""
    known = table.get(record.ticket_id)
    if known is not None:
        return _reply(known)
    if not table.was_never_recorded(record):
        return WitnessReply(WitnessVerdict.FORGOTTEN)
    sealed = replace(
        record,
        state=ClaimState.SEALED,
        code=int(ResultCode.NOT_RUN_SEALED),
        run=RunState.NOT_RUN,
    )
    table.put(sealed, now_s)
    return _reply(sealed)


def _reply(known: ClaimRecord) -> WitnessReply:
    verdicts = {
        ClaimState.SEALED: WitnessVerdict.SEALED,
        ClaimState.OUTCOME: WitnessVerdict.OUTCOME,
    }
    verdict = verdicts.get(known.state, WitnessVerdict.STARTED)
    return WitnessReply(verdict, known)
