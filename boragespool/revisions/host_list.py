"""Versioning of the list of leaving hosts.

The platform's host list has no version. A watcher therefore publishes a new
list with a sequence number one higher than the highest that it knows, so that
the order of lists does not depend on clocks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.messages import LeavingHosts

if TYPE_CHECKING:
    from boragespool.types import HostName

EMPTY_HOST_LIST: Final = LeavingHosts(0, '')


def supersedes(current: LeavingHosts, candidate: LeavingHosts) -> bool:
    """Return whether a candidate replaces the list in use.

    Of two lists with the same sequence number, that of the watcher with the
    greater host name is used.
    """
    return (candidate.sequence, candidate.watcher) > (
        current.sequence,
        current.watcher,
    )


def next_host_list(
    current: LeavingHosts,
    observed: frozenset[HostName],
    observed_before: frozenset[HostName],
    watcher: HostName,
) -> LeavingHosts | None:
    """Return the list that a watcher publishes after reading the platform's.

    Parameters
    ----------
    current : LeavingHosts
        List in use. The caller ensures that it did not change while the
        platform's list was read.
    observed, observed_before : frozenset of str
        Leaving hosts in the latest answer of the platform and in the
        answer before it.
    watcher : str
        Host name of this daemon.

    Returns
    -------
    LeavingHosts or None
        None if the list in use is still correct. A new host is added at once.
        A host is removed only if two consecutive answers lack it, because
        the replicas of the platform's list lag by different times.
    """
    listed = frozenset(current.hosts)
    leaving = observed | (listed & observed_before)
    if leaving == listed:
        return None
    return LeavingHosts(
        current.sequence + 1,
        watcher,
        tuple(sorted(leaving)),
    )
