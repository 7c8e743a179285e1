"""Which daemons watch the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from boragespool.messages import MemberRecord
    from boragespool.types import HostName, Revision

#: Watchers of the whole fleet; two of them may fail at the same moment.
WATCHER_COUNT: Final = 3
_NAME: Final = 'configuration'
_CANDIDATES: Final = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


def choose_watchers(
    members_by_host: Mapping[HostName, MemberRecord],
    own_host: HostName,
    highest_weights: Callable[
        [str, Iterable[HostName], int],
        tuple[HostName, ...],
    ],
) -> tuple[HostName, ...]:
    """Choose the daemons that watch the store.

    Parameters
    ----------
    members_by_host : mapping of str to MemberRecord
        Members known to this daemon.
    own_host : str
        This daemon; it is a candidate before its record is posted.
    highest_weights : callable
        Rendezvous hashing: name, hosts, count.

    Returns
    -------
    tuple of str
        At most `WATCHER_COUNT` hosts. Daemons with different views may
        choose different hosts; this costs store calls and nothing else.
    """
    hosts = {
        member.host
        for member in members_by_host.values()
        if member.status in _CANDIDATES
    }
    if own_host not in members_by_host:
        hosts.add(own_host)
    return highest_weights(_NAME, hosts, WATCHER_COUNT)


def hosts_with_newer_revision(
    members_by_host: Mapping[HostName, MemberRecord],
    have: Revision,
) -> tuple[HostName, ...]:
    """Return the members that hold a newer revision, newest first.

    Parameters
    ----------
    members_by_host : mapping of str to MemberRecord
        Members known to this daemon.
    have : int
        Revision in force here; 0 for none.

    Returns
    -------
    tuple of str
        Dead members are left out.
    """
    holders = [
        member
        for member in members_by_host.values()
        if member.revision > have and member.status is not MemberStatus.DEAD
    ]
    holders.sort(key=lambda member: member.revision, reverse=True)
    return tuple(member.host for member in holders)
