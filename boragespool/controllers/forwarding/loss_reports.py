"""Exchange of lost servers between the daemons, through the store.

Each daemon writes the losses that it saw, and that may have been caused by a
request, under a key of its own. Daemons that start read them too.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, Self

import msgspec

from boragespool.blackboard.forwarding_topics import (
    OWN_LOSSES,
    REPORTED_LOSSES,
)
from boragespool.events import Event, log_event
from boragespool.forwarding import MAX_PART_COUNT, LossNotice, LossReport
from boragespool.item_decoding import decode_json, is_name, shorten
from boragespool.results import Failure
from boragespool.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.mirror import MirrorState
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.item_store import Item, ItemStore
    from boragespool.types import HostName

_KEY_SUFFIX: Final = '/losses'
#: Time for which a report stays in the store, in seconds.
_LEASE_TTL_S: Final = 600
#: Delay between attempts while the store fails, in seconds.
_RETRY_DELAY_S: Final = 0.5
_HASHES: Final = range(2**64)


def is_report_key(key: str) -> bool:
    """Whether a key under the prefix of the daemons holds a report."""
    return key.endswith(_KEY_SUFFIX)


class LossReports:
    """Publishes own losses and follows those of the other daemons.

    An async context manager. Reports are read from the mirror of the daemons'
    records, see `apply_state`.

    Parameters
    ----------
    board : Blackboard
        Source of the own losses; receives those of the other daemons.
    store : ItemStore
        Store that holds the reports under leases.
    options : ForwardingOptions
        Name of this daemon and prefix of its keys.
    """

    def __init__(
        self,
        board: Blackboard,
        store: ItemStore,
        options: ForwardingOptions,
    ) -> None:
        """Set up an exchange without reports."""
        self._board = board
        self._store = store
        self._prefix = options.host_prefix
        self._own_key = f'{options.host_prefix}{options.host}{_KEY_SUFFIX}'
        self._reports_by_host: dict[HostName, LossReport] = {}
        self._has_state = asyncio.Event()
        self._changed = asyncio.Event()
        self._unsubscribe: Callable[[], None] | None = None
        self._tasks = TaskSet()

    async def __aenter__(self) -> Self:
        """Start to publish the own losses."""
        self._unsubscribe = self._board.subscribe(
            OWN_LOSSES, lambda _: self._changed.set()
        )
        self._tasks.spawn(self._keep_published())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop publishing; the report stays until its lease ends."""
        if self._unsubscribe is not None:
            self._unsubscribe()
        await self._tasks.close()

    def apply_state(self, state: MirrorState) -> None:
        """Apply the reports of a state of the mirror of the daemons."""
        report_keys = [key for key in state.changed_keys if is_report_key(key)]
        for key in report_keys:
            self._apply_report(key, state.items_by_key.get(key))
        if report_keys:
            self._board.post(
                REPORTED_LOSSES, tuple(self._reports_by_host.values())
            )
        self._has_state.set()

    def _apply_report(self, key: str, item: Item | None) -> None:
        host = key.removeprefix(self._prefix).removesuffix(_KEY_SUFFIX)
        self._reports_by_host.pop(host, None)
        if item is None:
            return
        notices = _decode_report(item)
        if isinstance(notices, str):
            log_event(
                Event.REGISTRATION_REJECTED,
                f'{key!r} does not hold a valid report of losses: {notices}',
                key=key,
                revision=item.revision,
            )
            return
        self._reports_by_host[host] = LossReport(host, notices)

    async def _keep_published(self) -> None:
        # The report of the process that ran before on this host is read first,
        # as the own report replaces it.
        await self._has_state.wait()
        published: tuple[LossNotice, ...] = ()
        while True:
            await self._changed.wait()
            self._changed.clear()
            notices = self._board.read(OWN_LOSSES)
            if notices == published:
                continue
            if await self._publish(notices):
                published = notices
            else:
                self._changed.set()
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _publish(self, notices: tuple[LossNotice, ...]) -> bool:
        lease = await self._store.grant(_LEASE_TTL_S)
        if isinstance(lease, Failure):
            return False
        written = await self._store.put(
            self._own_key, msgspec.json.encode(notices), lease.lease
        )
        if not isinstance(written, int):
            return False
        log_event(
            Event.LOSSES_REPORTED,
            f'{len(notices)} losses of servers were reported',
            key=self._own_key,
            revision=written,
        )
        return True


def _decode_report(item: Item) -> tuple[LossNotice, ...] | str:
    """Return the losses, or the reason why they cannot be read."""
    notices = decode_json(item.value, tuple[LossNotice, ...])
    if isinstance(notices, str):
        return notices
    for notice in notices:
        if not _is_valid(notice):
            return shorten(f'{notice!r} is not a loss')
    return notices


def _is_valid(notice: LossNotice) -> bool:
    hashes = (notice.fingerprint, notice.base, *notice.parts)
    return (
        is_name(notice.loss_id)
        and len(notice.parts) <= MAX_PART_COUNT
        and all(number in _HASHES for number in hashes)
    )
