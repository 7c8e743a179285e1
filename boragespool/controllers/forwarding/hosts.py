"""Registry of the daemons that accept requests of callers.

Keeps the record of this daemon in the store under a lease, and follows the
records of the other daemons.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from typing import TYPE_CHECKING, Final, Self

import msgspec

from boragespool.blackboard.forwarding_topics import SERVING_HOSTS
from boragespool.controllers.forwarding.feed import ChangeFeed
from boragespool.controllers.forwarding.host_records import decode_record
from boragespool.controllers.forwarding.loss_reports import is_report_key
from boragespool.events import Event, log_event
from boragespool.forwarding import (
    HostRecord,
    HostTable,
    ReadPlan,
    control_addresses,
    hosts_for_callers,
    nearest_hosts,
    plan_reads,
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

#: Fraction of the lifetime of a lease after which it is renewed, for daemons
#: that callers or other daemons depend on, and for the others.
_RENEWAL_RATIO: Final = 1 / 3
_IDLE_RENEWAL_RATIO: Final = 0.7
#: Delay between attempts while the store fails, in seconds; short enough for
#: several attempts within the lifetime of a lease.
_RETRY_DELAY_S: Final = 0.3
#: Time after the start for which a daemon that knows no other one of its data
#: centre waits for them instead of following the store itself, in seconds. All
#: daemons of a system start at about the same time.
_PLAN_WAIT_S: Final = 0.6
#: Maximum number of addresses in one response; callers keep no more.
_MAX_ADDRESS_COUNT: Final = 64


class HostRegistry:
    """Publishes this daemon and follows the others.

    An async context manager. While entered, it keeps the record of this
    daemon in the store once `publish` was called.

    Parameters
    ----------
    board : Blackboard
        Receives the records of the daemons that accept requests.
    store : ItemStore
        Store that holds the records under leases.
    timers : TimerService
        Clock and timers.
    options : ForwardingOptions
        Names and addresses of this daemon, seeds and lease times.
    on_lease_renewed : callable
        Called after each renewal of the lease; its argument tells whether the
        previous renewal failed.

    Attributes
    ----------
    feed : ChangeFeed
        Changes of the records, served to other daemons.
    """

    def __init__(
        self,
        board: Blackboard,
        store: ItemStore,
        timers: TimerService,
        options: ForwardingOptions,
        on_lease_renewed: Callable[[bool], None],
    ) -> None:
        """Set up an empty registry; nothing is published yet."""
        self._store = store
        self._timers = timers
        self._options = options
        self._board = board
        self._on_lease_renewed = on_lease_renewed
        self._own_record = HostRecord(
            options.host,
            options.data_centre,
            options.region,
            options.caller_address,
            options.control_address,
            processor_cores=options.processor_cores,
        )
        self.feed = ChangeFeed(timers)
        self._table = HostTable()
        self._lease: GrantedLease | None = None
        self._written_record: HostRecord | None = None
        self._written_revision = 0
        self._is_serving = False
        self._started_at_s = timers.now_s()
        self._has_renewal_failed = False
        self._publish_requested = asyncio.Event()
        self._tasks = TaskSet()

    async def __aenter__(self) -> Self:
        """Start the task that publishes this daemon after `publish`."""
        self._tasks.spawn(self._keep_published())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop renewing; `leave` or the end of the lease removes the record."""
        await self._tasks.close()

    def publish(self) -> None:
        """Keep the record of this daemon in the store from now on."""
        if not self._is_serving:
            self._is_serving = True
            self._publish_requested.set()
            self._post_hosts()

    def set_busy(self, busy: bool) -> None:
        """Tell the other daemons whether this one is busy."""
        self._own_record = replace(self._own_record, busy=busy)
        if self._is_serving:
            self._post_hosts()
        if self._lease is not None:
            self._tasks.spawn(self._update_record(self._lease))

    async def leave(self) -> None:
        """Remove the record of this daemon by ending its lease."""
        self._is_serving = False
        lease = self._lease
        self._lease = None
        if lease is not None:
            await self._store.end(lease.lease)

    @property
    def is_reader(self) -> bool:
        """Whether other daemons of the data centre read through this one."""
        return self.read_plan().is_reader

    def read_plan(self) -> ReadPlan:
        """Return from where this daemon reads the contents of the store."""
        records = self._serving_records()
        plan = plan_reads(records, self._own_record)
        is_alone = plan.reads_store and not any(
            record.data_centre == self._own_record.data_centre
            for record in records
            if record.host != self._own_record.host
        )
        age_s = self._timers.now_s() - self._started_at_s
        if is_alone and age_s < _PLAN_WAIT_S:
            return replace(plan, is_pending=True)
        return plan

    def other_addresses(self) -> tuple[Address, ...]:
        """Return the control addresses of other daemons, nearest first."""
        return control_addresses(
            self._table.records,
            self._own_record,
            self._options.seeds,
        )

    def addresses(
        self,
        data_centre: DataCentre,
        region: Region,
    ) -> tuple[Address, ...]:
        """Return caller addresses of the daemons nearest to a caller.

        Parameters
        ----------
        data_centre, region : str
            Location of the caller.
        """
        nearest = nearest_hosts(self._serving_records(), data_centre, region)
        chosen = hosts_for_callers(nearest)
        return tuple(
            record.caller_address for record in chosen[:_MAX_ADDRESS_COUNT]
        )

    def apply_state(self, state: MirrorState) -> None:
        """Apply the records of a state of the mirror.

        Removed records are kept until a grace period after an outage of the
        store has ended, because leases also expire during the outage; the
        daemons publish their records again in the grace period.
        """
        changes_by_key = state.changes_by_key
        self.feed.publish(changes_by_key, state)
        for key, item in changes_by_key.items():
            if not is_report_key(key):
                self._apply_item(key, item)
        self._restore_record(state)
        now_s = self._timers.now_s()
        grace_end_s = state.returned_at_s + self._options.return_grace_s
        if now_s >= grace_end_s:
            self._table.drop_removed()
        else:
            self._timers.after(grace_end_s - now_s, self._drop_removed)
        if state.changed_keys:
            hosts = sorted(record.host for record in self._serving_records())
            log_event(
                Event.HOST_LIST_CHANGED,
                f'{len(hosts)} daemons accept requests',
                hosts=hosts,
                revision=state.revision,
            )
        self._post_hosts()

    def _restore_record(self, state: MirrorState) -> None:
        """Write the own record again if it was removed during its lease.

        A write that got no response may be executed late, under an earlier
        lease, which then takes the record away when it ends.
        """
        own_key = self._options.host_prefix + self._own_record.host
        is_removed = (
            own_key in state.changed_keys
            and own_key not in state.items_by_key
            and state.revision >= self._written_revision
        )
        if is_removed and self._lease is not None:
            self._written_record = None
            self._tasks.spawn(self._update_record(self._lease))

    def _serving_records(self) -> tuple[HostRecord, ...]:
        """Return the records of all daemons that accept requests.

        The own record comes from this daemon and not from the store.
        """
        others = tuple(
            record
            for record in self._table.records
            if record.host != self._own_record.host
        )
        return (*others, self._own_record) if self._is_serving else others

    def _post_hosts(self) -> None:
        self._board.post(SERVING_HOSTS, self._serving_records())

    def _apply_item(self, key: str, item: Item | None) -> None:
        if item is None:
            self._table.mark_removed(key)
            return
        host = key.removeprefix(self._options.host_prefix)
        record = decode_record(host, item)
        if isinstance(record, str):
            log_event(
                Event.REGISTRATION_REJECTED,
                f'{key!r} does not hold a valid host record: {record}',
                key=key,
                revision=item.revision,
            )
        else:
            self._table.put(key, record)

    def _drop_removed(self) -> None:
        if self._table.drop_removed():
            self._post_hosts()

    async def _keep_published(self) -> None:
        """Keep the own record in the store until `leave` is called."""
        await self._publish_requested.wait()
        while self._is_serving:
            delay_s = await self._renew_or_register()
            await asyncio.sleep(delay_s)

    async def _renew_or_register(self) -> Seconds:
        """Renew the lease, or write the record under a new one.

        Returns
        -------
        float
            Time until the next call, in seconds.
        """
        lease = self._lease
        host = self._own_record.host
        if lease is None:
            return await self._register()
        renewed = await self._store.renew(lease.lease)
        if isinstance(renewed, LeaseEnded):
            log_event(
                Event.LEASE_LOST,
                f'the lease of {host!r} has ended',
                host=host,
                lease=lease.lease,
            )
            self._lease = None
            return 0
        if isinstance(renewed, Failure):
            self._has_renewal_failed = True
            return _RETRY_DELAY_S
        await self._update_record(lease)
        self._on_lease_renewed(self._has_renewal_failed)
        self._has_renewal_failed = False
        return self._renewal_delay_s(renewed)

    def _renewal_delay_s(self, ttl_s: Seconds) -> Seconds:
        """Return the time until the next renewal of the lease, in seconds."""
        plan = self.read_plan()
        if plan.is_reader:
            return min(ttl_s * _RENEWAL_RATIO, self._options.relay_wait_s)
        own = self._own_record
        is_needed = plan.reads_store or own in hosts_for_callers(
            nearest_hosts(self._serving_records(), own.data_centre, own.region)
        )
        ratio = _RENEWAL_RATIO if is_needed else _IDLE_RENEWAL_RATIO
        return ttl_s * ratio

    async def _register(self) -> Seconds:
        host = self._own_record.host
        granted = await self._store.grant(self._options.lease_ttl_s)
        if isinstance(granted, Failure):
            return _RETRY_DELAY_S
        written = await self._write_record(granted)
        if isinstance(written, Failure | LeaseEnded):
            return _RETRY_DELAY_S
        self._lease = granted
        log_event(
            Event.LEASE_HELD,
            f'{host!r} is registered in the store',
            host=host,
            lease=granted.lease,
            revision=written,
        )
        if not self._is_serving:
            await self.leave()
            return math.inf
        return granted.ttl_s * _RENEWAL_RATIO

    async def _write_record(
        self, lease: GrantedLease
    ) -> int | LeaseEnded | Failure:
        """Write the record of this daemon under its lease."""
        record = self._own_record
        written = await self._store.put(
            self._options.host_prefix + record.host,
            msgspec.json.encode(record),
            lease.lease,
        )
        if isinstance(written, int):
            self._written_record = record
            self._written_revision = written
        return written

    async def _update_record(self, lease: GrantedLease) -> None:
        """Write the record unless the store has it; renewals try again."""
        if self._written_record != self._own_record:
            await self._write_record(lease)
