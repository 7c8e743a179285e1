"""Tail latency, coverage and extra load with and without hedging.

30 shards with 3 replicas; 1 in 100 replies takes 20 times longer. Queries
arrive in an open loop in virtual time, so the figures do not depend on the
machine.
"""

from __future__ import annotations

import asyncio
import math
import random
import sys
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Final

from boragespool.bench.fake_fleet import FakeFleet, FleetOptions
from boragespool.bench.tail_variants import (
    ALTERNATIVES,
    OUTAGES,
    Indifferent,
    Variant,
    tracker_factory,
)
from boragespool.bench.virtual_time import run_in_virtual_time
from boragespool.controllers.queries.query import QueryController
from boragespool.controllers.requests import QueryRequest
from boragespool.results import Failure
from boragespool.settings import HedgingSettings
from boragespool.types import ServerState

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from boragespool.messages import WorkReply, WorkRequest
    from boragespool.types import Seconds

_RATE_PER_S: Final = 200
_QUERY_COUNT: Final = 2_500
#: Queries before the quantile is known and the burst is used.
_WARM_UP_COUNT: Final = 300
_DEADLINE_S: Final = 0.39
_TYPICAL_S: Final = 0.01
_SPREAD: Final = 0.25
_SLOW_SHARE: Final = 0.01
_SLOW_FACTOR: Final = 20
_OUTAGE_SHARE: Final = 0.4
#: Time until the loss of a backend server is announced.
_NOTICE_S: Final = 1.5
_SEED: Final = 20_261_204
_P99_GOAL: Final = 0.35
_LOAD_GOAL: Final = 1.05
_WORST_LOAD_GOAL: Final = 1.1
_UNHEDGED: Final = HedgingSettings(quantile=1)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Figures of one run.

    Attributes
    ----------
    load, worst_load : float
        Requests sent per shard and query, over the run and in its worst
        second.
    started : float
        Requests that backend servers began per shard and query.
    """

    p50_s: Seconds
    p99_s: Seconds
    coverage: float
    load: float
    worst_load: float
    started: float


@dataclass(frozen=True, slots=True)
class _Sample:
    began_s: Seconds
    took_s: Seconds
    coverage: float
    attempts: int


def measure(
    variant: Variant,
    outage: Callable[[WorkRequest], WorkReply | Failure | None] | None,
    query_count: int,
    shards: int = 30,
) -> Outcome:
    """Run one variant.

    Parameters
    ----------
    variant : Variant
        Hedging and replica choice.
    outage : callable or None
        Behaviour of one replica of each shard from some time on.
    query_count : int
        Queries, those of the warm-up included.
    shards : int
        Sub-requests per query.
    """
    options = FleetOptions(
        shards=shards,
        deadline_s=_DEADLINE_S,
        hedging=variant.hedging,
    )
    fleet = FakeFleet(options, _SEED)
    fleet.service_time_s = _service_times(random.Random(_SEED + 1))
    samples = run_in_virtual_time(_run(fleet, variant, outage, query_count))
    measured = samples[min(_WARM_UP_COUNT, query_count // 4) :]
    times_s = sorted(sample.took_s for sample in measured)
    by_second: dict[int, list[int]] = {}
    for one in samples:
        by_second.setdefault(int(one.began_s), []).append(one.attempts)
    requests = query_count * shards
    return Outcome(
        _percentile(times_s, 0.5),
        _percentile(times_s, 0.99),
        sum(sample.coverage for sample in measured) / len(measured),
        sum(fleet.asked.values()) / requests,
        max(sum(sent) / len(sent) / shards for sent in by_second.values()),
        sum(fleet.started.values()) / requests,
    )


def _service_times(draw: random.Random) -> Callable[[], Seconds]:
    def service_time_s() -> Seconds:
        slow = draw.random() < _SLOW_SHARE
        typical_s = draw.lognormvariate(math.log(_TYPICAL_S), _SPREAD)
        return typical_s * _SLOW_FACTOR if slow else typical_s

    return service_time_s


async def _run(
    fleet: FakeFleet,
    variant: Variant,
    outage: Callable[[WorkRequest], WorkReply | Failure | None] | None,
    query_count: int,
) -> list[_Sample]:
    """Start queries at random times, whether others are answered or not."""
    controller = QueryController(
        fleet.context(),
        Indifferent() if variant.random_choice else None,
        tracker_factory(variant),
    )
    arrivals = random.Random(_SEED + 2)
    async with controller, asyncio.TaskGroup() as tasks:
        running = []
        for number in range(query_count):
            if outage is not None and number == query_count * _OUTAGE_SHARE:
                _begin_outage(fleet, outage)
            running.append(tasks.create_task(_sample(controller, number)))
            await asyncio.sleep(arrivals.expovariate(_RATE_PER_S))
    return [task.result() for task in running]


def _begin_outage(
    fleet: FakeFleet,
    outage: Callable[[WorkRequest], WorkReply | Failure | None],
) -> None:
    """Lose one replica of each shard; its loss is announced later."""
    for shard in range(fleet.options.shards):
        server = f's{shard}r0'
        fleet.behaviour_by_server[server] = outage
        asyncio.get_running_loop().call_later(
            _NOTICE_S,
            partial(fleet.announce, server, state=ServerState.LOST),
        )


async def _sample(controller: QueryController, number: int) -> _Sample:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    answer = await controller.answer(
        QueryRequest(f'q{number}', 'find', 'bench', b'{}', _DEADLINE_S),
    )
    took_s = loop.time() - began_s
    if isinstance(answer, Failure):
        return _Sample(began_s, took_s, 0, 0)
    return _Sample(began_s, took_s, answer.coverage, answer.attempts)


def _percentile(ordered: Sequence[Seconds], share: float) -> Seconds:
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _show(name: str, outcome: Outcome) -> None:
    columns = (
        ('p50 ms', outcome.p50_s * 1_000),
        ('p99 ms', outcome.p99_s * 1_000),
        ('coverage', outcome.coverage),
        ('sent per shard', outcome.load),
        ('worst second', outcome.worst_load),
        ('begun per shard', outcome.started),
    )
    figures = (f'{label} {figure:.5f}' for label, figure in columns)
    print(f'  {name}:', ', '.join(figures))


def _meets_goals(hedged: Outcome, baseline: Outcome) -> bool:
    return (
        hedged.p99_s <= baseline.p99_s * _P99_GOAL
        and hedged.load <= _LOAD_GOAL
        and hedged.worst_load <= _WORST_LOAD_GOAL
        and hedged.coverage >= baseline.coverage
    )


def main(query_count: int = _QUERY_COUNT) -> int:
    """Print the figures of all outages and alternatives.

    Parameters
    ----------
    query_count : int
        Queries per run.

    Returns
    -------
    int
        0 if every goal is met, else 1.
    """
    missed = 0
    for name, outage in OUTAGES.items():
        print(f'{name}; {query_count} queries, {_RATE_PER_S} per second')
        baseline = measure(Variant(_UNHEDGED), outage, query_count)
        hedged = measure(Variant(HedgingSettings()), outage, query_count)
        _show('not hedged', baseline)
        _show('hedged', hedged)
        ratio = hedged.p99_s / baseline.p99_s
        met = _meets_goals(hedged, baseline)
        print(f'  p99 ratio {ratio:.3f}, goals met: {met}', flush=True)
        missed += not met
    print('alternatives, stragglers only')
    for label, variant in ALTERNATIVES.items():
        _show(label, measure(variant, None, query_count))
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())
