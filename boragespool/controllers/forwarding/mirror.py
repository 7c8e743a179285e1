"""In-memory copy of the keys with one prefix of the store.

The copy is filled by reading all keys and kept up to date by watches.
"""

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
    from collections.abc import Callable, Iterable, Mapping

    from boragespool.item_store import ItemEvents, ItemSource
    from boragespool.timers import TimerService
    from boragespool.types import Seconds

#: Delays between reads while the store fails, in seconds; they double from the
#: first to the second value, which is well below the time in which a change
#: must be in force.
_MIN_RETRY_DELAY_S: Final = 0.1
_MAX_RETRY_DELAY_S: Final = 0.5
#: Minimum duration of a failure that counts as an outage, in seconds; no lease
#: expires during a shorter one.
_MIN_OUTAGE_S: Final = 1


@dataclass(frozen=True, slots=True)
class MirrorOptions:
    """Prefix of a mirror and the timing of its watches.

    Attributes
    ----------
    prefix : str
        Prefix of the keys to copy.
    min_interval_s : float
        Minimum interval between the starts of two reads, in seconds; it
        batches the changes of frequently changing keys, which would otherwise
        cost one call each.
    wait_s : float
        Maximum time that a watch waits for a change, in seconds. A dead
        connection is detected after this time.
    """

    prefix: str
    min_interval_s: Seconds
    wait_s: Seconds


@dataclass(frozen=True, slots=True)
class MirrorState:
    """State of a mirror after a successful read.

    Attributes
    ----------
    items_by_key : mapping of str to Item
        All items of the mirror; shared with the mirror, which updates it.
    changed_keys : frozenset of str
        Keys that were added, changed or removed since the previous state.
    revision : int
        Revision of the store up to which the state is complete.
    returned_at_s : float
        Time at which the store was last reachable again after an outage, in
        seconds; ``-inf`` if there was none.
    read_at_s : float
        Time at which the store was read, in seconds.
    history_revision : int
        Revision after which all removals were followed: that of the last read
        of all keys, which does not list the keys removed before it.
    rewritten_keys : frozenset of str
        Changed keys that may have been removed, or had another value, between
        the previous state and this one.
    """

    items_by_key: Mapping[str, Item]
    changed_keys: frozenset[str]
    revision: int
    returned_at_s: Seconds
    read_at_s: Seconds
    history_revision: int = 0
    rewritten_keys: frozenset[str] = frozenset()

    @property
    def changes_by_key(self) -> dict[str, Item | None]:
        """Items by changed key; the item of a removed key is None."""
        return {key: self.items_by_key.get(key) for key in self.changed_keys}


class PrefixMirror:
    """Mirror of one prefix of the store; an async context manager.

    Parameters
    ----------
    store : ItemSource
        Store, or another source of its items.
    timers : TimerService
        Clock.
    options : MirrorOptions
        Prefix and timing.
    on_state : callable
        Called with the new state after each successful read, also if no key
        changed.
    """

    def __init__(
        self,
        store: ItemSource,
        timers: TimerService,
        options: MirrorOptions,
        on_state: Callable[[MirrorState], None],
    ) -> None:
        """Set up an empty mirror; `__aenter__` starts reading."""
        self._store = store
        self._timers = timers
        self._options = options
        self._on_state = on_state
        self._items_by_key: dict[str, Item] = {}
        self._revision: int | None = None
        self._history_revision = 0
        # Highest revision that was ever complete; no state may be older.
        self._held_revision = 0
        # Whether the store has dropped changes. It may also have dropped those
        # after a stale read, so reads must not be stale from then on.
        self._has_lost_history = False
        self._failing_since_s: Seconds | None = None
        self._returned_at_s: Seconds = -math.inf
        self._tasks = TaskSet()
        self._follow_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start the task that follows the prefix."""
        self._follow_task = self._tasks.spawn(self._follow())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the task that follows the prefix."""
        await self._tasks.close()

    def restart(self) -> None:
        """Cancel the watch in progress and send a new one.

        A watch that was sent while the store was unresponsive may never get a
        reply, so waiting for its timeout would delay changes.
        """
        follow_task = self._follow_task
        if follow_task is not None:
            follow_task.cancel()
            self._follow_task = self._tasks.spawn(self._follow())

    @property
    def is_failing(self) -> bool:
        """Whether the last read failed."""
        return self._failing_since_s is not None

    async def _follow(self) -> None:
        retry_delay_s = _MIN_RETRY_DELAY_S
        while True:
            started_at_s = self._timers.now_s()
            failure = await self._read_safely()
            if failure is None:
                retry_delay_s = _MIN_RETRY_DELAY_S
                took_s = self._timers.now_s() - started_at_s
                await asyncio.sleep(
                    max(0, self._options.min_interval_s - took_s)
                )
            else:
                self._record_failure(failure)
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(_MAX_RETRY_DELAY_S, 2 * retry_delay_s)

    async def _read_safely(self) -> Failure | None:
        """Read changes; return an exception as a failure to keep reading."""
        prefix = self._options.prefix
        try:
            return await self._read_changes()
        except Exception as error:
            log_event(
                Event.TASK_FAILED,
                f'reading {prefix!r} raised {error!r}',
                level=logging.ERROR,
                prefix=prefix,
                revision=self._revision,
            )
            return Failure(ResultCode.INTERNAL_ERROR, repr(error))

    async def _read_changes(self) -> Failure | None:
        """Read all keys the first time, later the changes since then."""
        if self._revision is None:
            # A stale first read is fine: the watch that follows it returns
            # the changes that it misses.
            return await self._read_all(may_be_stale=not self._has_lost_history)
        result = await self._store.watch(
            self._options.prefix,
            self._revision,
            self._options.wait_s,
        )
        if isinstance(result, Failure):
            return result
        if isinstance(result, HistoryLost):
            prefix = self._options.prefix
            log_event(
                Event.STORE_HISTORY_LOST,
                'the source lacks changes; reading all keys again for prefix '
                f'{prefix!r}',
                prefix=prefix,
                revision=self._revision,
            )
            self._revision = None
            self._has_lost_history = True
            return await self._read_all(may_be_stale=False)
        self._apply_events(result)
        return None

    def _apply_events(self, result: ItemEvents) -> None:
        self._record_recovery(result.returned_ago_s)
        changed_keys: set[str] = set()
        rewritten_keys: set[str] = set()
        for event in result.events:
            if event.revision <= _revision_of(
                self._items_by_key.get(event.key), 0
            ):
                continue
            if result.is_coalesced or event.key in changed_keys:
                rewritten_keys.add(event.key)
            changed_keys.add(event.key)
            if isinstance(event, Item):
                self._items_by_key[event.key] = event
            else:
                self._items_by_key.pop(event.key, None)
        self._publish(
            changed_keys, result.revision, result.age_s, rewritten_keys
        )

    async def _read_all(self, *, may_be_stale: bool) -> Failure | None:
        listed_items_by_key: dict[str, Item] = {}
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
            # Pages are read one after the other and are no snapshot, and a
            # stale one may be older than the first; the watch from the oldest
            # revision returns what changed.
            revision = min(page.revision, revision or page.revision)
            age_s = max(age_s, page.age_s)
            self._record_recovery(page.returned_ago_s)
            listed_items_by_key.update((item.key, item) for item in page.items)
            if not (page.truncated and page.items):
                break
            after = page.items[-1].key
        if revision < self._held_revision:
            return Failure(
                ResultCode.STORE_UNAVAILABLE,
                f'the source is at revision {revision!r}, before '
                f'{self._held_revision!r}',
            )
        previous = self._items_by_key
        self._items_by_key = listed_items_by_key | {
            key: item
            for key, item in previous.items()
            if item.revision
            > _revision_of(listed_items_by_key.get(key), revision)
        }
        changed_keys = {
            key
            for key in self._items_by_key.keys() | previous.keys()
            if self._items_by_key.get(key) != previous.get(key)
        }
        self._history_revision = revision
        self._publish(changed_keys, revision, age_s, changed_keys)
        return None

    def _publish(
        self,
        changed_keys: set[str],
        revision: int,
        age_s: Seconds,
        rewritten_keys: Iterable[str] = (),
    ) -> None:
        now_s = self._timers.now_s()
        if self._failing_since_s is not None:
            prefix = self._options.prefix
            outage_s = now_s - self._failing_since_s
            if outage_s >= _MIN_OUTAGE_S:
                self._returned_at_s = now_s
            log_event(
                Event.STORE_AVAILABLE,
                f'{prefix!r} can be read from the store again',
                prefix=prefix,
                outage_s=round(outage_s, 3),
            )
            self._failing_since_s = None
        self._revision = revision
        self._held_revision = revision
        state = MirrorState(
            self._items_by_key,
            frozenset(changed_keys),
            revision,
            self._returned_at_s,
            now_s - age_s,
            self._history_revision,
            frozenset(rewritten_keys),
        )
        self._on_state(state)

    def _record_recovery(self, returned_ago_s: Seconds | None) -> None:
        """Record an outage reported by the daemon that read the store."""
        if returned_ago_s is not None:
            returned_at_s = self._timers.now_s() - returned_ago_s
            self._returned_at_s = max(self._returned_at_s, returned_at_s)

    def _record_failure(self, failure: Failure) -> None:
        if self._failing_since_s is not None:
            return
        self._failing_since_s = self._timers.now_s()
        prefix = self._options.prefix
        log_event(
            Event.STORE_UNAVAILABLE,
            f'{prefix!r} cannot be read from the store: {failure.reason}',
            level=logging.WARNING,
            prefix=prefix,
            revision=self._revision,
        )


def _revision_of(item: Item | None, default: int) -> int:
    return default if item is None else item.revision
