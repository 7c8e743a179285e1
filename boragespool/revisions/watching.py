"""Choice of the daemons that watch the store, and of peers to fetch from."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from boragespool.messages import MemberRecord
    from boragespool.types import HostName, Revision

#: Number of watchers in the whole fleet. Two of them may fail at the same time.
WATCHER_COUNT: Final = 3
#: Name for which the hosts are ranked by rendezvous hashing.
_HASHED_NAME: Final = 'configuration'
_CANDIDATE_STATUSES: Final = frozenset(
    (MemberStatus.ALIVE, MemberStatus.SUSPECT)
)


def choose_watchers(
    members_by_host: Mapping[HostName, MemberRecord],
    own_host: HostName,
    highest_weights: Callable[
        [str, Iterable[HostName], int],
        tuple[HostName, ...],
    ],
) -> tuple[HostName, ...]:
    """Choose the daemons that watch the store for new revisions.

    Parameters
    ----------
    members_by_host : mapping of str to MemberRecord
        Members known to this daemon.
    own_host : str
        Host of this daemon, a candidate even if it is not among the members
        yet.
    highest_weights : callable
        Rendezvous hashing; called with a name, the hosts and a count, returns
        the hosts with the highest weights for the name.

    Returns
    -------
    tuple of str
        At most `WATCHER_COUNT` hosts. Daemons with different views of the
        members may choose different hosts, which only causes additional
        store calls.
    """
    hosts = {
        member.host
        for member in members_by_host.values()
        if member.status in _CANDIDATE_STATUSES
    }
    if own_host not in members_by_host:
        hosts.add(own_host)
    return highest_weights(_HASHED_NAME, hosts, WATCHER_COUNT)


def hosts_with_newer_revision(
    members_by_host: Mapping[HostName, MemberRecord],
    own_revision: Revision,
) -> tuple[HostName, ...]:
    """Return the members that have a newer revision, newest first.

    Parameters
    ----------
    members_by_host : mapping of str to MemberRecord
        Members known to this daemon.
    own_revision : int
        Revision in force at this daemon; 0 for none.

    Returns
    -------
    tuple of str
        Hosts of the members; dead members are omitted.
    """
    holders = [
        member
        for member in members_by_host.values()
        if member.revision > own_revision
        and member.status is not MemberStatus.DEAD
    ]
    holders.sort(key=lambda member: member.revision, reverse=True)
    return tuple(member.host for member in holders)
