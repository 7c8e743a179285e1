"""Processor time per sub-request of planning, validation and merging."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, Final

from boragespool.bench.fake_fleet import shard_range
from boragespool.messages import Holding, Item, WorkReply
from boragespool.results import ResultCode
from boragespool.routing import (
    ServerObservations,
    choose_replica,
    fingerprint_of,
)
from boragespool.snapshots import (
    Catalogue,
    MergeState,
    build_catalogue,
    choose_version,
)
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragespool.types import Seconds

_SHARD_COUNTS: Final = (10, 30, 100, 300, 1_000, 1_900)
_REPLICA_COUNT: Final = 3
_ITEM_COUNT: Final = 5
_SUB_REQUEST_COUNT: Final = 60_000
_US_PER_S: Final = 1_000_000
_SHARDS_PER_THOUSAND: Final = 1_000


def _holdings(shards: int) -> dict[str, tuple[Holding, ...]]:
    return {
        f's{shard}r{replica}': (Holding(1, (shard_range(shard, shards),)),)
        for shard in range(shards)
        for replica in range(_REPLICA_COUNT)
    }


def _replies(catalogue: Catalogue) -> list[WorkReply]:
    return [
        WorkReply(
            f'merger.1.{part.start:x}',
            int(ResultCode.COMPLETE),
            RunState.RUN,
            1,
            part.start,
            part.end,
            tuple(
                Item(part.start + key, 'found') for key in range(_ITEM_COUNT)
            ),
            item_count=_ITEM_COUNT,
        )
        for part in catalogue.plans_by_version[1]
    ]


def _run_query(
    catalogue: Catalogue,
    observations: ServerObservations,
    replies: Sequence[WorkReply],
    arrivals: Sequence[WorkReply],
) -> None:
    """Process one query without a network.

    Chooses the index version and the replicas, then validates and merges the
    replies.
    """
    version = choose_version(catalogue) or 0
    state = MergeState(version)
    for part, reply in zip(
        catalogue.plans_by_version[version],
        replies,
        strict=True,
    ):
        choose_replica(part.replicas, (), observations, (0.3, 0.7), 0, 1)
        state.open_attempt(reply.attempt_id, (part.start, part.end))
    for reply in arrivals:
        state.merge(reply.attempt_id, reply)
    if not state.complete or len(state.merged_items()) != _ITEM_COUNT * len(
        replies
    ):
        raise RuntimeError(f'coverage is {state.coverage!r}, not 1')


def measure(shards: int, sub_requests: int) -> tuple[Seconds, Seconds]:
    """Measure queries with one number of shards.

    Parameters
    ----------
    shards : int
        Number of shards, each of which gets one sub-request per query.
    sub_requests : int
        Total number of sub-requests of the measured queries.

    Returns
    -------
    (float, float)
        Processor time in seconds per sub-request, and per shard to build the
        catalogue, which happens once per change of the holdings.
    """
    holdings = _holdings(shards)
    began_s = time.process_time()
    catalogue = build_catalogue(holdings)
    catalogue_s = time.process_time() - began_s
    observations = ServerObservations()
    for server in holdings:
        observations.record_sent(server)
        observations.record_success(server, 0.01, 0)
    # Replies arrive in a different order from the sub-requests.
    replies = _replies(catalogue)
    arrivals = sorted(
        replies,
        key=lambda reply: fingerprint_of('', reply.attempt_id.encode()),
    )
    _run_query(catalogue, observations, replies, arrivals)
    count = max(sub_requests // shards, 1)
    began_s = time.process_time()
    for _ in range(count):
        _run_query(catalogue, observations, replies, arrivals)
    cpu_s = time.process_time() - began_s
    return cpu_s / (count * shards), catalogue_s / shards


def fit_slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope of y over x."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance_sum = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / variance_sum


def main(sub_requests: int = _SUB_REQUEST_COUNT) -> int:
    """Print the processor time per sub-request and how it grows.

    Parameters
    ----------
    sub_requests : int
        Number of sub-requests to measure for each number of shards.

    Returns
    -------
    int
        Always 0. This benchmark checks no goal.
    """
    points: list[tuple[float, float]] = []
    for shards in _SHARD_COUNTS:
        sub_request_s, catalogue_s = measure(shards, sub_requests)
        sub_request_us = sub_request_s * _US_PER_S
        points.append((shards, sub_request_us))
        catalogue_us = catalogue_s * _US_PER_S
        print(f'{shards} shards: {sub_request_us:.2f} us per sub-request')
        print(
            f'    catalogue, once per change: {catalogue_us:.2f} us per shard'
        )
    growth_us = fit_slope(points) * _SHARDS_PER_THOUSAND
    shard_cost_us = fit_slope(
        [
            (shard_count, shard_count * sub_request_us)
            for shard_count, sub_request_us in points
        ]
    )
    print(f'growth {growth_us:.3f} us per sub-request and 1000 shards')
    print(f'fitted cost of a query {shard_cost_us:.2f} us per shard')
    return 0


if __name__ == '__main__':
    sys.exit(main())
