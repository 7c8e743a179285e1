"""Decisions of an issuer about its own tickets."""

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
    """Identity of an issuer.

    Attributes
    ----------
    signing_key : bytes
        Secret of this incarnation that signs its tickets.
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
    """Return a signed ticket.

    Parameters
    ----------
    issuer : Issuer
        Who may run the ticket.
    sequence : int
        Number that no other ticket of the issuer has.
    witness : MemberRecord or None
        Who records the start.
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
    """Choose an alive member, in another data centre if there is one.

    Parameters
    ----------
    issuer : Issuer
        Who issues the ticket; it is never its own witness.
    members : iterable of MemberRecord
        Members known.
    draw : float
        Random number in ``[0, 1)``.

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
    remote = [
        member for member in alive if member.data_centre != issuer.data_centre
    ]
    candidates = remote or alive
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
    """Decide what the issuer does with a claim under one of its tickets.

    Parameters
    ----------
    table : ClaimRecordTable
        Records of the issuer.
    ticket : Ticket
        Ticket that names this issuer and incarnation.
    body_hash : int
        Identity of the claim.
    issuer : Issuer
        This issuer.
    min_issued_at_s : float
        Issue time before which a ticket no longer starts, in seconds.

    Returns
    -------
    ClaimRecord or Failure
        A new record in state ``STARTING``, which the caller puts into the
        table before anything else; or the known record; or a refusal.
    """
    fresh = starting_record(ticket, body_hash)
    known = table.get(ticket.ticket_id)
    if known is not None:
        return _same_claim(known, body_hash)
    if not has_valid_signature(ticket, issuer.signing_key):
        return Failure(
            ResultCode.BAD_TICKET,
            f'ticket {ticket.ticket_id!r} was not signed by its issuer',
        )
    if not table.was_never_recorded(fresh):
        return unknown_outcome_failure(ticket)
    if ticket.issued_at_s < min_issued_at_s:
        return replace(
            fresh,
            state=ClaimState.SEALED,
            code=int(ResultCode.NOT_RUN_SEALED),
            run=RunState.NOT_RUN,
        )
    return fresh


def starting_record(ticket: Ticket, body_hash: int) -> ClaimRecord:
    """Return the record of a ticket that is about to start."""
    return ClaimRecord(
        ticket_id=ticket.ticket_id,
        issuer=ticket.issuer,
        issuer_incarnation=ticket.issuer_incarnation,
        sequence=ticket.sequence,
        state=ClaimState.STARTING,
        body_hash=body_hash,
    )


def unknown_outcome_failure(ticket: Ticket) -> Failure:
    """Return the refusal for a ticket of which nothing certain is known."""
    return Failure(
        ResultCode.OUTCOME_UNKNOWN,
        f'nothing certain is known about ticket {ticket.ticket_id!r}; '
        'it is not run again',
        RunState.UNKNOWN,
    )


def _same_claim(known: ClaimRecord, body_hash: int) -> ClaimRecord | Failure:
    """Refuse a second claim under a ticket that is bound to another one."""
    if body_hash and known.body_hash and body_hash != known.body_hash:
        return Failure(
            ResultCode.TICKET_REUSED,
            f'ticket {known.ticket_id!r} is bound to another claim',
        )
    return known
