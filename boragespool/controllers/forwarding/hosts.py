"""Daemons of the system: own entry in the store, and whom callers may ask."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Self

import msgspec

from boragespool.controllers.forwarding.feed import ChangeFeed
from boragespool.controllers.forwarding.mirror import (
    MirrorOptions,
    PrefixMirror,
)
from boragespool.events import Event, log_event
from boragespool.results import Failure
from boragespool.store import LeaseEnded
from boragespool.tasks import TaskSet

# msgspec resolves the annotations of `HostRecord` at run time.
from boragespool.types import Address, DataCentre, HostName, Region  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.forwarding.mirror import MirrorState
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.store import GrantedLease, Item, ItemStore
    from boragespool.timers import TimerService
    from boragespool.types import Seconds

#: A lease is renewed three times before it could end.
_RENEWALS_PER_TTL: Final = 3
_RETRY_S: Final = 0.3
#: Addresses that one answer holds at most.
_ADDRESS_COUNT: Final = 64
#: Daemons of one data centre from which on one reads the store for all.
_LEAST_RELAYED: Final = 2


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Daemon that serves callers, as it is written to the store."""

    host: HostName
    data_centre: DataCentre
    region: Region
    caller_address: Address
    control_address: Address = ''


class HostRegistry:
    """Publishes this daemon and follows the others, a context manager.

    Parameters
    ----------
    store : ItemStore
        Where records are kept under leases.
    timers : TimerService
        Clock.
    options : ForwardingOptions
        Identity and times.
    on_change : callable
        Called when the daemons that serve have changed.
    on_contact : callable
        Called when the store has renewed the lease, with whether it failed
        to do so before.

    Attributes
    ----------
    mirror : PrefixMirror
        Follows the records; its owner enters it.
    feed : ChangeFeed
        Records for other daemons.
    """

    def __init__(
        self,
        store: ItemStore,
        timers: TimerService,
        options: ForwardingOptions,
        on_change: Callable[[], None],
        on_contact: Callable[[bool], None],
    ) -> None:
        """Know only this daemon."""
        self._store = store
        self._timers = timers
        self._options = options
        self._on_change = on_change
        self._on_contact = on_contact
        self._own = HostRecord(
            options.host,
            options.data_centre,
            options.region,
            options.caller_address,
            options.control_address,
        )
        self.feed = ChangeFeed(timers)
        self._records_by_key: dict[str, HostRecord] = {}
        self._lapsed_at_s_by_key: dict[str, Seconds] = {}
        self._lease: GrantedLease | None = None
        self._is_published = False
        self._serving = False
        self._is_away = False
        self._wake = asyncio.Event()
        self._tasks = TaskSet()
        self.mirror = PrefixMirror(
            store,
            timers,
            MirrorOptions(options.host_prefix, 0, options.watch_wait_s),
            self._take_state,
        )

    async def __aenter__(self) -> Self:
        """Begin to publish."""
        self._tasks.spawn(self._publish())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop; `leave` or the end of the lease removes the record."""
        await self._tasks.close()

    def serve(self) -> None:
        """Publish this daemon from now on."""
        if not self._serving:
            self._serving = True
            self._wake.set()
            self._on_change()

    async def leave(self) -> None:
        """Remove this daemon from the addresses."""
        self._serving = False
        lease = self._lease
        self._lease = None
        if lease is not None:
            await self._store.end(lease.lease)

    def counts_by_data_centre(self) -> Counter[DataCentre]:
        """Return how many daemons serve in each data centre."""
        return Counter(record.data_centre for record in self._serving_records())

    @property
    def is_reader(self) -> bool:
        """Whether other daemons read the store through this one."""
        return len(self._near()) >= _LEAST_RELAYED and self.reader() is None

    def reader(self) -> Address | None:
        """Return the daemon that reads the store for this data centre.

        Returns
        -------
        str or None
            Its control address; None if it is this daemon, which includes
            that it is not listed.
        """
        near = self._near()
        if len(near) < _LEAST_RELAYED:
            return None
        first = min(near, key=_host_of)
        own = self._own.host
        return None if first.host == own else first.control_address

    def others(self) -> tuple[Address, ...]:
        """Return the control addresses of other daemons, nearest first."""
        own = self._own
        records = sorted(
            self._records_by_key.values(),
            key=lambda record: (
                record.data_centre != own.data_centre,
                record.region != own.region,
                record.host,
            ),
        )
        known = [r.control_address for r in records if r.host != own.host]
        seeds = [
            seed
            for seed in self._options.seeds
            if seed != own.control_address and seed not in known
        ]
        return tuple(known + seeds)

    def addresses(
        self,
        data_centre: DataCentre,
        region: Region,
    ) -> tuple[Address, ...]:
        """Return the nearest daemons that serve, for a caller in a place."""
        records = self._serving_records()
        near = [
            tuple(r for r in records if r.data_centre == data_centre),
            tuple(r for r in records if r.region == region),
            records,
        ]
        chosen = next((group for group in near if group), ())
        return tuple(
            record.caller_address for record in chosen[:_ADDRESS_COUNT]
        )

    def _near(self) -> tuple[HostRecord, ...]:
        """Return the daemons of the own data centre, if this one serves."""
        if not self._serving or self._lease is None:
            return ()
        return tuple(
            record
            for record in self._serving_records()
            if record.data_centre == self._own.data_centre
        )

    def _serving_records(self) -> tuple[HostRecord, ...]:
        by_host = {
            record.host: record for record in self._records_by_key.values()
        }
        by_host.pop(self._own.host, None)
        if self._serving:
            by_host[self._own.host] = self._own
        return tuple(by_host.values())

    def _take_state(self, state: MirrorState) -> None:
        """Take over the records; some lapse while the store is away."""
        now_s = self._timers.now_s()
        self.feed.publish(
            {key: state.items_by_key.get(key) for key in state.changed_keys},
            state,
        )
        for key in state.changed_keys:
            self._read(key, state.items_by_key.get(key), now_s)
        grace_end_s = state.returned_at_s + self._options.return_grace_s
        if now_s >= grace_end_s:
            self._drop_lapsed()
        else:
            self._timers.after(grace_end_s - now_s, self._drop_lapsed)
        if state.changed_keys:
            log_event(
                Event.HOST_LIST_CHANGED,
                f'{len(self._serving_records())} daemons serve',
                hosts=sorted(r.host for r in self._serving_records()),
                revision=state.revision,
            )
            self._on_change()

    def _read(self, key: str, item: Item | None, now_s: Seconds) -> None:
        if item is None:
            self._lapsed_at_s_by_key[key] = now_s
            return
        self._lapsed_at_s_by_key.pop(key, None)
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
            self._records_by_key[key] = record

    def _drop_lapsed(self) -> None:
        lapsed = tuple(self._lapsed_at_s_by_key)
        self._lapsed_at_s_by_key.clear()
        for key in lapsed:
            self._records_by_key.pop(key, None)
        if lapsed:
            self._on_change()

    async def _publish(self) -> None:
        """Keep the own record in the store while this daemon serves."""
        await self._wake.wait()
        while self._serving:
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
        if not self._serving:
            await self.leave()
            return math.inf
        return granted.ttl_s / _RENEWALS_PER_TTL


def _host_of(record: HostRecord) -> HostName:
    return record.host
