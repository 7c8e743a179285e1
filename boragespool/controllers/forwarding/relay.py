"""Reads the store directly or through other daemons.

One daemon of each data centre, the reader, reads the store for all daemons
there. The others read its change feeds, and fall back to the store itself and
to any other daemon.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Self

from boragespool.controllers.forwarding.feed import PrefixChanges
from boragespool.controllers.forwarding.feed_http import FeedClient
from boragespool.events import Event, log_event
from boragespool.item_store import HistoryLost, ItemEvents, ItemPage
from boragespool.results import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.item_store import ItemSource
    from boragespool.types import Address, Seconds

#: Time for which a daemon is not asked again after a failure, in seconds.
_SKIP_TIME_S: Final = 2
#: Maximum number of other daemons that are asked in one read while the store
#: is unavailable.
_MAX_OTHER_COUNT: Final = 3


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """Daemons to read from instead of the store, and limits on their data.

    Attributes
    ----------
    get_reader : callable
        Return the control address of the daemon that reads the store for this
        one; None if this one reads it itself.
    get_others : callable
        Return the control addresses of other daemons, which are asked while
        the store is unavailable.
    max_age_s, max_other_age_s : float
        Maximum time since the store was read that is accepted from the reader
        and from other daemons, in seconds. A full read accepts data of any
        age from other daemons.
    wait_s : float
        Maximum time that another daemon waits for a change, in seconds.
    """

    get_reader: Callable[[], Address | None]
    get_others: Callable[[], tuple[Address, ...]]
    max_age_s: Seconds
    max_other_age_s: Seconds
    wait_s: Seconds


class RelayedSource:
    """Source of items that relays reads; an async context manager.

    Each read tries the reader of the data centre, then the store, then a few
    other daemons.

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
        self._feed_client = FeedClient(options.wait_s)
        self._skipped_until_s_by_address: dict[Address, Seconds] = {}

    async def __aenter__(self) -> Self:
        """Return the source; connections are opened on demand."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel the reads in progress and close idle connections."""
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
        reader = self._usable_reader()
        if reader is not None:
            changes = await self._read_from(
                reader,
                prefix,
                None,
                self._options.max_age_s,
            )
            if changes is not None:
                return _to_item_page(changes)
        page = await self._store.read_page(
            prefix,
            may_be_stale=may_be_stale,
        )
        if not isinstance(page, Failure):
            return page
        changes = await self._read_from_others(prefix, None)
        return page if changes is None else _to_item_page(changes)

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: Seconds,
    ) -> ItemEvents | HistoryLost | Failure:
        """Wait for changes at the reader, the store or other daemons.

        They are tried in this order. `wait_s` applies to the store only.
        """
        reader = self._usable_reader()
        if reader is not None:
            changes = await self._read_from(
                reader,
                prefix,
                after_revision,
                self._options.max_age_s,
            )
            if changes is not None:
                return _to_item_events(changes)
        result = await self._store.watch(prefix, after_revision, wait_s)
        if not isinstance(result, Failure):
            return result
        changes = await self._read_from_others(prefix, after_revision)
        return result if changes is None else _to_item_events(changes)

    def _usable_reader(self) -> Address | None:
        """Return the address of the reader unless it failed recently."""
        reader = self._options.get_reader()
        if reader is None:
            return None
        until_s = self._skipped_until_s_by_address.get(reader, 0)
        is_skipped = asyncio.get_running_loop().time() < until_s
        return None if is_skipped else reader

    async def _read_from_others(
        self,
        prefix: str,
        after_revision: int | None,
    ) -> PrefixChanges | None:
        """Return the changes from the first of a few daemons that has them.

        Several are tried, since some may have stopped.
        """
        # For a full read, old data is better than none.
        max_age_s = self._options.max_other_age_s
        if after_revision is None:
            max_age_s = math.inf
        now_s = asyncio.get_running_loop().time()
        usable_addresses = (
            address
            for address in self._options.get_others()
            if self._skipped_until_s_by_address.get(address, 0) <= now_s
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
    ) -> PrefixChanges | None:
        """Return the changes from another daemon.

        Returns
        -------
        PrefixChanges or None
            None if it failed or its data is older than `max_age_s`; it is
            then skipped for a while.
        """
        if after_revision is None:
            changes = await self._feed_client.read(address, prefix)
        else:
            changes = await self._feed_client.watch(
                address, prefix, after_revision
            )
        if isinstance(changes, PrefixChanges) and changes.age_s <= max_age_s:
            return changes
        reason = (
            changes
            if isinstance(changes, str)
            else f'{changes.age_s:.1f} s old'
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


def _to_item_events(changes: PrefixChanges) -> ItemEvents:
    return ItemEvents(
        changes.items + changes.removals,
        changes.revision,
        changes.returned_ago_s,
        changes.age_s,
    )


def _to_item_page(changes: PrefixChanges) -> ItemPage:
    return ItemPage(
        changes.items,
        changes.revision,
        truncated=False,
        returned_ago_s=changes.returned_ago_s,
        age_s=changes.age_s,
    )
