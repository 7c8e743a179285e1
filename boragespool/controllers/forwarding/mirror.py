"""Copy of the keys with one prefix of the store, kept up to date."""

from __future__ import annotations

import asyncio
import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Self

from boragespool.events import Event, log_event
from boragespool.item_store import HistoryLost, Item
from boragespool.results import Failure, ResultCode
from boragespool.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from boragespool.item_store import ItemSource
    from boragespool.timers import TimerService
    from boragespool.types import Seconds

#: Delays between attempts while the store fails, in seconds; the longest one
#: is well below the time in which a change must be in force.
_FIRST_RETRY_S: Final = 0.1
_LONGEST_RETRY_S: Final = 0.5
#: A failure that lasts shorter is no outage: leases do not lapse in it.
_OUTAGE_S: Final = 1


@dataclass(frozen=True, slots=True)
class MirrorOptions:
    """What is copied, and how often the store is asked.

    Attributes
    ----------
    prefix : str
        Begin of the keys.
    pace_s : float
        Shortest time between two watches, in seconds. Keys that change all
        the time would otherwise cost one call for each change.
    wait_s : float
        Longest wait of a watch for a change, in seconds. A connection that
        went silent is noticed after this time.
    """

    prefix: str
    pace_s: Seconds
    wait_s: Seconds


@dataclass(frozen=True, slots=True)
class MirrorState:
    """The keys at one point in time.

    Attributes
    ----------
    changed_keys : frozenset of str
        Keys that differ from the state before.
    revision : int
        Revision of the store.
    returned_at_s : float
        Time at which the store last returned from an outage; ``-inf`` if
        there was none.
    read_at_s : float
        Time at which the store was read.
    """

    items_by_key: Mapping[str, Item]
    changed_keys: frozenset[str]
    revision: int
    returned_at_s: Seconds
    read_at_s: Seconds

    @property
    def changes_by_key(self) -> dict[str, Item | None]:
        """Items of the keys that differ; None stands for a removed key."""
        return {key: self.items_by_key.get(key) for key in self.changed_keys}


class PrefixMirror:
    """Follows one prefix, an async context manager.

    Parameters
    ----------
    store : ItemSource
        Source.
    timers : TimerService
        Clock.
    options : MirrorOptions
        Prefix and pace.
    on_state : callable
        Called after each successful call to the store.
    """

    def __init__(
        self,
        store: ItemSource,
        timers: TimerService,
        options: MirrorOptions,
        on_state: Callable[[MirrorState], None],
    ) -> None:
        """Start without keys; `__aenter__` begins to read."""
        self._store = store
        self._timers = timers
        self._options = options
        self._on_state = on_state
        self._items_by_key: dict[str, Item] = {}
        self._revision: int | None = None
        # Whether the history since a stale read may be lost.
        self._is_behind = False
        self._failing_since_s: Seconds | None = None
        self._returned_at_s: Seconds = -math.inf
        self._tasks = TaskSet()
        self._following: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Begin to follow."""
        self._following = self._tasks.spawn(self._follow())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop following."""
        await self._tasks.close()

    def restart(self) -> None:
        """Ask the store anew instead of waiting for a watch to fail.

        A watch that was sent while the store was silent is never answered.
        """
        following = self._following
        if following is not None:
            following.cancel()
            self._following = self._tasks.spawn(self._follow())

    @property
    def is_failing(self) -> bool:
        """Whether the last read failed."""
        return self._failing_since_s is not None

    async def _follow(self) -> None:
        retry_s = _FIRST_RETRY_S
        while True:
            began_s = self._timers.now_s()
            failure = await self._try_to_advance()
            if failure is None:
                retry_s = _FIRST_RETRY_S
                spent_s = self._timers.now_s() - began_s
                await asyncio.sleep(max(0, self._options.pace_s - spent_s))
            else:
                self._note_failure(failure)
                await asyncio.sleep(retry_s)
                retry_s = min(_LONGEST_RETRY_S, 2 * retry_s)

    async def _try_to_advance(self) -> Failure | None:
        """Advance; the loop has to outlive a fault in a read."""
        prefix = self._options.prefix
        try:
            return await self._advance()
        except Exception as error:
            log_event(
                Event.TASK_FAILED,
                f'reading {prefix!r} raised {error!r}',
                level=logging.ERROR,
                prefix=prefix,
                revision=self._revision,
            )
            return Failure(ResultCode.INTERNAL_ERROR, repr(error))

    async def _advance(self) -> Failure | None:
        """Read all keys, or the changes since the last call."""
        if self._revision is None:
            # The watch that follows brings what a stale read lacks.
            return await self._read_all(may_be_stale=not self._is_behind)
        answer = await self._store.watch(
            self._options.prefix,
            self._revision,
            self._options.wait_s,
        )
        if isinstance(answer, Failure):
            return answer
        if isinstance(answer, HistoryLost):
            prefix = self._options.prefix
            log_event(
                Event.STORE_HISTORY_LOST,
                f'the store dropped changes of {prefix!r}',
                prefix=prefix,
                revision=self._revision,
            )
            self._revision = None
            self._is_behind = True
            return await self._read_all(may_be_stale=False)
        self._note_return(answer.returned_ago_s)
        changed: set[str] = set()
        for event in answer.events:
            known = self._items_by_key.get(event.key)
            if known is not None and known.revision >= event.revision:
                continue
            changed.add(event.key)
            if isinstance(event, Item):
                self._items_by_key[event.key] = event
            else:
                self._items_by_key.pop(event.key, None)
        self._publish(changed, answer.revision, answer.age_s)
        return None

    async def _read_all(self, *, may_be_stale: bool) -> Failure | None:
        found: dict[str, Item] = {}
        revision: int | None = None
        age_s: Seconds = 0
        after = ''
        while True:
            page = await self._store.read_page(
                self._options.prefix,
                after,
                may_be_stale=may_be_stale,
            )
            if isinstance(page, Failure):
                return page
            # Pages are no snapshot: changes since the first one follow.
            revision = page.revision if revision is None else revision
            age_s = max(age_s, page.age_s)
            self._note_return(page.returned_ago_s)
            found.update((item.key, item) for item in page.items)
            if not (page.truncated and page.items):
                break
            after = page.items[-1].key
        known = self._items_by_key
        changed = {
            key
            for key in found.keys() | known.keys()
            if (found.get(key) != known.get(key))
        }
        self._items_by_key = found
        self._publish(changed, revision, age_s)
        return None

    def _publish(
        self,
        changed: set[str],
        revision: int,
        age_s: Seconds,
    ) -> None:
        now_s = self._timers.now_s()
        if self._failing_since_s is not None:
            prefix = self._options.prefix
            lasted_s = now_s - self._failing_since_s
            if lasted_s >= _OUTAGE_S:
                self._returned_at_s = now_s
            log_event(
                Event.STORE_AVAILABLE,
                f'{prefix!r} can be read again',
                prefix=prefix,
                outage_s=round(lasted_s, 3),
            )
            self._failing_since_s = None
        self._revision = revision
        state = MirrorState(
            self._items_by_key,
            frozenset(changed),
            revision,
            self._returned_at_s,
            now_s - age_s,
        )
        self._on_state(state)

    def _note_return(self, returned_ago_s: Seconds | None) -> None:
        """Learn of an outage from a daemon that read the store."""
        if returned_ago_s is not None:
            returned_at_s = self._timers.now_s() - returned_ago_s
            self._returned_at_s = max(self._returned_at_s, returned_at_s)

    def _note_failure(self, failure: Failure) -> None:
        if self._failing_since_s is not None:
            return
        self._failing_since_s = self._timers.now_s()
        prefix = self._options.prefix
        log_event(
            Event.STORE_UNAVAILABLE,
            f'{prefix!r} cannot be read: {failure.reason}',
            level=logging.WARNING,
            prefix=prefix,
            revision=self._revision,
        )
