"""What a query does about ranges for which it has no replica left."""

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
    """Ranges of the pinned version that backend servers said they lack.

    Holdings are announced with a delay, so the announced ones alone would
    send the same request to the same server again.
    """

    def __init__(self) -> None:
        """Start without denials."""
        self._asked: set[tuple[ServerName, int, int]] = set()

    def add(self, server: ServerName, asked: KeyRange) -> None:
        """Note that a server does not hold a range that it was asked for."""
        self._asked.add((server, *asked))

    def may_ask(self, server: ServerName, start: int, end: int) -> bool:
        """Return whether a server may be asked for ``[start, end)``."""
        return (server, start, end) not in self._asked


def reachable_key_count(state: MergeState, hoped: Iterable[KeyRange]) -> int:
    """Return how many keys the pinned version can still cover.

    Parameters
    ----------
    state : MergeState
        What was merged.
    hoped : iterable of (int, int)
        Ranges of open attempts and of sub-ranges that have a replica.

    Returns
    -------
    int
        Merged keys plus missing keys that are in `hoped`.
    """
    missing = state.missing()
    lost = key_count(missing) - key_count(intersection(missing, hoped))
    return KEY_SPACE_SIZE - lost


def choose_restart_version(
    catalogue: Catalogue,
    pinned: IndexVersion,
    reachable: int,
) -> IndexVersion | None:
    """Choose the version that a query restarts on.

    Parameters
    ----------
    catalogue : Catalogue
        Holdings as they are known now.
    pinned : int
        Version pinned so far.
    reachable : int
        Keys that the pinned version can still cover.

    Returns
    -------
    int or None
        The newer version that covers most keys, if these are more than
        `reachable`; ties go to the newest.
    """
    newer = [
        (keys, version)
        for version, keys in catalogue.keys_by_version.items()
        if version > pinned and keys > reachable
    ]
    return max(newer)[1] if newer else None


def state_with_more_coverage(
    first: MergeState, second: MergeState
) -> MergeState:
    """Return the state to answer with: more coverage, ties to the newer."""
    return max(
        (first, second),
        key=lambda state: (state.coverage, state.version),
    )
