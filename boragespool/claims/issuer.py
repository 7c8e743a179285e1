"""Ticket creation, and checks by the issuer before it runs a claim.

The functions are pure: the caller stores the records and sends messages.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from boragespool.claims.tickets import (
    Ticket,
    has_valid_signature,
    sign_ticket,
)
from boragespool.messages import ClaimRecord, ClaimState, MemberRecord
from boragespool.results import Failure, ResultCode
from boragespool.types import MemberStatus, RunState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.claims.records import ClaimRecordTable
    from boragespool.types import DataCentre, HostName, Incarnation, Seconds


@dataclass(frozen=True, slots=True)
class IssuerIdentity:
    """Identity of a daemon that issues tickets.

    Attributes
    ----------
    signing_key : bytes
        Secret key that signs the tickets of this incarnation.
    """

    host: HostName
    incarnation: Incarnation
    data_centre: DataCentre
    signing_key: bytes


def issue_ticket(
    issuer: IssuerIdentity,
    sequence: int,
    witness: MemberRecord | None,
    now_s: Seconds,
) -> Ticket:
    """Return a new signed ticket.

    Parameters
    ----------
    issuer : IssuerIdentity
        Daemon that issues the ticket and may run its claim.
    sequence : int
        Sequence number, unique among the tickets of this incarnation.
    witness : MemberRecord or None
        Member that records the start; None for a ticket without a witness.
    now_s : float
        Monotonic time of the issuer, in seconds.
    """
    unsigned = Ticket(
        issuer=issuer.host,
        issuer_incarnation=issuer.incarnation,
        sequence=sequence,
        issued_at_s=float(now_s),
        witness=witness.host if witness else '',
        witness_incarnation=witness.incarnation if witness else 0,
    )
    return sign_ticket(unsigned, issuer.signing_key)


def choose_witness(
    issuer: IssuerIdentity,
    members: Iterable[MemberRecord],
    draw: float,
) -> MemberRecord | None:
    """Choose the witness of a ticket among the alive members.

    Members in other data centres are preferred.

    Parameters
    ----------
    issuer : IssuerIdentity
        Daemon that issues the ticket; it is never its own witness.
    members : iterable of MemberRecord
        Known members.
    draw : float
        Random number in ``[0, 1)`` that selects the member.

    Returns
    -------
    MemberRecord or None
        None if no other member is alive.
    """
    alive = [
        member
        for member in members
        if member.status is MemberStatus.ALIVE and member.host != issuer.host
    ]
    in_other_data_centres = [
        member for member in alive if member.data_centre != issuer.data_centre
    ]
    candidates = in_other_data_centres or alive
    if not candidates:
        return None
    return candidates[int(draw * len(candidates))]


def find_or_create_record(
    table: ClaimRecordTable,
    ticket: Ticket,
    body_hash: int,
    *,
    issuer: IssuerIdentity,
    min_issued_at_s: Seconds,
) -> ClaimRecord | Failure:
    """Return the issuer's record for a claim with one of its tickets.

    The table is not changed.

    Parameters
    ----------
    table : ClaimRecordTable
        Records of the issuer.
    ticket : Ticket
        Ticket that names this issuer and incarnation.
    body_hash : int
        Hash of route and body, which identifies the claim; 0 to accept any
        claim.
    issuer : IssuerIdentity
        Identity of this daemon.
    min_issued_at_s : float
        Oldest issue time of a ticket that may still start, on the issuer's
        monotonic clock, in seconds.

    Returns
    -------
    ClaimRecord or Failure
        The record in the table if there is one. Otherwise a new record,
        which the caller must put into the table before it does anything
        else: in state ``STARTING``, or ``SEALED`` if the ticket is too old.
        A failure for an invalid signature, for a ticket that is bound to
        another claim, or for one whose record may have been dropped.
    """
    candidate = starting_record(ticket, body_hash)
    existing = table.get(ticket.ticket_id)
    if existing is not None:
        return _record_if_same_claim(existing, body_hash)
    if not has_valid_signature(ticket, issuer.signing_key):
        return Failure(
            ResultCode.BAD_TICKET,
            f'the signature of ticket {ticket.ticket_id!r} is invalid; only '
            'tickets signed by this issuer are allowed',
        )
    if not table.was_never_recorded(candidate):
        return unknown_outcome_failure(ticket)
    if ticket.issued_at_s < min_issued_at_s:
        return replace(
            candidate,
            state=ClaimState.SEALED,
            code=int(ResultCode.NOT_RUN_SEALED),
            run=RunState.NOT_RUN,
        )
    return candidate


def starting_record(ticket: Ticket, body_hash: int) -> ClaimRecord:
    """Return a new record in state ``STARTING`` for a ticket."""
    return ClaimRecord(
        ticket_id=ticket.ticket_id,
        issuer=ticket.issuer,
        issuer_incarnation=ticket.issuer_incarnation,
        sequence=ticket.sequence,
        state=ClaimState.STARTING,
        body_hash=body_hash,
    )


def unknown_outcome_failure(ticket: Ticket) -> Failure:
    """Return the failure for a ticket whose claim may or may not have run."""
    return Failure(
        ResultCode.OUTCOME_UNKNOWN,
        f'the outcome of ticket {ticket.ticket_id!r} is unknown; its claim '
        'is not run again',
        RunState.UNKNOWN,
    )


def _record_if_same_claim(
    existing: ClaimRecord, body_hash: int
) -> ClaimRecord | Failure:
    """Return the record, or a failure if it belongs to another claim."""
    if body_hash and existing.body_hash and body_hash != existing.body_hash:
        return Failure(
            ResultCode.TICKET_REUSED,
            f'ticket {existing.ticket_id!r} is bound to another claim',
        )
    return existing
