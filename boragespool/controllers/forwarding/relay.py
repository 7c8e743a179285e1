"""Reads the store through another daemon of the same data centre."""

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

#: Time for which a daemon that failed is passed over, in seconds.
_PASS_OVER_S: Final = 2
#: Other daemons that are asked in one read while the store does not answer.
_OTHER_COUNT: Final = 3


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """Which daemons are asked instead of the store.

    Attributes
    ----------
    reader : callable
        Control address of the daemon that reads the store for this one; None
        if this one reads it itself.
    others : callable
        Control addresses of other daemons, which are asked while the store
        does not answer.
    oldest_s, oldest_other_s : float
        Oldest read of the store that the reader and other daemons may answer
        from, in seconds.
    wait_s : float
        Longest wait for a change at another daemon, in seconds.
    """

    reader: Callable[[], Address | None]
    others: Callable[[], tuple[Address, ...]]
    oldest_s: Seconds
    oldest_other_s: Seconds
    wait_s: Seconds


class RelayedSource:
    """Reads the store, through other daemons where that saves calls.

    Parameters
    ----------
    store : ItemSource
        The store itself.
    options : RelayOptions
        Other daemons.
    """

    def __init__(self, store: ItemSource, options: RelayOptions) -> None:
        """Open nothing yet."""
        self._store = store
        self._options = options
        self._rounds = FeedClient(options.wait_s)
        self._passed_over_until_s_by_address: dict[Address, Seconds] = {}

    async def __aenter__(self) -> Self:
        """Return the client."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the idle connections."""
        await self._rounds.__aexit__(*exc_info)

    async def read_page(
        self,
        prefix: str,
        after: str = '',
        *,
        may_be_stale: bool = False,
    ) -> ItemPage | Failure:
        """Read from the reader, the store, or others, in this order."""
        if after:
            return await self._store.read_page(
                prefix,
                after,
                may_be_stale=may_be_stale,
            )
        reader = self._reader()
        if reader is not None:
            part = await self._ask(
                reader,
                prefix,
                None,
                self._options.oldest_s,
            )
            if part is not None:
                return _page(part)
        page = await self._store.read_page(
            prefix,
            may_be_stale=may_be_stale,
        )
        if not isinstance(page, Failure):
            return page
        part = await self._ask_others(prefix, None)
        return page if part is None else _page(part)

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: Seconds,
    ) -> ItemEvents | HistoryLost | Failure:
        """Wait for changes at the reader, the store, or others."""
        reader = self._reader()
        if reader is not None:
            part = await self._ask(
                reader,
                prefix,
                after_revision,
                self._options.oldest_s,
            )
            if part is not None:
                return _events(part)
        answer = await self._store.watch(prefix, after_revision, wait_s)
        if not isinstance(answer, Failure):
            return answer
        part = await self._ask_others(prefix, after_revision)
        return answer if part is None else _events(part)

    def _reader(self) -> Address | None:
        """Return the reader's address unless it failed just now."""
        reader = self._options.reader()
        if reader is None:
            return None
        until_s = self._passed_over_until_s_by_address.get(reader, 0)
        is_passed_over = asyncio.get_running_loop().time() < until_s
        return None if is_passed_over else reader

    async def _ask_others(
        self,
        prefix: str,
        after_revision: int | None,
    ) -> PrefixChanges | None:
        """Ask a few other daemons, of which some may be gone."""
        # Without any state an old one is better than none.
        oldest_s = self._options.oldest_other_s
        if after_revision is None:
            oldest_s = math.inf
        now_s = asyncio.get_running_loop().time()
        usable = (
            address
            for address in self._options.others()
            if self._passed_over_until_s_by_address.get(address, 0) <= now_s
        )
        for address in itertools.islice(usable, _OTHER_COUNT):
            part = await self._ask(address, prefix, after_revision, oldest_s)
            if part is not None:
                return part
        return None

    async def _ask(
        self,
        address: Address,
        prefix: str,
        after_revision: int | None,
        oldest_s: Seconds,
    ) -> PrefixChanges | None:
        """Ask another daemon; None if it cannot tell."""
        if after_revision is None:
            part = await self._rounds.read(address, prefix)
        else:
            part = await self._rounds.watch(address, prefix, after_revision)
        if isinstance(part, PrefixChanges) and part.age_s <= oldest_s:
            return part
        reason = part if isinstance(part, str) else f'{part.age_s:.1f} s old'
        now_s = asyncio.get_running_loop().time()
        self._passed_over_until_s_by_address[address] = now_s + _PASS_OVER_S
        log_event(
            Event.FEED_UNUSABLE,
            f'daemon at {address!r} cannot tell about {prefix!r}: {reason}',
            address=address,
            prefix=prefix,
            after=after_revision,
        )
        return None


def _events(part: PrefixChanges) -> ItemEvents:
    return ItemEvents(
        part.items + part.removals,
        part.revision,
        part.returned_ago_s,
        part.age_s,
    )


def _page(part: PrefixChanges) -> ItemPage:
    return ItemPage(
        part.items,
        part.revision,
        truncated=False,
        returned_ago_s=part.returned_ago_s,
        age_s=part.age_s,
    )
