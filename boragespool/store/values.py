"""Values that the store client returns."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from boragespool.types import Address, DataCentre, HostName, Seconds


@dataclass(frozen=True, slots=True)
class StoredValue:
    """Key of the store with its value.

    Attributes
    ----------
    key : str
        Path such as ``config/current``.
    value : str
        Text, at most 1 MB in UTF-8.
    version : int
        Number of writes of the key; 1 after the first.
    """

    key: str
    value: str
    version: int


@dataclass(frozen=True, slots=True)
class Missing:
    """Result of reading a key that has never been written."""

    key: str


@dataclass(frozen=True, slots=True)
class Unchanged:
    """Result of a watch that ended without a newer version.

    Attributes
    ----------
    version : int
        Version in the store; 0 if the key has never been written.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a write whose expected version is not the one in the store.

    Attributes
    ----------
    version : int
        Version in the store.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease that the caller holds.

    Attributes
    ----------
    ttl_s : float
        Time until it expires, in seconds.
    """

    name: str
    holder: str
    ttl_s: Seconds


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """Result of acquiring a lease that another holder has.

    Attributes
    ----------
    holder : str
        Current holder.
    ttl_s : float
        Time until it expires, in seconds.
    """

    name: str
    holder: str
    ttl_s: Seconds


class HostState(enum.StrEnum):
    """State of a host in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class HostEntry:
    """Entry of the platform's host list.

    Attributes
    ----------
    address : str
        ``ip:port`` of the daemon on the host; empty if it runs none.
    """

    host: HostName
    state: HostState
    data_centre: DataCentre = ''
    address: Address = ''
