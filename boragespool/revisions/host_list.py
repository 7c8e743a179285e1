"""Which list of leaving hosts is the newest one.

The platform's list has no version. A watcher numbers the lists that it
publishes with one more than the highest number that it knows, so that the
order does not depend on clocks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.messages import LeavingHosts

if TYPE_CHECKING:
    from boragespool.types import HostName

EMPTY_HOST_LIST: Final = LeavingHosts(0, '')


def supersedes(current: LeavingHosts, candidate: LeavingHosts) -> bool:
    """Tell whether a candidate is newer than the list in use."""
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
        List in use; it did not change while the platform was asked.
    observed, observed_before : frozenset of str
        Leaving hosts in this answer and in the answer before it.
    watcher : str
        This daemon.

    Returns
    -------
    LeavingHosts or None
        None if the list in use is right. A host that appears is taken at
        once; one that disappears only when two answers agree, because copies
        of the platform's list lag differently.
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
