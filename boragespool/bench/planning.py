"""Processor time of planning, validating and merging per sub-request."""

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

_SHARDS: Final = (10, 30, 100, 300, 1_000, 1_900)
_REPLICAS: Final = 3
_ITEMS: Final = 5
_SUB_REQUESTS: Final = 60_000
_MICROSECONDS: Final = 1_000_000
_THOUSAND: Final = 1_000


def _holdings(shards: int) -> dict[str, tuple[Holding, ...]]:
    return {
        f's{shard}r{replica}': (Holding(1, (shard_range(shard, shards),)),)
        for shard in range(shards)
        for replica in range(_REPLICAS)
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
            tuple(Item(part.start + key, 'found') for key in range(_ITEMS)),
            item_count=_ITEMS,
        )
        for part in catalogue.plans_by_version[1]
    ]


def _query(
    catalogue: Catalogue,
    observations: ServerObservations,
    replies: Sequence[WorkReply],
    arrivals: Sequence[WorkReply],
) -> None:
    """Pin, choose replicas, validate and merge one query."""
    version = choose_version(catalogue) or 0
    state = MergeState(version)
    for part, reply in zip(
        catalogue.plans_by_version[version],
        replies,
        strict=True,
    ):
        choose_replica(part.replicas, (), observations, (0.3, 0.7), 0, 1)
        state.open_attempt(reply.attempt_id, (part.start, part.end))
    for answered in arrivals:
        state.merge(answered.attempt_id, answered)
    if not state.complete or len(state.merged_items()) != _ITEMS * len(replies):
        raise RuntimeError(f'coverage is {state.coverage!r}, not 1')


def measure(shards: int, sub_requests: int) -> tuple[Seconds, Seconds]:
    """Measure one fan-out.

    Parameters
    ----------
    shards : int
        Sub-requests per query.
    sub_requests : int
        Sub-requests of all measured queries together.

    Returns
    -------
    (float, float)
        Processor seconds per sub-request, and processor seconds per shard
        for the catalogue, which is built once per change of the holdings.
    """
    holdings = _holdings(shards)
    began_s = time.process_time()
    catalogue = build_catalogue(holdings)
    built_s = time.process_time() - began_s
    observations = ServerObservations()
    for server in holdings:
        observations.record_sent(server)
        observations.record_answer(server, 0.01, 0)
    # Replies arrive in another order than they were asked for.
    replies = _replies(catalogue)
    arrivals = sorted(
        replies,
        key=lambda reply: fingerprint_of('', reply.attempt_id.encode()),
    )
    _query(catalogue, observations, replies, arrivals)
    count = max(sub_requests // shards, 1)
    began_s = time.process_time()
    for _ in range(count):
        _query(catalogue, observations, replies, arrivals)
    took_s = time.process_time() - began_s
    return took_s / (count * shards), built_s / shards


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope of y over x."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def main(sub_requests: int = _SUB_REQUESTS) -> int:
    """Print the processor time per sub-request and its growth.

    Parameters
    ----------
    sub_requests : int
        Sub-requests measured per fan-out.

    Returns
    -------
    int
        0.
    """
    points: list[tuple[float, float]] = []
    for shards in _SHARDS:
        each_s, built_s = measure(shards, sub_requests)
        each_us = each_s * _MICROSECONDS
        points.append((shards, each_us))
        built_us = built_s * _MICROSECONDS
        print(f'{shards} shards: {each_us:.2f} us per sub-request')
        print(f'    catalogue, once per change: {built_us:.2f} us per shard')
    growth = slope(points) * _THOUSAND
    whole = slope([(width, width * each_us) for width, each_us in points])
    print(f'growth {growth:.3f} us per sub-request and 1000 shards')
    print(f'fitted cost of a query {whole:.2f} us per shard')
    return 0


if __name__ == '__main__':
    sys.exit(main())
