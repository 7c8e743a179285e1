"""Daemons that serve: which of them callers and other daemons are given."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

# msgspec resolves the annotations of `HostRecord` at run time.
from boragespool.types import (  # noqa: TC001
    Address,
    DataCentre,
    HostName,
    Region,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

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


class HostTable:
    """Records by key; those that lapse stay until they are dropped."""

    def __init__(self) -> None:
        """Start without daemons."""
        self._records_by_key: dict[str, HostRecord] = {}
        self._removed_keys: set[str] = set()

    @property
    def records(self) -> tuple[HostRecord, ...]:
        """All records, lapsed ones included."""
        return tuple(self._records_by_key.values())

    def put(self, key: str, record: HostRecord) -> None:
        """Take over a record."""
        self._records_by_key[key] = record
        self._removed_keys.discard(key)

    def mark_removed(self, key: str) -> None:
        """Note that a record is no longer in the store."""
        self._removed_keys.add(key)

    def drop_removed(self) -> bool:
        """Drop the lapsed records; tell whether there were any."""
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
    """Return the daemons of a data centre, else of its region, else all."""
    groups = (
        tuple(r for r in records if r.data_centre == data_centre),
        tuple(r for r in records if r.region == region),
        records,
    )
    return next((group for group in groups if group), ())


def elect_store_reader(
    records: Iterable[HostRecord],
    own: HostRecord,
) -> HostRecord | None:
    """Return the daemon that reads the store for a data centre.

    Parameters
    ----------
    records : iterable of HostRecord
        Daemons that serve.
    own : HostRecord
        Daemon that asks; it counts only if it is among them.

    Returns
    -------
    HostRecord or None
        The one with the first name; None if too few serve or the one that
        asks does not.
    """
    near = [r for r in records if r.data_centre == own.data_centre]
    if own not in near or len(near) < _LEAST_RELAYED:
        return None
    return min(near, key=_host_of)


def control_addresses(
    records: Iterable[HostRecord],
    own: HostRecord,
    seeds: tuple[Address, ...],
) -> tuple[Address, ...]:
    """Return the control addresses of other daemons, nearest first.

    Parameters
    ----------
    seeds : tuple of str
        Addresses that may be stale; they follow those that are known.
    """
    others = sorted(
        (record for record in records if record.host != own.host),
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
        if seed != own.control_address and seed not in known
    ]
    return tuple(known + unknown)


def _host_of(record: HostRecord) -> HostName:
    return record.host
