"""Driver that sends open-loop load to a deployment and summarizes the run."""

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

    #: Time in seconds from the start of a run, and a function called then.
    Action = tuple[Seconds, Callable[[], object]]

_US_PER_S: Final = 1_000_000
_P50: Final = 50
_P99: Final = 99
#: Delay of the common start, in which all caller processes get their plan.
_START_LEAD_S: Final = 0.5
#: Counters of a backend server stand-in that add up to the requests that it
#: received. ``work_run`` includes work that was cancelled after it began.
_RECEIVED_COUNTERS: Final = (
    'work_run',
    'shed',
    'expired',
    'not_held',
    'refused_draining',
)


@dataclass(frozen=True, slots=True)
class RankSummary:
    """Results of the requests of one rank.

    Attributes
    ----------
    offered : int
        Requests that were due.
    answered : int
        Requests answered within the deadline, which counts from the
        scheduled start time.
    refused : int
        Requests that failed with `not_run`. The remaining requests were
        late, failed, or have an unknown outcome.
    p50_s, p99_s : float
        Latency of the answered requests, in seconds.
    coverage : float
        Mean coverage of the answered requests, 0 to 1.
    offered_by_s, answered_by_s : dict of int to int
        Requests by the second of the run in which they were due.
    codes : dict of int to int
        Unanswered requests by result code.
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
        """Share of the offered requests that were answered, 0 to 1."""
        return self.answered / self.offered if self.offered else 0


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Results and resource use of one run.

    Attributes
    ----------
    needed : int
        Requests to backend servers that the queries and claims need if each
        is sent once: one per shard and query, one per claim. Refused requests
        are not counted.
    received : int
        Requests that the backend servers received. Requests on silent
        connections and to servers that do not listen are not counted.
    lag_p99_s : float
        99th percentile of the delay between the scheduled time of a request
        and its sending by the driver, in seconds.
    daemon_s, caller_s : float
        Processor time of all daemons and of all caller processes, in
        seconds.
    duration_s : float
        Time in which requests were due, in seconds.
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
        """Requests received by backend servers per request needed."""
        return self.received / max(1, self.needed)


@dataclass
class LoadDriver:
    """Context manager that owns caller processes, reused by several runs.

    Parameters
    ----------
    caller_count : int
        Number of caller processes.
    """

    caller_count: int = 3
    _pool: ProcessPoolExecutor = field(init=False)

    def __enter__(self) -> Self:
        """Start all caller processes."""
        self._pool = ProcessPoolExecutor(
            self.caller_count,
            multiprocessing.get_context('spawn'),
        )
        # Each task sleeps, so the pool has to start a process for the next.
        wait(
            [
                self._pool.submit(_occupy_process)
                for _ in range(self.caller_count)
            ]
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Shut down the caller processes."""
        self._pool.shutdown(cancel_futures=True)

    def run(
        self,
        fleet: ProcessFleet,
        flows: Sequence[Flow],
        duration_s: Seconds,
        actions: Iterable[Action] = (),
    ) -> LoadSummary:
        """Send the requests of some flows to a fleet and summarize the results.

        Parameters
        ----------
        fleet : ProcessFleet
            Deployment under load; its stand-ins count received requests.
        flows : sequence of Flow
            Load per route; a rate is the total over all callers.
        duration_s : float
            Time in which requests are due, in seconds.
        actions : iterable of (float, callable)
            Functions to call, such as faults, each with its time in seconds
            from the start.
        """
        received_before = _received_count(fleet)
        daemons = tuple(fleet.daemons_by_host.values())
        cpu_before_s = sum(daemon.processor_s() for daemon in daemons)
        start_wall_s = time.time() + _START_LEAD_S
        futures = self._submit_plans(fleet, flows, duration_s, start_wall_s)
        for at_s, run_action in sorted(actions, key=_action_time_s):
            time.sleep(max(0, start_wall_s + at_s - time.time()))
            run_action()
        reports = [future.result() for future in futures]
        # Replaced daemons have exited, so their processor time can't be read.
        alive = [daemon for daemon in daemons if daemon.process.poll() is None]
        cpu_after_s = sum(daemon.processor_s() for daemon in alive)
        return _summarize(
            reports,
            _shards_by_route(fleet),
            _received_count(fleet) - received_before,
            cpu_after_s - cpu_before_s,
            duration_s,
        )

    def _submit_plans(
        self,
        fleet: ProcessFleet,
        flows: Sequence[Flow],
        duration_s: Seconds,
        start_wall_s: Seconds,
    ) -> list[Future[CallerReport]]:
        data_centres = fleet.shape.data_centres
        share = 1 / self.caller_count
        return [
            self._pool.submit(
                run_caller,
                CallerPlan(
                    f'caller-{number}',
                    fleet.addresses,
                    data_centres[number % len(data_centres)],
                    tuple(_scale_rate(flow, share) for flow in flows),
                    duration_s,
                    start_wall_s,
                    number,
                ),
            )
            for number in range(self.caller_count)
        ]


def _occupy_process() -> None:
    time.sleep(_START_LEAD_S)


def _action_time_s(action: Action) -> Seconds:
    return action[0]


def _scale_rate(flow: Flow, share: float) -> Flow:
    return Flow(
        flow.route,
        flow.kind,
        flow.rank,
        flow.rate_per_s * share,
        flow.deadline_s,
        flow.start_s,
        flow.end_s,
    )


def _received_count(fleet: ProcessFleet) -> int:
    return sum(
        report['counters'][name]
        for report in fleet.server_reports().values()
        for name in _RECEIVED_COUNTERS
    )


def _shards_by_route(fleet: ProcessFleet) -> dict[RouteName, int]:
    shards = {service.name: service.shards for service in fleet.shape.services}
    return {
        name: shards[route.service] if route.form is WorkKind.QUERY else 1
        for name, route in fleet.settings.routes.items()
    }


def _sum_counters(counters: Iterable[Counter[int]]) -> dict[int, int]:
    return dict(sum(counters, Counter()))


def _merge_histograms(encoded: Iterable[bytes]) -> HdrHistogram:
    histogram = new_histogram()
    for histogram_bytes in encoded:
        histogram.add(HdrHistogram.decode(histogram_bytes))
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
    for tally in chain.from_iterable(report.tallies for report in reports):
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
        _quantile_s(
            _merge_histograms(report.send_lag_histogram for report in reports),
            _P99,
        ),
        daemon_s,
        sum(report.processor_s for report in reports),
        duration_s,
    )


def _summarize_rank(tallies: Sequence[FlowTally]) -> RankSummary:
    histogram = _merge_histograms(tally.latency_histogram for tally in tallies)
    answered = sum(tally.answered for tally in tallies)
    coverage_sum = sum(tally.coverage_sum for tally in tallies)
    return RankSummary(
        sum(tally.offered for tally in tallies),
        answered,
        sum(tally.refused for tally in tallies),
        _quantile_s(histogram, _P50),
        _quantile_s(histogram, _P99),
        coverage_sum / answered if answered else 0,
        _sum_counters(tally.offered_by_s for tally in tallies),
        _sum_counters(tally.answered_by_s for tally in tallies),
        _sum_counters(tally.codes for tally in tallies),
    )
