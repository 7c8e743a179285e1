"""Client of the platform's key-value store, leases and host list."""

from __future__ import annotations

from boragespool.store.client import StoreClient
from boragespool.store.values import (
    Conflict,
    HostEntry,
    HostState,
    Lease,
    LeaseHeld,
    Missing,
    StoredValue,
    Unchanged,
)

__all__ = (
    'Conflict',
    'HostEntry',
    'HostState',
    'Lease',
    'LeaseHeld',
    'Missing',
    'StoreClient',
    'StoredValue',
    'Unchanged',
)
