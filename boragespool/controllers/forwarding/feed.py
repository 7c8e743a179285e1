"""Changes that this daemon read from the store, for other daemons.

One daemon of a data centre reads the store for all of them, so that the calls
and bytes of the store grow with the data centres and not with the daemons.
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

#: Removed keys that are remembered for daemons that ask for changes.
_REMOVAL_COUNT: Final = 2_000


@dataclass(frozen=True, slots=True)
class PrefixChanges:
    """Changes of one prefix up to a revision of the store.

    Attributes
    ----------
    age_s : float
        Time since the store was read, in seconds.
    returned_ago_s : float or None
        Time since the store last returned from an outage, in seconds; None if
        there was none.
    """

    items: tuple[Item, ...]
    removals: tuple[Removal, ...]
    revision: int
    age_s: Seconds
    returned_ago_s: Seconds | None


class ChangeFeed:
    """Items of one prefix with the revisions at which they changed.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        """Start without items; nothing can be read yet."""
        self._timers = timers
        self._items_by_key: dict[str, Item] = {}
        self._published_at_by_key: dict[str, int] = {}
        self._removed_at_by_key: dict[str, int] = {}
        self._floor = 0
        self._changed_at = 0
        self._revision: int | None = None
        self._read_at_s: Seconds = -math.inf
        self._returned_at_s: Seconds = -math.inf
        self._changed = asyncio.Event()

    def publish(
        self,
        changes_by_key: Mapping[str, Item | None],
        state: MirrorState,
    ) -> None:
        """Take over what was read; None stands for a removed key."""
        revision = state.revision
        self._read_at_s = max(self._read_at_s, state.read_at_s)
        self._returned_at_s = state.returned_at_s
        self._revision = revision
        for key, item in changes_by_key.items():
            if item is None:
                self._items_by_key.pop(key, None)
                self._published_at_by_key.pop(key, None)
                self._removed_at_by_key[key] = revision
            else:
                self._items_by_key[key] = item
                self._published_at_by_key[key] = revision
                self._removed_at_by_key.pop(key, None)
        while len(self._removed_at_by_key) > _REMOVAL_COUNT:
            oldest = next(iter(self._removed_at_by_key))
            self._floor = self._removed_at_by_key.pop(oldest)
        if changes_by_key:
            self._changed_at = max(self._changed_at, revision)
            self._changed.set()
            self._changed = asyncio.Event()

    def mark_read(self) -> None:
        """Note that the store was reached, while a watch waits there."""
        self._read_at_s = self._timers.now_s()

    async def wait(self, after_revision: int | None) -> None:
        """Wait until `read` has something to tell."""
        if after_revision is None or self._is_lost(after_revision):
            return
        if after_revision >= self._changed_at:
            await self._changed.wait()

    def read(self, after_revision: int | None) -> PrefixChanges | HistoryLost:
        """Return the changes after a revision, or all items without one."""
        if after_revision is None:
            return self._part(-1)
        if self._is_lost(after_revision):
            return HistoryLost()
        return self._part(after_revision)

    def _is_lost(self, revision: int) -> bool:
        return revision < self._floor or self._revision is None

    def _part(self, after: int) -> PrefixChanges | HistoryLost:
        if self._revision is None:
            return HistoryLost()
        now_s = self._timers.now_s()
        returned_ago_s = now_s - self._returned_at_s
        return PrefixChanges(
            tuple(
                self._items_by_key[key]
                for key, revision in self._published_at_by_key.items()
                if revision > after
            ),
            tuple(
                Removal(key, revision)
                for key, revision in self._removed_at_by_key.items()
                if 0 <= after < revision
            ),
            max(after, self._revision),
            now_s - self._read_at_s,
            returned_ago_s if math.isfinite(returned_ago_s) else None,
        )
