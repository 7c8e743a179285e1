"""Records of the serving daemons, and selection among them.

Callers are given the daemons nearest to them; daemons use the records to find
the one that reads the store for their data centre.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

# msgspec resolves the annotations of `HostRecord` at run time.
from boragespool.types import (  # noqa: TC001
    Address,
    DataCentre,
    HostName,
    Region,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Number of daemons of a data centre that may read the store for the others:
#: the reader and those that take over if it fails.
_STORE_READER_COUNT: Final = 3
#: Share of the processing capacity of a data centre that takes callers while
#: no daemon is busy, and the minimum number of daemons, so that callers have
#: others to turn to if some are lost.
_CALLER_CAPACITY_RATIO: Final = 0.25
_MIN_CALLER_HOSTS: Final = 4
_CAPACITY_MARGIN_CORES: Final = 1e-6
#: Number of further daemons that take callers for each busy one.
_HOSTS_PER_BUSY_HOST: Final = 3


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Record in the store of a daemon that serves callers.

    Attributes
    ----------
    caller_address : str
        ``ip:port`` that callers send their requests to.
    control_address : str
        ``ip:port`` for metrics and for other daemons; empty if there is none.
    busy : bool
        Whether the daemon has more work than it can do without delay.
    processor_cores : float
        Processing capacity of the host, in cores of the usual speed.
    """

    host: HostName
    data_centre: DataCentre
    region: Region
    caller_address: Address
    control_address: Address = ''
    busy: bool = False
    processor_cores: float = 1


@dataclass(frozen=True, slots=True)
class ReadPlan:
    """Sources of the contents of the store for one daemon.

    Attributes
    ----------
    sources : tuple of str
        Control addresses of the daemons to read from, in order.
    reads_store : bool
        Whether to read the store itself at once if none of them has current
        data. Other daemons do so only after a while.
    is_pending : bool
        Whether the other daemons are not known yet.
    """

    sources: tuple[Address, ...] = ()
    reads_store: bool = True
    is_pending: bool = False

    @property
    def is_reader(self) -> bool:
        """Whether the other daemons read through this one."""
        return not self.sources and self.reads_store and not self.is_pending


class HostTable:
    """Host records by store key.

    A record that was removed from the store is only marked, and stays in use
    until `drop_removed` is called: the leases of healthy daemons also expire
    while the store is unavailable.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._records_by_key: dict[str, HostRecord] = {}
        self._removed_keys: set[str] = set()

    @property
    def records(self) -> tuple[HostRecord, ...]:
        """All records, including those that are marked as removed."""
        return tuple(self._records_by_key.values())

    def put(self, key: str, record: HostRecord) -> None:
        """Add or replace the record of a key."""
        self._records_by_key[key] = record
        self._removed_keys.discard(key)

    def mark_removed(self, key: str) -> None:
        """Mark the record of a key as removed from the store."""
        self._removed_keys.add(key)

    def drop_removed(self) -> bool:
        """Drop the records marked as removed; return whether any existed."""
        dropped = self._removed_keys & self._records_by_key.keys()
        self._removed_keys.clear()
        for key in dropped:
            del self._records_by_key[key]
        return bool(dropped)


def nearest_hosts(
    records: tuple[HostRecord, ...],
    data_centre: DataCentre,
    region: Region,
) -> tuple[HostRecord, ...]:
    """Return the nearest non-empty group of daemons.

    These are the daemons in the data centre, else those in the region, else
    all of them.
    """
    groups = (
        tuple(r for r in records if r.data_centre == data_centre),
        tuple(r for r in records if r.region == region),
        records,
    )
    return next((group for group in groups if group), ())


def hosts_for_callers(
    records: tuple[HostRecord, ...],
) -> tuple[HostRecord, ...]:
    """Return the daemons of one group whose addresses callers are given.

    Answers a load that is small for the number of daemons: if each of them
    sees a request only now and then, its connections to backend servers have
    expired and it has forgotten which of them are slow. A part of the daemons
    takes all callers, so that each works with warm connections and recent
    observations. The fastest hosts are chosen first, as the time to send to
    all shards adds to the latency of a query. Each busy daemon adds others.

    Parameters
    ----------
    records : tuple of HostRecord
        Daemons of a data centre, or those that stand in for it.

    Returns
    -------
    tuple of HostRecord
        All daemons with the same records choose the same ones. If a daemon
        comes or goes and the hosts are alike, at most one other daemon is
        exchanged.
    """
    ranked = sorted(records, key=_caller_rank)
    # The margin absorbs the rounding of sums of equal values.
    needed_cores = (
        _CALLER_CAPACITY_RATIO
        * sum(record.processor_cores for record in records)
        - _CAPACITY_MARGIN_CORES
    )
    capacities = itertools.accumulate(
        record.processor_cores for record in ranked
    )
    count = 1 + sum(capacity < needed_cores for capacity in capacities)
    busy_count = sum(record.busy for record in records)
    return tuple(
        ranked[
            : max(_MIN_CALLER_HOSTS, count) + busy_count * _HOSTS_PER_BUSY_HOST
        ]
    )


def caller_hosts_by_data_centre(
    records: Iterable[HostRecord],
) -> dict[DataCentre, tuple[HostRecord, ...]]:
    """Return the daemons that callers are given, by data centre."""
    records_by_data_centre: defaultdict[DataCentre, list[HostRecord]]
    records_by_data_centre = defaultdict(list)
    for record in records:
        records_by_data_centre[record.data_centre].append(record)
    return {
        data_centre: hosts_for_callers(tuple(group))
        for data_centre, group in records_by_data_centre.items()
    }


def plan_reads(
    records: Iterable[HostRecord],
    own: HostRecord,
) -> ReadPlan:
    """Return from where a daemon reads the contents of the store.

    Answers the load of many daemons that follow the same keys: calls to the
    store grow with the number of data centres and not of daemons. The first
    daemon of a data centre, by host name, reads for all; the next ones take
    over as soon as it fails.

    Parameters
    ----------
    records : iterable of HostRecord
        Serving daemons. All daemons with the same records agree.
    own : HostRecord
        Record of this daemon, which may be missing from `records`. Others
        without a control address cannot be read from and are left out.
    """
    near = sorted(
        (
            record
            for record in records
            if record.data_centre == own.data_centre
            and (record.control_address or record.host == own.host)
        ),
        key=_host_of,
    )
    hosts = [record.host for record in near]
    own_rank = hosts.index(own.host) if own.host in hosts else len(near)
    source_count = min(own_rank, _STORE_READER_COUNT)
    return ReadPlan(
        tuple(record.control_address for record in near[:source_count]),
        reads_store=own_rank < _STORE_READER_COUNT or not near,
    )


def control_addresses(
    records: Iterable[HostRecord],
    own: HostRecord,
    seeds: tuple[Address, ...],
) -> tuple[Address, ...]:
    """Return the control addresses of the other daemons, nearest first.

    Parameters
    ----------
    records : iterable of HostRecord
        Known daemons. Those without a control address are left out.
    own : HostRecord
        Record of this daemon, which is left out.
    seeds : tuple of str
        Configured control addresses, which may be stale. Those that are not
        in `records` are appended to the result.
    """
    others = sorted(
        (
            record
            for record in records
            if record.host != own.host and record.control_address
        ),
        key=lambda record: (
            record.data_centre != own.data_centre,
            record.region != own.region,
            record.host,
        ),
    )
    known = [record.control_address for record in others]
    unknown = [
        seed
        for seed in seeds
        if seed and seed != own.control_address and seed not in known
    ]
    return tuple(known + unknown)


def _caller_rank(record: HostRecord) -> tuple[float, int]:
    """Return a key that orders daemons alike at all daemons."""
    return (
        -record.processor_cores,
        xxhash.xxh32_intdigest(record.host.encode()),
    )


def _host_of(record: HostRecord) -> HostName:
    return record.host
