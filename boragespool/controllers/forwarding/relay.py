"""Reads the store directly or through other daemons.

One daemon of each data centre, the reader, reads the store for all daemons
there. The others read its change feeds. If it fails, the daemons that take
over read the store, and the others read their feeds; only if none of them has
current data does a daemon read the store itself.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Self

from boragespool.controllers.forwarding.feed import PrefixChanges
from boragespool.controllers.forwarding.feed_http import FeedClient
from boragespool.events import Event, log_event
from boragespool.item_store import HistoryLost, ItemEvents, ItemPage
from boragespool.results import Failure, ResultCode
from boragespool.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.forwarding import ReadPlan
    from boragespool.http import ResponseLimits
    from boragespool.item_store import ItemSource
    from boragespool.types import Address, Seconds

#: Time for which a daemon is not asked again after a failure, in seconds.
_SKIP_TIME_S: Final = 2
#: Maximum number of other daemons that are asked in one read while the store
#: is unavailable.
_MAX_OTHER_COUNT: Final = 3
#: Interval of the attempts to read the store by a daemon that is not to read
#: it, while it has no current data, in seconds. Each one is drawn from this
#: range, so that the daemons do not call together.
_MIN_STORE_DELAY_S: Final = 0.5
_MAX_STORE_DELAY_S: Final = 2.5
#: Interval of the checks whether the other daemons are known, in seconds.
_PENDING_INTERVAL_S: Final = 0.2
_NO_CURRENT_DATA: Final = Failure(
    ResultCode.STORE_UNAVAILABLE,
    'no daemon that reads the store has current data',
)


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """Daemons to read from instead of the store, and limits on their data.

    Attributes
    ----------
    get_plan : callable
        Return the present `ReadPlan` of this daemon.
    get_others : callable
        Return the control addresses of other daemons, which are asked while
        the store is unavailable.
    host_prefix : str
        Prefix of the keys from which the plan follows.
    max_age_s, max_other_age_s : float
        Maximum time since the store was read that is accepted from the
        sources of the plan and from other daemons, in seconds. A full read
        accepts data of any age from other daemons.
    wait_s : float
        Maximum time that another daemon waits for a change, in seconds, and
        a watch of the store by a daemon that is not the reader. Both prove
        the age of the data to those who read through this daemon.
    response_limits : ResponseLimits, optional
        Limits of the responses of other daemons.
    """

    get_plan: Callable[[], ReadPlan]
    get_others: Callable[[], tuple[Address, ...]]
    host_prefix: str
    max_age_s: Seconds
    max_other_age_s: Seconds
    wait_s: Seconds
    response_limits: ResponseLimits | None = None


class RelayedSource:
    """Source of items that relays reads; an async context manager.

    Each read tries the sources of the plan, then the store if the plan says
    so, then a few other daemons.

    Parameters
    ----------
    store : ItemSource
        Client of the store itself.
    options : RelayOptions
        Other daemons and limits on their data.
    """

    def __init__(self, store: ItemSource, options: RelayOptions) -> None:
        """Set up the source without open connections."""
        self._store = store
        self._options = options
        self._feed_client = FeedClient(options.wait_s, options.response_limits)
        self._skipped_until_s_by_address: dict[Address, Seconds] = {}
        self._store_due_at_s_by_prefix: dict[str, Seconds] = {}
        self._host_read: asyncio.Task[ItemPage | Failure] | None = None
        self._tasks = TaskSet()

    async def __aenter__(self) -> Self:
        """Return the source; connections are opened on demand."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel the reads in progress and close idle connections."""
        await self._tasks.close()
        await self._feed_client.__aexit__(*exc_info)

    async def read_page(
        self,
        prefix: str,
        after: str = '',
        *,
        may_be_stale: bool = False,
    ) -> ItemPage | Failure:
        """Read the keys with a prefix that follow a key.

        The first page comes from the reader, the store or other daemons, in
        this order; the feeds of daemons are not truncated, so that all later
        pages come from the store.
        """
        if after:
            return await self._store.read_page(
                prefix,
                after,
                may_be_stale=may_be_stale,
            )
        plan = self._options.get_plan()
        changes = await self._read_from_sources(plan, prefix, None)
        if isinstance(changes, PrefixChanges):
            return _to_item_page(changes)
        failure = _NO_CURRENT_DATA
        if plan.is_pending or self._may_read_store(plan, prefix):
            page = await self._store.read_page(
                prefix,
                may_be_stale=may_be_stale,
            )
            if not isinstance(page, Failure):
                return page
            failure = page
        changes = await self._read_from_others(prefix, None)
        if isinstance(changes, PrefixChanges):
            return _to_item_page(changes)
        return failure

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: Seconds,
    ) -> ItemEvents | HistoryLost | Failure:
        """Wait for changes at the sources, the store or other daemons.

        They are tried in this order. `wait_s` applies to the store only.
        """
        plan = self._options.get_plan()
        if plan.is_pending:
            return await self._wait_for_plan(prefix, after_revision)
        changes = await self._read_from_sources(plan, prefix, after_revision)
        if changes is not None:
            return _to_watch_result(changes)
        failure = _NO_CURRENT_DATA
        if self._may_read_store(plan, prefix):
            if plan.sources:
                wait_s = min(wait_s, self._options.wait_s)
            result = await self._store.watch(prefix, after_revision, wait_s)
            if not isinstance(result, Failure):
                return result
            failure = result
        changes = await self._read_from_others(prefix, after_revision)
        return failure if changes is None else _to_watch_result(changes)

    async def _wait_for_plan(
        self, prefix: str, after_revision: int
    ) -> ItemEvents | Failure:
        """Look for other daemons with one cheap call for all prefixes.

        The result claims no progress beyond `after_revision`, so that a later
        watch returns what a stale page lacks.
        """
        if self._host_read is None or self._host_read.done():
            self._host_read = self._tasks.spawn(self._read_hosts_later())
        page = await asyncio.shield(self._host_read)
        if isinstance(page, Failure):
            return page
        # Older items are known already, or have been removed since.
        new_items = tuple(
            item for item in page.items if item.revision > after_revision
        )
        is_host_prefix = prefix == self._options.host_prefix
        return ItemEvents(
            new_items if is_host_prefix else (),
            after_revision,
            age_s=math.inf,
        )

    async def _read_hosts_later(self) -> ItemPage | Failure:
        await asyncio.sleep(_PENDING_INTERVAL_S)
        return await self._store.read_page(
            self._options.host_prefix, may_be_stale=True
        )

    def _may_read_store(self, plan: ReadPlan, prefix: str) -> bool:
        """Return whether to read the store now, after all sources failed.

        The first attempt is made at once, since the sources may have been
        without the store for as long as their data is accepted.
        """
        now_s = asyncio.get_running_loop().time()
        due_at_s = self._store_due_at_s_by_prefix.get(prefix, -math.inf)
        if plan.reads_store or now_s >= due_at_s:
            self._store_due_at_s_by_prefix[prefix] = now_s + random.uniform(
                _MIN_STORE_DELAY_S, _MAX_STORE_DELAY_S
            )
            return True
        return False

    async def _read_from_sources(
        self,
        plan: ReadPlan,
        prefix: str,
        after_revision: int | None,
    ) -> PrefixChanges | HistoryLost | None:
        """Return the changes from the first source with current data.

        Only the first one is waited for: a wait for each of several silent
        sources would take longer than changes may take.
        """
        usable_addresses = (
            address for address in plan.sources if not self._is_skipped(address)
        )
        for number, address in enumerate(usable_addresses):
            changes = await self._read_from(
                address,
                prefix,
                after_revision,
                self._options.max_age_s,
                may_wait=number == 0,
            )
            if changes is not None:
                return changes
        return None

    def _is_skipped(self, address: Address) -> bool:
        """Return whether a daemon failed recently."""
        until_s = self._skipped_until_s_by_address.get(address, 0)
        return asyncio.get_running_loop().time() < until_s

    async def _read_from_others(
        self,
        prefix: str,
        after_revision: int | None,
    ) -> PrefixChanges | HistoryLost | None:
        """Return the changes from the first of a few daemons that has them.

        Several are tried, since some may have stopped.
        """
        # For a full read, old data is better than none.
        max_age_s = self._options.max_other_age_s
        if after_revision is None:
            max_age_s = math.inf
        usable_addresses = (
            address
            for address in self._options.get_others()
            if not self._is_skipped(address)
        )
        for address in itertools.islice(usable_addresses, _MAX_OTHER_COUNT):
            changes = await self._read_from(
                address, prefix, after_revision, max_age_s
            )
            if changes is not None:
                return changes
        return None

    async def _read_from(
        self,
        address: Address,
        prefix: str,
        after_revision: int | None,
        max_age_s: Seconds,
        *,
        may_wait: bool = True,
    ) -> PrefixChanges | HistoryLost | None:
        """Return the changes from another daemon, which may wait for one.

        Returns
        -------
        PrefixChanges, HistoryLost or None
            `HistoryLost` if it lacks changes after the revision. None if it
            failed or its data is older than `max_age_s`; it is then skipped
            for a while.
        """
        if after_revision is None:
            changes = await self._feed_client.read(address, prefix)
        elif may_wait:
            changes = await self._feed_client.watch(
                address, prefix, after_revision
            )
        else:
            changes = await self._feed_client.check(
                address, prefix, after_revision
            )
        if isinstance(changes, PrefixChanges) and changes.age_s <= max_age_s:
            return changes
        if isinstance(changes, HistoryLost) and after_revision is not None:
            return changes
        reason = (
            f'{changes.age_s:.1f} s old'
            if isinstance(changes, PrefixChanges)
            else str(changes)
        )
        now_s = asyncio.get_running_loop().time()
        self._skipped_until_s_by_address[address] = now_s + _SKIP_TIME_S
        log_event(
            Event.FEED_UNUSABLE,
            f'daemon at {address!r} has no usable feed of {prefix!r}: {reason}',
            address=address,
            prefix=prefix,
            after=after_revision,
        )
        return None


def _to_watch_result(
    changes: PrefixChanges | HistoryLost,
) -> ItemEvents | HistoryLost:
    if isinstance(changes, HistoryLost):
        return changes
    return ItemEvents(
        changes.items + changes.removals,
        changes.revision,
        changes.returned_ago_s,
        changes.age_s,
        is_coalesced=True,
    )


def _to_item_page(changes: PrefixChanges) -> ItemPage:
    return ItemPage(
        changes.items,
        changes.revision,
        truncated=False,
        returned_ago_s=changes.returned_ago_s,
        age_s=changes.age_s,
    )
