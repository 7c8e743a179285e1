"""Which of two records about one member is the newer one."""

from __future__ import annotations

from dataclasses import replace
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from boragespool.messages import MemberRecord

_SEVERITY: Final = MappingProxyType(
    {
        MemberStatus.ALIVE: 0,
        MemberStatus.SUSPECT: 1,
        MemberStatus.LEAVING: 2,
        MemberStatus.DEAD: 3,
    }
)
_REFUTABLE: Final = frozenset((MemberStatus.SUSPECT, MemberStatus.DEAD))


def precedence(record: MemberRecord) -> tuple[int, int, int]:
    """Return the order of records about one member; the highest wins.

    Notes
    -----
    Leaving ranks above suspect, so that a suspicion never hides that a
    member leaves.
    """
    return (record.incarnation, record.beat, _SEVERITY[record.status])


def merge_records(
    known: MemberRecord,
    received: MemberRecord,
    *,
    is_direct: bool = False,
) -> MemberRecord:
    """Return the newer of two records about one member.

    Parameters
    ----------
    known, received : MemberRecord
        Records with the same host.
    is_direct : bool
        Whether `received` came from the member itself.

    Returns
    -------
    MemberRecord
        The record with the higher precedence. Between equals the higher
        revision is kept, and the load of a direct record.

    Notes
    -----
    Load and revision do not raise the beat: a suspicion has to carry the
    member's latest beat to be believed, and would be outdated at once if
    every change of the load raised it.
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
    """Tell whether a merged record is worth spreading at once."""
    return known is None or precedence(known) != precedence(merged)


def refute(own: MemberRecord, received: MemberRecord) -> MemberRecord:
    """Return the own record, with a higher beat if it has to contradict.

    Parameters
    ----------
    own : MemberRecord
        Record that this daemon publishes about itself.
    received : MemberRecord
        What a peer says about this daemon.

    Returns
    -------
    MemberRecord
        With a beat above the received one if that suspects this incarnation
        or calls it dead.
    """
    contradicted = (
        received.incarnation == own.incarnation
        and received.status in _REFUTABLE
        and received.beat >= own.beat
    )
    return replace(own, beat=received.beat + 1) if contradicted else own
