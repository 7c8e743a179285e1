"""Parser of daemon status responses.

Fields may be missing or unknown, as daemons may run another release.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from boragespool.types import HostName, Revision

_LIVE_STATUSES: Final = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


@dataclass(frozen=True, slots=True)
class DaemonStatus:
    """Response of a daemon to ``GET /v1/status``.

    Attributes
    ----------
    host : str
        Host of the daemon.
    phase : str
        Life cycle phase, see `boragespool.types.Phase`.
    revision : int
        Revision in force at the daemon.
    live_member_count, server_count, in_flight : int
        Number of live members, of backend servers and of requests in
        flight, as the daemon counts them.
    blocked : str
        Blocked fingerprints, separated by spaces.
    """

    host: HostName
    phase: str
    revision: Revision
    live_member_count: int
    server_count: int
    in_flight: int
    blocked: str


def parse_status(body: Any) -> DaemonStatus:
    """Return the known fields of a status; missing ones are empty or 0."""
    fields = body if isinstance(body, dict) else {}
    return DaemonStatus(
        str(fields.get('host', '')),
        str(fields.get('phase', '')),
        _int_or_zero(fields.get('revision')),
        sum(
            member['status'] in _LIVE_STATUSES
            for member in _member_records(fields)
        ),
        len(fields.get('servers') or ()),
        _int_or_zero(fields.get('in_flight')),
        ' '.join(map(str, fields.get('blocked') or ())),
    )


def revision_by_live_host(bodies: Iterable[Any]) -> Mapping[str, Revision]:
    """Return the highest reported revision of each live daemon.

    Parameters
    ----------
    bodies : iterable
        Decoded responses of several daemons to ``GET /v1/status``.

    Returns
    -------
    mapping of str to int
        By host. A daemon that responded counts as live.
    """
    revisions: dict[str, Revision] = {}
    for body in bodies:
        if not isinstance(body, dict):
            continue
        for member in _member_records(body):
            if member['status'] in _LIVE_STATUSES:
                _record_highest(revisions, member)
        if body.get('host'):
            _record_highest(revisions, body)
    return revisions


def _record_highest(
    revisions: dict[str, Revision],
    record: Mapping[str, Any],
) -> None:
    host = str(record['host'])
    known_revision = revisions.get(host, 0)
    revisions[host] = max(known_revision, _int_or_zero(record.get('revision')))


def _member_records(body: Mapping[str, Any]) -> Iterator[Mapping[str, Any]]:
    """Yield the member records, which are a list or a mapping by host."""
    members = body.get('members') or ()
    if isinstance(members, dict):
        members = members.values()
    for member in members:
        if isinstance(member, dict) and {'host', 'status'} <= member.keys():
            yield member


def _int_or_zero(value: Any) -> int:
    return value if isinstance(value, int) else 0
