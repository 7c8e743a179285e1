"""Versions of the record of one backend server, and which of two is newer."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.messages import ServerRecord
    from boragespool.types import Seconds

#: Minimum time before a dispatcher replaces the equal record of another live
#: one. Two daemons whose views of the members differ may both dispatch to a
#: server, and would otherwise replace each other's record at each poll.
_TAKEOVER_DELAY_S: Final = 10


def newer_record(
    known: ServerRecord | None, incoming: ServerRecord
) -> ServerRecord:
    """Return the newer of the known and an incoming record.

    Parameters
    ----------
    known : ServerRecord or None
        Record that is stored, if any.
    incoming : ServerRecord
        Record that was announced.

    Returns
    -------
    ServerRecord
        The one with the higher sequence number, then with the lower
        incarnation of the dispatcher, then with the higher host name of the
        dispatcher. The order does not depend on the view of the members, so
        that daemons with different views keep the same record. A daemon that
        starts, and announces a server before it has the records of others,
        replaces none of them.
    """
    if known is None or _version_order(incoming) > _version_order(known):
        return incoming
    return known


def next_version(
    known: ServerRecord | None,
    observed: ServerRecord,
    since_takeover_s: Seconds,
    *,
    known_dispatcher_is_live: bool,
) -> ServerRecord | None:
    """Return the next record that a dispatcher announces, if one is due.

    Parameters
    ----------
    known : ServerRecord or None
        Newest known record of the server.
    observed : ServerRecord
        What the dispatcher observed; its sequence number is ignored.
    since_takeover_s : float
        Time in seconds since the server was assigned to the dispatcher, or
        since it last replaced a record of another dispatcher. A daemon that
        starts knows few members and considers itself the dispatcher of many
        servers.
    known_dispatcher_is_live : bool
        Whether the dispatcher in the known record is a live member.

    Returns
    -------
    ServerRecord or None
        A record that is newer than the known one; None if there is nothing to
        announce.
    """
    if known is None:
        return replace(observed, sequence=1)
    if _dispatcher_identity(known) == _dispatcher_identity(observed):
        is_due = replace(observed, sequence=known.sequence) != known
    else:
        agrees = _server_state(known) == _server_state(observed)
        is_waiting = (
            known_dispatcher_is_live and since_takeover_s < _TAKEOVER_DELAY_S
        )
        is_due = not (agrees and is_waiting)
    return replace(observed, sequence=known.sequence + 1) if is_due else None


def _version_order(record: ServerRecord) -> tuple[int, int, str]:
    return record.sequence, -record.dispatcher_incarnation, record.dispatcher


def _dispatcher_identity(record: ServerRecord) -> tuple[str, int]:
    return record.dispatcher, record.dispatcher_incarnation


def _server_state(record: ServerRecord) -> tuple[object, ...]:
    """Return the fields in which records of two dispatchers must agree."""
    return record.incarnation, record.state, record.holdings
