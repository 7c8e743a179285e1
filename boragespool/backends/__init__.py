"""Decisions about backend servers: limits, states, crashing requests."""

from __future__ import annotations

from boragespool.backends.crashes import CrashLedger
from boragespool.backends.limit import (
    LimitState,
    after_reply,
    after_shed,
    cold_start,
    configured,
)
from boragespool.backends.records import prefer
from boragespool.backends.signs import ServerSigns, states_of

__all__ = (
    'CrashLedger',
    'LimitState',
    'ServerSigns',
    'after_reply',
    'after_shed',
    'cold_start',
    'configured',
    'prefer',
    'states_of',
)
