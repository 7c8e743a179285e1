"""Daemons of the system: own entry in the store, and whom callers may ask."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final, Self

import msgspec

from boragespool.blackboard.forwarding_topics import SERVING_HOSTS
from boragespool.controllers.forwarding.feed import ChangeFeed
from boragespool.events import Event, log_event
from boragespool.forwarding import (
    HostRecord,
    HostTable,
    control_addresses,
    elect_store_reader,
    nearest_hosts,
)
from boragespool.item_store import LeaseEnded
from boragespool.results import Failure
from boragespool.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.mirror import MirrorState
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.item_store import GrantedLease, Item, ItemStore
    from boragespool.timers import TimerService
    from boragespool.types import Address, DataCentre, Region, Seconds

#: A lease is renewed three times before it could end.
_RENEWALS_PER_TTL: Final = 3
#: Time between attempts while the store fails, in seconds; several fit into
#: the lease.
_RETRY_S: Final = 0.3
#: Addresses that one answer holds at most; callers keep no more.
_ADDRESS_COUNT: Final = 64


class HostRegistry:
    """Publishes this daemon and follows the others, a context manager.

    Parameters
    ----------
    board : Blackboard
        Gets the daemons that serve.
    store : ItemStore
        Where records are kept under leases.
    timers : TimerService
        Clock.
    options : ForwardingOptions
        Identity and times.
    on_contact : callable
        Called when the store has renewed the lease, with whether it failed
        to do so before.

    Attributes
    ----------
    feed : ChangeFeed
        Records for other daemons.
    """

    def __init__(
        self,
        board: Blackboard,
        store: ItemStore,
        timers: TimerService,
        options: ForwardingOptions,
        on_contact: Callable[[bool], None],
    ) -> None:
        """Know only this daemon."""
        self._store = store
        self._timers = timers
        self._options = options
        self._board = board
        self._on_contact = on_contact
        self._own = HostRecord(
            options.host,
            options.data_centre,
            options.region,
            options.caller_address,
            options.control_address,
        )
        self.feed = ChangeFeed(timers)
        self._table = HostTable()
        self._lease: GrantedLease | None = None
        self._is_serving = False
        self._is_away = False
        self._wake = asyncio.Event()
        self._tasks = TaskSet()

    async def __aenter__(self) -> Self:
        """Begin to publish."""
        self._tasks.spawn(self._publish())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop; `leave` or the end of the lease removes the record."""
        await self._tasks.close()

    def serve(self) -> None:
        """Publish this daemon from now on."""
        if not self._is_serving:
            self._is_serving = True
            self._wake.set()
            self._post()

    async def leave(self) -> None:
        """Remove this daemon from the addresses."""
        self._is_serving = False
        lease = self._lease
        self._lease = None
        if lease is not None:
            await self._store.end(lease.lease)

    @property
    def is_reader(self) -> bool:
        """Whether other daemons read the store through this one."""
        return self._reader() == self._own

    def reader(self) -> Address | None:
        """Return the control address of the daemon that reads for this one.

        Returns
        -------
        str or None
            None if this daemon reads the store itself.
        """
        reader = self._reader()
        if reader is None or reader == self._own:
            return None
        return reader.control_address

    def others(self) -> tuple[Address, ...]:
        """Return the control addresses of other daemons, nearest first."""
        return control_addresses(
            self._table.records,
            self._own,
            self._options.seeds,
        )

    def addresses(
        self,
        data_centre: DataCentre,
        region: Region,
    ) -> tuple[Address, ...]:
        """Return the nearest daemons that serve, for a caller in a place."""
        nearest = nearest_hosts(self._serving(), data_centre, region)
        return tuple(
            record.caller_address for record in nearest[:_ADDRESS_COUNT]
        )

    def take_state(self, state: MirrorState) -> None:
        """Take over the records; some lapse while the store is away."""
        changes_by_key = state.changes_by_key
        self.feed.publish(changes_by_key, state)
        for key, item in changes_by_key.items():
            self._read(key, item)
        now_s = self._timers.now_s()
        grace_end_s = state.returned_at_s + self._options.return_grace_s
        if now_s >= grace_end_s:
            self._table.drop_removed()
        else:
            self._timers.after(grace_end_s - now_s, self._drop_lapsed)
        if state.changed_keys:
            hosts = sorted(record.host for record in self._serving())
            log_event(
                Event.HOST_LIST_CHANGED,
                f'{len(hosts)} daemons serve',
                hosts=hosts,
                revision=state.revision,
            )
        self._post()

    def _reader(self) -> HostRecord | None:
        if self._lease is None:
            return None
        return elect_store_reader(self._serving(), self._own)

    def _serving(self) -> tuple[HostRecord, ...]:
        """Return the daemons that serve, this one only while it does."""
        others = tuple(
            record
            for record in self._table.records
            if record.host != self._own.host
        )
        return (*others, self._own) if self._is_serving else others

    def _post(self) -> None:
        self._board.post(SERVING_HOSTS, self._serving())

    def _read(self, key: str, item: Item | None) -> None:
        if item is None:
            self._table.mark_removed(key)
            return
        try:
            record = msgspec.json.decode(item.value, type=HostRecord)
        except msgspec.MsgspecError as error:
            log_event(
                Event.REGISTRATION_REJECTED,
                f'{key!r} is no host record: {error}',
                key=key,
                revision=item.revision,
            )
        else:
            self._table.put(key, record)

    def _drop_lapsed(self) -> None:
        if self._table.drop_removed():
            self._post()

    async def _publish(self) -> None:
        """Keep the own record in the store while this daemon serves."""
        await self._wake.wait()
        while self._is_serving:
            delay_s = await self._renew()
            await asyncio.sleep(delay_s)

    async def _renew(self) -> Seconds:
        """Renew the lease or write the record; return the time to the next."""
        lease = self._lease
        host = self._own.host
        if lease is None:
            return await self._register()
        answer = await self._store.renew(lease.lease)
        if isinstance(answer, LeaseEnded):
            log_event(
                Event.LEASE_LOST,
                f'the lease of {host!r} ended',
                host=host,
                lease=lease.lease,
            )
            self._lease = None
            return 0
        if isinstance(answer, Failure):
            self._is_away = True
            return _RETRY_S
        self._on_contact(self._is_away)
        self._is_away = False
        renewal_s = answer / _RENEWALS_PER_TTL
        if self.is_reader:
            renewal_s = min(renewal_s, self._options.relay_wait_s)
        return renewal_s

    async def _register(self) -> Seconds:
        host = self._own.host
        granted = await self._store.grant(self._options.lease_ttl_s)
        if isinstance(granted, Failure):
            return _RETRY_S
        written = await self._store.put(
            self._options.host_prefix + host,
            msgspec.json.encode(self._own),
            granted.lease,
        )
        if isinstance(written, Failure | LeaseEnded):
            return _RETRY_S
        self._lease = granted
        log_event(
            Event.LEASE_HELD,
            f'{host!r} is listed',
            host=host,
            lease=granted.lease,
            revision=written,
        )
        if not self._is_serving:
            await self.leave()
            return math.inf
        return granted.ttl_s / _RENEWALS_PER_TTL
