"""Open-loop load on a deployment of real processes, and its summary."""

from __future__ import annotations

import multiprocessing
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, wait
from dataclasses import dataclass, field
from itertools import chain
from typing import TYPE_CHECKING, Any, Final, Self

from hdrh.histogram import HdrHistogram

from boragespool.bench.caller import (
    CallerPlan,
    CallerReport,
    Flow,
    FlowTally,
    new_histogram,
    run_caller,
)
from boragespool.types import Rank, Seconds, WorkKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from concurrent.futures import Future

    from boragespool.bench.process_fleet import ProcessFleet
    from boragespool.types import RouteName

    #: Fault or change at a time of the run, in seconds from its start.
    Action = tuple[Seconds, Callable[[], object]]

_US_PER_S: Final = 1_000_000
_P50: Final = 50
_P99: Final = 99
#: Until all caller processes wait for the start.
_LEAD_S: Final = 0.5
#: Counters of everything that arrives at a backend server stand-in. Work
#: that is cancelled after its begin is part of ``work_run``.
_ARRIVALS: Final = (
    'work_run',
    'shed',
    'expired',
    'not_held',
    'refused_draining',
)


@dataclass(frozen=True, slots=True)
class RankSummary:
    """Service of one rank.

    Attributes
    ----------
    answered : int
        Answers within the deadline, counted from the scheduled time.
    refused : int
        Refusals that say `not_run`; what remains was late, failed, or is
        unknown.
    p50_s, p99_s : float
        Latency of the answers in time, in seconds.
    coverage : float
        Mean coverage of the answers in time, 0 to 1.
    """

    offered: int
    answered: int
    refused: int
    p50_s: Seconds
    p99_s: Seconds
    coverage: float
    offered_by_s: dict[int, int]
    answered_by_s: dict[int, int]
    codes: dict[int, int]

    @property
    def answered_share(self) -> float:
        """Answered requests per offered request, 0 to 1."""
        return self.answered / self.offered if self.offered else 0


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Figures of one run.

    Attributes
    ----------
    needed : int
        Shard requests of all queries and claims that were not refused.
    received : int
        Requests that arrived at backend servers. Requests on silent
        connections and to servers that do not listen are not counted.
    lag_p99_s : float
        Delay with which requests left the driver itself, in seconds.
    daemon_s, caller_s : float
        Processor time of all daemons and of all caller processes, in
        seconds.
    """

    by_rank: dict[Rank, RankSummary]
    needed: int
    received: int
    lag_p99_s: Seconds
    daemon_s: Seconds
    caller_s: Seconds
    duration_s: Seconds

    @property
    def load(self) -> float:
        """Requests received per request needed."""
        return self.received / max(1, self.needed)


@dataclass
class LoadDriver:
    """Caller processes that last for several runs, a context manager."""

    caller_count: int = 3
    _pool: ProcessPoolExecutor = field(init=False)

    def __enter__(self) -> Self:
        """Start the processes and import what they need."""
        self._pool = ProcessPoolExecutor(
            self.caller_count,
            multiprocessing.get_context('spawn'),
        )
        # A sleep keeps each process busy until all others have started.
        wait([self._pool.submit(_import_all) for _ in range(self.caller_count)])
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End the processes."""
        self._pool.shutdown(cancel_futures=True)

    def run(
        self,
        fleet: ProcessFleet,
        flows: Sequence[Flow],
        duration_s: Seconds,
        actions: Iterable[Action] = (),
    ) -> LoadSummary:
        """Send a load to a fleet.

        Parameters
        ----------
        fleet : ProcessFleet
            Target; its backend servers count what they receive.
        flows : sequence of Flow
            Mix of routes; the rates are those of all callers together.
        duration_s : float
            Time in which requests start, in seconds.
        actions : iterable of (float, callable)
            Faults and changes, each at a time in seconds from the start.
        """
        received = _received(fleet)
        daemons = tuple(fleet.daemons_by_host.values())
        began_s = sum(daemon.processor_s() for daemon in daemons)
        start_wall_s = time.time() + _LEAD_S
        reports = self._start(fleet, flows, duration_s, start_wall_s)
        for at_s, act in sorted(actions, key=_time_of):
            time.sleep(max(0, start_wall_s + at_s - time.time()))
            act()
        done = [report.result() for report in reports]
        alive = [one for one in daemons if one.process.poll() is None]
        ended_s = sum(daemon.processor_s() for daemon in alive)
        return _summarize(
            done,
            _shards_by_route(fleet),
            _received(fleet) - received,
            ended_s - began_s,
            duration_s,
        )

    def _start(
        self,
        fleet: ProcessFleet,
        flows: Sequence[Flow],
        duration_s: Seconds,
        start_wall_s: Seconds,
    ) -> list[Future[CallerReport]]:
        sites = fleet.shape.data_centres
        share = 1 / self.caller_count
        return [
            self._pool.submit(
                run_caller,
                CallerPlan(
                    f'caller-{number}',
                    fleet.addresses,
                    sites[number % len(sites)],
                    tuple(_scaled(flow, share) for flow in flows),
                    duration_s,
                    start_wall_s,
                    number,
                ),
            )
            for number in range(self.caller_count)
        ]


def _import_all() -> None:
    time.sleep(_LEAD_S)


def _time_of(action: Action) -> Seconds:
    return action[0]


def _scaled(flow: Flow, share: float) -> Flow:
    return Flow(
        flow.route,
        flow.kind,
        flow.rank,
        flow.rate_per_s * share,
        flow.deadline_s,
        flow.start_s,
        flow.end_s,
    )


def _received(fleet: ProcessFleet) -> int:
    return sum(
        report['counters'][name]
        for report in fleet.reports().values()
        for name in _ARRIVALS
    )


def _shards_by_route(fleet: ProcessFleet) -> dict[RouteName, int]:
    shards = {service.name: service.shards for service in fleet.shape.services}
    return {
        name: shards[route.service] if route.form is WorkKind.QUERY else 1
        for name, route in fleet.settings.routes.items()
    }


def _added(counters: Iterable[Counter[int]]) -> dict[int, int]:
    return dict(sum(counters, Counter()))


def _merged(encoded: Iterable[bytes]) -> HdrHistogram:
    histogram = new_histogram()
    for one in encoded:
        histogram.add(HdrHistogram.decode(one))
    return histogram


def _quantile_s(histogram: HdrHistogram, percentile: float) -> Seconds:
    microseconds: Any = histogram.get_value_at_percentile(percentile)
    return float(microseconds) / _US_PER_S


def _summarize(
    reports: Sequence[CallerReport],
    shards_by_route: dict[RouteName, int],
    received: int,
    daemon_s: Seconds,
    duration_s: Seconds,
) -> LoadSummary:
    tallies_by_rank: dict[Rank, list[FlowTally]] = {}
    needed = 0
    for tally in chain.from_iterable(one.tallies for one in reports):
        tallies_by_rank.setdefault(tally.flow.rank, []).append(tally)
        shards = shards_by_route[tally.flow.route]
        needed += (tally.offered - tally.refused) * shards
    return LoadSummary(
        {
            rank: _summarize_rank(tallies)
            for rank, tallies in tallies_by_rank.items()
        },
        needed,
        received,
        _quantile_s(_merged(one.lag for one in reports), _P99),
        daemon_s,
        sum(one.processor_s for one in reports),
        duration_s,
    )


def _summarize_rank(tallies: Sequence[FlowTally]) -> RankSummary:
    histogram = _merged(tally.latency for tally in tallies)
    answered = sum(tally.answered for tally in tallies)
    covered = sum(tally.coverage_sum for tally in tallies)
    return RankSummary(
        sum(tally.offered for tally in tallies),
        answered,
        sum(tally.refused for tally in tallies),
        _quantile_s(histogram, _P50),
        _quantile_s(histogram, _P99),
        covered / answered if answered else 0,
        _added(tally.offered_by_s for tally in tallies),
        _added(tally.answered_by_s for tally in tallies),
        _added(tally.codes for tally in tallies),
    )
