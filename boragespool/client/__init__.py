"""Client library for callers of the query tier.

It finds the daemons, fetches tickets for claims, keeps deadlines and resends
requests that failed.
"""

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
