"""State of backend servers: limits, health, records and crashing requests.

Holds data structures and decisions without I/O; controllers send and receive
the messages.
"""

from __future__ import annotations

from boragespool.backends.crashes import CrashTracker
from boragespool.backends.digests import (
    OUT_OF_SERVICE,
    ExchangeLimits,
    VersionComparison,
    compare_versions,
    differing_groups,
    is_valid_group_count,
    limit_total_size,
    pack_versions,
    record_size_bytes,
)
from boragespool.backends.limit import (
    LimitState,
    after_reply,
    after_shed,
    initial_limit,
    with_slots,
)
from boragespool.backends.record_table import (
    GROUP_COUNT,
    HASH_BYTES,
    RecordTable,
    group_count,
)
from boragespool.backends.records import newer_record, next_version
from boragespool.backends.service_states import ServiceStates
from boragespool.backends.signals import ServerSignals
from boragespool.backends.spreading import (
    ByteRateLimiter,
    SpreadLimits,
    SpreadQueue,
    choose_targets,
)

__all__ = (
    'GROUP_COUNT',
    'HASH_BYTES',
    'OUT_OF_SERVICE',
    'ByteRateLimiter',
    'CrashTracker',
    'ExchangeLimits',
    'LimitState',
    'RecordTable',
    'ServerSignals',
    'ServiceStates',
    'SpreadLimits',
    'SpreadQueue',
    'VersionComparison',
    'after_reply',
    'after_shed',
    'choose_targets',
    'compare_versions',
    'differing_groups',
    'group_count',
    'initial_limit',
    'is_valid_group_count',
    'limit_total_size',
    'newer_record',
    'next_version',
    'pack_versions',
    'record_size_bytes',
    'with_slots',
)
