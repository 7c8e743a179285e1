"""What daemons report, read leniently: releases may differ."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from boragespool.types import HostName, Revision

_LIVE: Final = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


@dataclass(frozen=True, slots=True)
class DaemonReport:
    """One ``GET /v1/status``.

    Attributes
    ----------
    live_members, server_count, in_flight : int
        Counts as the daemon sees them.
    blocked : str
        Blocked fingerprints, separated by spaces.
    """

    host: HostName
    phase: str
    revision: Revision
    live_members: int
    server_count: int
    in_flight: int
    blocked: str


def parse_status(body: Any) -> DaemonReport:
    """Pick the known fields of a status; missing ones are empty or 0."""
    fields = body if isinstance(body, dict) else {}
    return DaemonReport(
        str(fields.get('host', '')),
        str(fields.get('phase', '')),
        _whole(fields.get('revision')),
        sum(member['status'] in _LIVE for member in _members(fields)),
        len(fields.get('servers') or ()),
        _whole(fields.get('in_flight')),
        ' '.join(map(str, fields.get('blocked') or ())),
    )


def revision_by_live_host(bodies: Iterable[Any]) -> Mapping[str, Revision]:
    """Return the highest revision that any status shows for each live daemon.

    Parameters
    ----------
    bodies : iterable
        Decoded ``GET /v1/status`` of several daemons.

    Returns
    -------
    mapping of str to int
        A daemon that answered counts as live with its own revision.
    """
    revisions: dict[str, Revision] = {}
    for body in bodies:
        if not isinstance(body, dict):
            continue
        for member in _members(body):
            if member['status'] in _LIVE:
                _raise_to(revisions, member)
        if body.get('host'):
            _raise_to(revisions, body)
    return revisions


def _raise_to(
    revisions: dict[str, Revision],
    record: Mapping[str, Any],
) -> None:
    host = str(record['host'])
    known = revisions.get(host, 0)
    revisions[host] = max(known, _whole(record.get('revision')))


def _members(body: Mapping[str, Any]) -> Iterator[Mapping[str, Any]]:
    """Yield member records from a list or from a mapping by host."""
    members = body.get('members') or ()
    if isinstance(members, dict):
        members = members.values()
    for member in members:
        if isinstance(member, dict) and {'host', 'status'} <= member.keys():
            yield member


def _whole(value: Any) -> int:
    return value if isinstance(value, int) else 0
