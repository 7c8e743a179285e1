"""Decisions about backend servers: limits, states, crashing requests."""

from __future__ import annotations

from boragespool.backends.crashes import CrashLedger
from boragespool.backends.digests import (
    OUT_OF_USE,
    Comparison,
    ExchangeLimits,
    bounded,
    compare,
    differing_groups,
    is_group_count,
    record_size_bytes,
    versions_of,
)
from boragespool.backends.limit import (
    LimitState,
    after_reply,
    after_shed,
    cold_start,
    configured,
)
from boragespool.backends.record_table import (
    GROUP_COUNT,
    HASH_BYTES,
    RecordTable,
    group_count,
)
from boragespool.backends.records import next_version, prefer
from boragespool.backends.service_states import ServiceStates
from boragespool.backends.signs import ServerSigns
from boragespool.backends.spreading import (
    ByteAllowance,
    SpreadLimits,
    SpreadQueue,
    choose_targets,
)

__all__ = (
    'GROUP_COUNT',
    'HASH_BYTES',
    'OUT_OF_USE',
    'ByteAllowance',
    'Comparison',
    'CrashLedger',
    'ExchangeLimits',
    'LimitState',
    'RecordTable',
    'ServerSigns',
    'ServiceStates',
    'SpreadLimits',
    'SpreadQueue',
    'after_reply',
    'after_shed',
    'bounded',
    'choose_targets',
    'cold_start',
    'compare',
    'configured',
    'differing_groups',
    'group_count',
    'is_group_count',
    'next_version',
    'prefer',
    'record_size_bytes',
    'versions_of',
)
