"""Library for callers: addresses, tickets, deadlines and resends."""

from __future__ import annotations

from boragespool.client.answers import ClaimFailure, ClaimResult, QueryResult
from boragespool.client.client import Client
from boragespool.client.options import ClientOptions

__all__ = (
    'ClaimFailure',
    'ClaimResult',
    'Client',
    'ClientOptions',
    'QueryResult',
)
