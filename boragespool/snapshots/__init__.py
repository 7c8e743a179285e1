"""Planning and merging of queries over the snapshots of an index.

A query is computed from one pinned index version. Its plan divides the key
space into sub-ranges for the backend servers that hold them; the replies are
merged until the whole key space is covered.
"""

from __future__ import annotations

from boragespool.snapshots.catalogue import (
    Catalogue,
    SubRange,
    build_catalogue,
    choose_version,
    plan_ranges,
)
from boragespool.snapshots.merging import MergeState
from boragespool.snapshots.ranges import WHOLE_KEY_SPACE, KeyRange
from boragespool.snapshots.replanning import (
    NotHeldRanges,
    choose_restart_version,
    reachable_key_count,
    state_with_more_coverage,
)

__all__ = (
    'WHOLE_KEY_SPACE',
    'Catalogue',
    'KeyRange',
    'MergeState',
    'NotHeldRanges',
    'SubRange',
    'build_catalogue',
    'choose_restart_version',
    'choose_version',
    'plan_ranges',
    'reachable_key_count',
    'state_with_more_coverage',
)
