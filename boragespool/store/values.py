"""Answers of the platform's store."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from boragespool.types import Address, DataCentre, HostName, Seconds


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key with its value.

    Attributes
    ----------
    value : str
        Text, at most 1 MB in UTF-8.
    version : int
        Counts the writes of the key, from 1.
    """

    key: str
    value: str
    version: int


@dataclass(frozen=True, slots=True)
class Missing:
    """Sentinel for a key that has never been written."""

    key: str


@dataclass(frozen=True, slots=True)
class Unchanged:
    """Sentinel for a watch that ended without a newer version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Sentinel for a write that lost; `version` is the one in the store."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that this process holds for `ttl_s` more seconds."""

    name: str
    holder: str
    ttl_s: Seconds


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """Sentinel for a lease that somebody else holds."""

    name: str
    holder: str
    ttl_s: Seconds


class HostState(enum.StrEnum):
    """State of a host in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host of the platform's list.

    Attributes
    ----------
    address : str
        ``ip:port`` of the daemon on it; empty for other hosts.
    """

    host: HostName
    state: HostState
    data_centre: DataCentre = ''
    address: Address = ''
