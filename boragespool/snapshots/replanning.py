"""Replanning of a query when some key ranges have no replica left.

A query may restart on a newer index version that covers more keys than the
pinned version still can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.snapshots.ranges import intersection, key_count
from boragespool.types import KEY_SPACE_SIZE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.snapshots.catalogue import Catalogue
    from boragespool.snapshots.merging import MergeState
    from boragespool.snapshots.ranges import KeyRange
    from boragespool.types import IndexVersion, ServerName


class NotHeldRanges:
    """Ranges of the pinned version that backend servers refused as not held.

    Holdings are announced with a delay. A plan that relied on them alone
    would send the same sub-request to the same backend server again.
    """

    def __init__(self) -> None:
        """Set up an empty collection."""
        self._refused: set[tuple[ServerName, int, int]] = set()

    def add(self, server: ServerName, asked: KeyRange) -> None:
        """Record that a server does not hold a range that it was asked for."""
        self._refused.add((server, *asked))

    def may_ask(self, server: ServerName, start: int, end: int) -> bool:
        """Return whether a server may be asked for ``[start, end)``."""
        return (server, start, end) not in self._refused


def reachable_key_count(state: MergeState, pending: Iterable[KeyRange]) -> int:
    """Return the number of keys that the pinned version can still cover.

    Parameters
    ----------
    state : MergeState
        Replies that were merged so far.
    pending : iterable of (int, int)
        Ranges of open attempts, and ranges that still have a replica.

    Returns
    -------
    int
        Number of merged keys plus that of the missing keys in `pending`.
    """
    missing = state.missing()
    lost_count = key_count(missing) - key_count(intersection(missing, pending))
    return KEY_SPACE_SIZE - lost_count


def choose_restart_version(
    catalogue: Catalogue,
    pinned: IndexVersion,
    reachable: int,
) -> IndexVersion | None:
    """Choose the index version on which a query restarts.

    Parameters
    ----------
    catalogue : Catalogue
        Plans from the holdings that are currently known.
    pinned : int
        Version that the query has pinned.
    reachable : int
        Number of keys that the pinned version can still cover.

    Returns
    -------
    int or None
        Among the newer versions that cover more than `reachable` keys, the
        one that covers the most, or the newest of these; None if there is
        no such version.
    """
    newer = [
        (count, version)
        for version, count in catalogue.key_count_by_version.items()
        if version > pinned and count > reachable
    ]
    return max(newer)[1] if newer else None


def state_with_more_coverage(
    first: MergeState, second: MergeState
) -> MergeState:
    """Return the state with more coverage, or the newer version if equal."""
    return max(
        (first, second),
        key=lambda state: (state.coverage, state.version),
    )
