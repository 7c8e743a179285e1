"""Client of the platform's key-value store and host list."""

from __future__ import annotations

from boragespool.store.client import StoreClient
from boragespool.store.items import (
    GrantedLease,
    HistoryLost,
    Item,
    ItemEvents,
    ItemPage,
    ItemStore,
    LeaseEnded,
    LeaseId,
    Removal,
)
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
    'GrantedLease',
    'HistoryLost',
    'HostEntry',
    'HostState',
    'Item',
    'ItemEvents',
    'ItemPage',
    'ItemStore',
    'Lease',
    'LeaseEnded',
    'LeaseId',
    'LeaseHeld',
    'Missing',
    'Removal',
    'StoreClient',
    'StoredValue',
    'Unchanged',
)
