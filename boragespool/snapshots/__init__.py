"""Index versions, key ranges and coverage."""

from __future__ import annotations

from boragespool.snapshots.catalogue import (
    Catalogue,
    SubRange,
    build_catalogue,
    pin_version,
    plan_ranges,
)
from boragespool.snapshots.merging import MergeState
from boragespool.snapshots.ranges import WHOLE_KEY_SPACE, KeyRange
from boragespool.snapshots.replanning import (
    Denials,
    better_state,
    reachable_keys,
    restart_version,
)

__all__ = (
    'WHOLE_KEY_SPACE',
    'Catalogue',
    'Denials',
    'KeyRange',
    'MergeState',
    'SubRange',
    'better_state',
    'build_catalogue',
    'pin_version',
    'plan_ranges',
    'reachable_keys',
    'restart_version',
)
