"""Precedence of the records about one member, and their refutation."""

from __future__ import annotations

from dataclasses import replace
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from boragespool.messages import MemberRecord

_STATUS_ORDER: Final = MappingProxyType(
    {
        MemberStatus.ALIVE: 0,
        MemberStatus.SUSPECT: 1,
        MemberStatus.LEAVING: 2,
        MemberStatus.DEAD: 3,
    }
)
_REFUTABLE: Final = frozenset((MemberStatus.SUSPECT, MemberStatus.DEAD))


def precedence(record: MemberRecord) -> tuple[int, int, int]:
    """Return the sort key of records about one member; the highest wins.

    Notes
    -----
    The key is the incarnation, the beat and the status. Leaving ranks above
    suspect, so that a suspicion does not hide that a member is leaving.
    """
    return (record.incarnation, record.beat, _STATUS_ORDER[record.status])


def merge_records(
    known: MemberRecord,
    received: MemberRecord,
    *,
    is_direct: bool = False,
) -> MemberRecord:
    """Return the record with the higher precedence of two about one member.

    Parameters
    ----------
    known, received : MemberRecord
        Records with the same host.
    is_direct : bool
        Whether `received` was sent by the member itself.

    Returns
    -------
    MemberRecord
        The record with the higher precedence. If both have the same, `known`
        with the higher revision of the two, and with the load of `received`
        if `is_direct`.

    Notes
    -----
    A change of load or revision does not raise the beat. A suspicion is only
    accepted if it carries the latest beat of the member, so it would be
    outdated at once if every change of the load raised the beat.
    """
    if precedence(received) < precedence(known):
        return known
    if precedence(received) > precedence(known):
        return received
    load = received.load if is_direct else known.load
    revision = max(known.revision, received.revision)
    if (load, revision) == (known.load, known.revision):
        return known
    return replace(known, load=load, revision=revision)


def precedence_changed(
    known: MemberRecord | None, merged: MemberRecord
) -> bool:
    """Return whether a merged record is new or has another precedence.

    Only such a change is spread as a rumour.
    """
    return known is None or precedence(known) != precedence(merged)


def refute(own: MemberRecord, received: MemberRecord) -> MemberRecord:
    """Return this daemon's own record, raised to refute a received one.

    Parameters
    ----------
    own : MemberRecord
        Record that this daemon publishes about itself.
    received : MemberRecord
        Record about this daemon that was received from a peer.

    Returns
    -------
    MemberRecord
        The own record. Its beat is one above the received beat if `received`
        marks this incarnation as suspect or dead and is not outdated.
    """
    must_refute = (
        received.incarnation == own.incarnation
        and received.status in _REFUTABLE
        and received.beat >= own.beat
    )
    return replace(own, beat=received.beat + 1) if must_refute else own
