"""Change feed of one prefix of the store, served to other daemons.

One daemon of each data centre reads the store for all daemons there, so that
calls and bytes of the store grow with the number of data centres and not with
the number of daemons.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.item_store import HistoryLost, Item, Removal

# msgspec resolves the annotations of `PrefixChanges` at run time.
from boragespool.types import Seconds  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.controllers.forwarding.mirror import MirrorState
    from boragespool.timers import TimerService

#: Maximum number of removed keys that a feed keeps for daemons that read it.
_MAX_REMOVAL_COUNT: Final = 2_000


@dataclass(frozen=True, slots=True)
class PrefixChanges:
    """Changes of one prefix up to a revision of the store.

    It is encoded with MessagePack, by field name.

    Attributes
    ----------
    items : tuple of Item
        Items that were added or changed.
    removals : tuple of Removal
        Keys that were removed.
    revision : int
        Revision of the store up to which the changes are complete.
    age_s : float
        Time since the store was read, in seconds.
    returned_ago_s : float or None
        Time since the store was last reachable again after an outage, in
        seconds; None if there was none.
    """

    items: tuple[Item, ...]
    removals: tuple[Removal, ...]
    revision: int
    age_s: Seconds
    returned_ago_s: Seconds | None


class ChangeFeed:
    """Items of one prefix with the revisions of their last changes.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        """Set up an empty feed, which has no state to read yet."""
        self._timers = timers
        self._items_by_key: dict[str, Item] = {}
        self._change_revisions_by_key: dict[str, int] = {}
        self._removal_revisions_by_key: dict[str, int] = {}
        # Removals up to this revision may be missing.
        self._history_revision = 0
        self._last_change_revision = 0
        self._revision: int | None = None
        self._read_at_s: Seconds = -math.inf
        self._returned_at_s: Seconds = -math.inf
        self._change_event = asyncio.Event()

    @property
    def has_state(self) -> bool:
        """Whether anything was published."""
        return self._revision is not None

    def publish(
        self,
        changes_by_key: Mapping[str, Item | None],
        state: MirrorState,
    ) -> None:
        """Add changes read from the store and wake up `wait`.

        Parameters
        ----------
        changes_by_key : mapping of str to Item or None
            Changed items by key; None for a removed key.
        state : MirrorState
            State of the mirror that the changes were taken from.
        """
        revision = state.revision
        self._read_at_s = max(self._read_at_s, state.read_at_s)
        self._returned_at_s = state.returned_at_s
        self._revision = revision
        for key, item in changes_by_key.items():
            if item is None:
                self._items_by_key.pop(key, None)
                self._change_revisions_by_key.pop(key, None)
                # Removed first, so that the keys stay in the order of their
                # removals.
                self._removal_revisions_by_key.pop(key, None)
                self._removal_revisions_by_key[key] = revision
            else:
                # An item may be newer than the state, whose revision claims
                # no more than is complete.
                self._items_by_key[key] = item
                self._change_revisions_by_key[key] = max(
                    revision, item.revision
                )
                self._removal_revisions_by_key.pop(key, None)
        while len(self._removal_revisions_by_key) > _MAX_REMOVAL_COUNT:
            oldest_key = next(iter(self._removal_revisions_by_key))
            self._history_revision = max(
                self._history_revision,
                self._removal_revisions_by_key.pop(oldest_key),
            )
        has_gap = state.history_revision > self._history_revision
        if has_gap:
            self._history_revision = state.history_revision
        if changes_by_key or has_gap:
            self._last_change_revision = max(
                self._last_change_revision,
                revision,
                *map(self._change_revision_of, changes_by_key),
            )
            self._change_event.set()
            self._change_event = asyncio.Event()

    def mark_read(self) -> None:
        """Record that the store is reachable, so the changes are current.

        Called while a watch of the store is waiting and nothing has changed.
        """
        self._read_at_s = self._timers.now_s()

    async def wait(self, after_revision: int | None) -> None:
        """Wait until `read` would return changes or `HistoryLost`."""
        if after_revision is None or self._lacks_history(after_revision):
            return
        if after_revision >= self._last_change_revision:
            await self._change_event.wait()

    def read(self, after_revision: int | None) -> PrefixChanges | HistoryLost:
        """Return the changes after a revision; all items if it is None.

        Returns
        -------
        PrefixChanges or HistoryLost
            `HistoryLost` if removals after the revision may be missing, or
            if nothing was published yet.
        """
        if after_revision is None:
            return self._changes_after(-1)
        if self._lacks_history(after_revision):
            return HistoryLost()
        return self._changes_after(after_revision)

    def _change_revision_of(self, key: str) -> int:
        return self._change_revisions_by_key.get(key, 0)

    def _lacks_history(self, revision: int) -> bool:
        return revision < self._history_revision or self._revision is None

    def _changes_after(self, after: int) -> PrefixChanges | HistoryLost:
        if self._revision is None:
            return HistoryLost()
        now_s = self._timers.now_s()
        returned_ago_s = now_s - self._returned_at_s
        return PrefixChanges(
            tuple(
                self._items_by_key[key]
                for key, revision in self._change_revisions_by_key.items()
                if revision > after
            ),
            tuple(
                Removal(key, revision)
                for key, revision in self._removal_revisions_by_key.items()
                if 0 <= after < revision
            ),
            max(after, self._revision),
            now_s - self._read_at_s,
            returned_ago_s if math.isfinite(returned_ago_s) else None,
        )
