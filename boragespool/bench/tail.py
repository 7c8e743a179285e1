"""Tail latency, coverage and extra load of queries with and without hedging.

Simulates 30 shards with 3 replicas, where 1 in 100 replies takes 20 times
longer. Queries arrive in an open loop in virtual time, so the results do not
depend on the machine.
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
    UniformObservations,
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
#: Queries sent before the latency quantile is known and the initial hedging
#: burst is spent; latency and coverage leave them out.
_WARM_UP_COUNT: Final = 300
_DEADLINE_S: Final = 0.39
#: Service times are log-normal, with this median and standard deviation of
#: the logarithm.
_MEDIAN_SERVICE_TIME_S: Final = 0.01
_SIGMA: Final = 0.25
_STRAGGLER_SHARE: Final = 0.01
_STRAGGLER_FACTOR: Final = 20
#: Share of the queries that are sent before the outage starts.
_OUTAGE_START_SHARE: Final = 0.4
#: Time between the start of an outage and the announcement that the server
#: is lost.
_LOSS_NOTICE_S: Final = 1.5
_SEED: Final = 20_261_204
_P99_RATIO_GOAL: Final = 0.35
_LOAD_GOAL: Final = 1.05
_WORST_LOAD_GOAL: Final = 1.1
_UNHEDGED: Final = HedgingSettings(quantile=1)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Results of one run.

    Attributes
    ----------
    load, worst_load : float
        Requests sent per shard and query, over the run and in the second
        with the highest value.
    started : float
        Requests that backend servers started, per shard and query.
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
    latency_s: Seconds
    coverage: float
    attempts: int


def measure(
    variant: Variant,
    outage: Callable[[WorkRequest], WorkReply | Failure | None] | None,
    query_count: int,
    shards: int = 30,
) -> Outcome:
    """Run the queries with one variant and return the results.

    Parameters
    ----------
    variant : Variant
        Hedging settings and replica choice.
    outage : callable or None
        Answers of one replica of each shard during an outage, which starts
        partway through the run; None for no outage.
    query_count : int
        Number of queries, including the warm-up.
    shards : int
        Number of shards, which is the number of sub-requests per query.
    """
    options = FleetOptions(
        shard_count=shards,
        deadline_s=_DEADLINE_S,
        hedging=variant.hedging,
    )
    fleet = FakeFleet(options, _SEED)
    fleet.service_time_s = _service_time_source(random.Random(_SEED + 1))
    samples = run_in_virtual_time(_run(fleet, variant, outage, query_count))
    measured = samples[min(_WARM_UP_COUNT, query_count // 4) :]
    latencies_s = sorted(sample.latency_s for sample in measured)
    attempts_by_second: dict[int, list[int]] = {}
    for query_sample in samples:
        attempts_by_second.setdefault(int(query_sample.began_s), []).append(
            query_sample.attempts
        )
    requests = query_count * shards
    return Outcome(
        _percentile(latencies_s, 0.5),
        _percentile(latencies_s, 0.99),
        sum(sample.coverage for sample in measured) / len(measured),
        sum(fleet.requests_by_server.values()) / requests,
        max(
            sum(sent) / len(sent) / shards
            for sent in attempts_by_second.values()
        ),
        sum(fleet.started_by_server.values()) / requests,
    )


def _service_time_source(rng: random.Random) -> Callable[[], Seconds]:
    def service_time_s() -> Seconds:
        is_straggler = rng.random() < _STRAGGLER_SHARE
        base_s = rng.lognormvariate(math.log(_MEDIAN_SERVICE_TIME_S), _SIGMA)
        return base_s * _STRAGGLER_FACTOR if is_straggler else base_s

    return service_time_s


async def _run(
    fleet: FakeFleet,
    variant: Variant,
    outage: Callable[[WorkRequest], WorkReply | Failure | None] | None,
    query_count: int,
) -> list[_Sample]:
    """Send queries at random times that don't depend on earlier answers."""
    controller = QueryController(
        fleet.context(),
        UniformObservations() if variant.random_choice else None,
        tracker_factory(variant),
    )
    arrival_rng = random.Random(_SEED + 2)
    async with controller, asyncio.TaskGroup() as tasks:
        query_tasks = []
        for number in range(query_count):
            if (
                outage is not None
                and number == query_count * _OUTAGE_START_SHARE
            ):
                _start_outage(fleet, outage)
            query_tasks.append(
                tasks.create_task(_measure_query(controller, number))
            )
            await asyncio.sleep(arrival_rng.expovariate(_RATE_PER_S))
    return [task.result() for task in query_tasks]


def _start_outage(
    fleet: FakeFleet,
    outage: Callable[[WorkRequest], WorkReply | Failure | None],
) -> None:
    """Start the outage of one replica per shard; schedule its notice."""
    for shard in range(fleet.options.shard_count):
        server = f's{shard}r0'
        fleet.behaviour_by_server[server] = outage
        asyncio.get_running_loop().call_later(
            _LOSS_NOTICE_S,
            partial(fleet.announce, server, state=ServerState.LOST),
        )


async def _measure_query(controller: QueryController, number: int) -> _Sample:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    answer = await controller.answer(
        QueryRequest(f'q{number}', 'find', 'bench', b'{}', _DEADLINE_S),
    )
    latency_s = loop.time() - began_s
    if isinstance(answer, Failure):
        return _Sample(began_s, latency_s, 0, 0)
    return _Sample(began_s, latency_s, answer.coverage, answer.attempts)


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
        hedged.p99_s <= baseline.p99_s * _P99_RATIO_GOAL
        and hedged.load <= _LOAD_GOAL
        and hedged.worst_load <= _WORST_LOAD_GOAL
        and hedged.coverage >= baseline.coverage
    )


def main(query_count: int = _QUERY_COUNT) -> int:
    """Print the results of all outages and hedging alternatives.

    Parameters
    ----------
    query_count : int
        Number of queries per run.

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
