"""Which of two records of one backend server is newer."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.messages import ServerRecord
    from boragespool.types import Seconds

#: Two daemons that both dispatch to a server, because their views of the
#: members differ, would otherwise replace each other's record at each poll.
_RECLAIM_S: Final = 10


def newer_record(
    known: ServerRecord | None, incoming: ServerRecord
) -> ServerRecord:
    """Choose the newer of the known and an incoming record.

    Parameters
    ----------
    known : ServerRecord or None
        Record kept so far.
    incoming : ServerRecord
        Record that was announced.

    Returns
    -------
    ServerRecord
        The one with the higher sequence number, then of the lower
        dispatcher incarnation, then of the higher host name. The order does
        not depend on the view of the members, so that daemons with different
        views keep the same record. A daemon that starts, and announces a
        server before it has the records of others, replaces none of them.
    """
    if known is None or _order(incoming) > _order(known):
        return incoming
    return known


def next_version(
    known: ServerRecord | None,
    seen: ServerRecord,
    since_claim_s: Seconds,
    *,
    known_dispatcher_is_live: bool,
) -> ServerRecord | None:
    """Return the record that a dispatcher announces after an observation.

    Parameters
    ----------
    known : ServerRecord or None
        Newest known record of the server.
    seen : ServerRecord
        What the dispatcher observed; its sequence number is ignored.
    since_claim_s : float
        Time since the dispatcher got the server, or since it last replaced
        a record of another one. A daemon that starts sees few members and
        takes itself for the dispatcher of many servers.
    known_dispatcher_is_live : bool
        Whether the dispatcher in the known record is a live member.

    Returns
    -------
    ServerRecord or None
        A record that is newer than the known one, or None if there is
        nothing to announce.
    """
    if known is None:
        return replace(seen, sequence=1)
    if _author(known) == _author(seen):
        is_due = replace(seen, sequence=known.sequence) != known
    else:
        agrees = _observed(known) == _observed(seen)
        is_waiting = known_dispatcher_is_live and since_claim_s < _RECLAIM_S
        is_due = not (agrees and is_waiting)
    return replace(seen, sequence=known.sequence + 1) if is_due else None


def _order(record: ServerRecord) -> tuple[int, int, str]:
    return record.sequence, -record.dispatcher_incarnation, record.dispatcher


def _author(record: ServerRecord) -> tuple[str, int]:
    return record.dispatcher, record.dispatcher_incarnation


def _observed(record: ServerRecord) -> tuple[object, ...]:
    """Return what two dispatchers of a server must agree on."""
    return record.incarnation, record.state, record.holdings
