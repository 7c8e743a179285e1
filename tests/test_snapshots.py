"""Key ranges, choice of the version, planning, validation and merging."""

from __future__ import annotations

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from boragespool.messages import Holding, Item, WorkReply
from boragespool.results import Failure, ResultCode
from boragespool.snapshots import (
    MergeState,
    NotHeldRanges,
    SubRange,
    build_catalogue,
    choose_restart_version,
    choose_version,
    plan_ranges,
    state_with_more_coverage,
)
from boragespool.snapshots.ranges import (
    complement,
    intersection,
    key_count,
    union,
)
from boragespool.types import KEY_SPACE_SIZE, RunState
from tests.snapshot_simulation import run_simulation

HALF = KEY_SPACE_SIZE // 2
RANGES = st.lists(
    st.tuples(st.integers(0, 30), st.integers(1, 9)).map(
        lambda pair: (pair[0], pair[0] + pair[1]),
    ),
    max_size=8,
)


def keys(ranges):
    """Return the set of all keys in the ranges."""
    return {key for start, end in ranges for key in range(start, end)}


@settings(derandomize=True)
@given(RANGES, RANGES)
def test_range_arithmetic_agrees_with_sets(first, second):
    """A wrong edge in the arithmetic would report false coverage."""
    # Guards against off-by-one errors at range edges: each operation is
    # compared with the same operation on sets of keys.
    joined, within = union(first), (3, 35)
    assert keys(joined) == keys(first)
    assert key_count(joined) == len(keys(first))
    assert keys(intersection(first, second)) == keys(first) & keys(second)
    assert keys(complement(first, within)) == keys([within]) - keys(first)


@settings(
    derandomize=True,
    deadline=None,
    max_examples=50,
    phases=[Phase.generate],
)
@given(st.integers(0, 2**32))
def test_no_state_is_ever_mixed_or_falsely_covered(block):
    """Late, crossed, duplicated, truncated or foreign replies must not merge.

    Versions and partitions change at any moment; the oracle of the world
    checks the state after each reply. 50 blocks of 400 seeded runs.
    """
    states = [
        state
        for seed in range(block * 400, (block + 1) * 400)
        for state in run_simulation(seed)
    ]
    assert sum(state.complete for state in states) > 100


def held(*ranges, version=1):
    """Return the holdings of one server."""
    return (Holding(version, tuple(ranges)),)


def test_pin_prefers_whole_coverage_then_the_newer_version():
    """Guards against partial answers while a new version is being loaded.

    The newest version is chosen only if no other one covers more keys.
    """
    whole, half = (0, KEY_SPACE_SIZE), (0, HALF)
    loading = {'a': (Holding(1, (whole,)), Holding(2, (half,)))}
    assert choose_version(build_catalogue(loading)) == 1
    loaded = loading | {'b': held((HALF, KEY_SPACE_SIZE), version=2)}
    assert choose_version(build_catalogue(loaded)) == 2
    parts = {'a': held(half), 'b': held(half, version=2)}
    assert choose_version(build_catalogue(parts)) == 2
    assert choose_version(build_catalogue({'a': held((5, 5), (-1, 3))})) is None


def test_plan_is_cut_at_the_edges_of_all_holders():
    """Guards against requests for keys outside the range of a server.

    The plan is split at the edges of all holdings, and a server is not asked
    again for ranges that it has reported as not held.
    """
    catalogue = build_catalogue(
        {'a': held((0, 100)), 'b': held((0, 40), (30, 60)), 'c': held((60, 70))}
    )
    assert [
        (part.start, part.end, part.replicas)
        for part in catalogue.plans_by_version[1]
    ] == [
        (0, 30, ('a', 'b')),
        (30, 40, ('a', 'b')),
        (40, 60, ('a', 'b')),
        (60, 70, ('a', 'c')),
        (70, 100, ('a',)),
    ]
    denials = NotHeldRanges()
    denials.add('a', (80, 90))
    assert plan_ranges(catalogue, 1, [(65, 70), (80, 90)], denials.may_ask) == (
        SubRange(65, 70, ('a', 'c')),
    )


def test_restart_needs_a_newer_version_with_more_coverage():
    """Guards against restarts that add load but cannot raise the coverage."""
    catalogue = build_catalogue(
        {'a': held((0, HALF), version=2), 'b': held((0, HALF + 1), version=3)}
    )
    assert choose_restart_version(catalogue, 1, HALF) == 3
    assert choose_restart_version(catalogue, 1, HALF + 1) is None
    assert choose_restart_version(catalogue, 3, 0) is None


def test_answer_uses_the_better_of_two_snapshots():
    """Guards against a restart that lowers the coverage of the answer.

    If it reached less than the first snapshot, the first one is returned. A
    second reply to the same attempt is refused.
    """
    old, new = MergeState(1), MergeState(2)
    assert state_with_more_coverage(old, new) is new
    old.open_attempt('x', (0, 10))
    reply = WorkReply('x', 1000, RunState.RUN, 1, 0, 10, (Item(3, 'v'),))
    assert old.merge('x', reply) == (0, 10)
    assert state_with_more_coverage(old, new) is old
    refused = old.merge('x', reply)
    assert isinstance(refused, Failure)
    assert refused.code == ResultCode.SERVER_REPLY_INVALID
