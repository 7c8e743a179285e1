"""One caller process of the open-loop load driver.

Requests are sent at times drawn in advance, whether earlier ones are answered
or not. Latency counts from the scheduled time, so it includes delays of the
driver itself.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

from boragespool.client import Client, ClientOptions
from boragespool.client.answers import ClaimResult, QueryResult
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState, WorkKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragespool.types import (
        Address,
        CallerName,
        DataCentre,
        Rank,
        RouteName,
        Seconds,
    )

_US_PER_S: Final = 1_000_000
_MAX_LATENCY_US: Final = 60 * _US_PER_S
_SIGNIFICANT_DIGITS: Final = 3
#: Above the number of requests that any benchmark has in flight, so that no
#: request waits for a free connection of the client.
_MAX_CONNECTION_COUNT: Final = 1_900


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one route with Poisson arrivals at a fixed mean rate.

    Attributes
    ----------
    route : str
        Name of the route.
    kind : WorkKind
        Whether to send queries or claims.
    rank : Rank
        Rank under which the results are reported. It is not sent; the daemons
        take the rank from the settings of the route.
    rate_per_s : float
        Mean number of requests per second: of all callers together in the
        load of a run, of one caller in its plan.
    deadline_s : float
        Time allowed for the answer, in seconds from the scheduled time.
    start_s, end_s : float
        Period in which requests arrive, in seconds from the start of the run.
    """

    route: RouteName
    kind: WorkKind
    rank: Rank
    rate_per_s: float
    deadline_s: Seconds
    start_s: Seconds = 0
    end_s: Seconds = float('inf')


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """Load that one caller process sends.

    Attributes
    ----------
    caller : str
        Name of the caller, sent with each request.
    addresses : tuple of str
        ``ip:port`` of the daemons.
    data_centre : str
        Data centre that the client prefers.
    flows : tuple of Flow
        Requests to send, with the rates of this caller alone.
    duration_s : float
        Length of the run, in seconds.
    start_wall_s : float
        Unix time at which the run starts, the same for all callers.
    seed : int
        Seed of the arrival times.
    """

    caller: CallerName
    addresses: tuple[Address, ...]
    data_centre: DataCentre
    flows: tuple[Flow, ...]
    duration_s: Seconds
    start_wall_s: Seconds
    seed: int


@dataclass(slots=True)
class FlowTally:
    """Counts and latencies of one flow.

    Attributes
    ----------
    flow : Flow
        Requests that were sent.
    offered : int
        Number of requests sent.
    answered : int
        Number of answers within the deadline.
    refused : int
        Number of failures that state that the request was not run.
    coverage_sum : float
        Sum of the coverage of the answers within the deadline; a claim counts
        as 1.
    latency_histogram : bytes
        Encoded histogram of the latency of answers within the deadline, in
        microseconds from the scheduled time.
    offered_by_s, answered_by_s : Counter of int
        `offered` and `answered` by the second of the scheduled time.
    codes : Counter of int
        Result codes of requests without an answer within the deadline.
    """

    flow: Flow
    offered: int = 0
    answered: int = 0
    refused: int = 0
    coverage_sum: float = 0
    latency_histogram: bytes = b''
    offered_by_s: Counter[int] = field(default_factory=Counter)
    answered_by_s: Counter[int] = field(default_factory=Counter)
    codes: Counter[int] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class CallerReport:
    """Results of one caller process.

    Attributes
    ----------
    tallies : tuple of FlowTally
        Results in the order of the flows.
    send_lag_histogram : bytes
        Encoded histogram of the time from the scheduled to the actual start
        of each request, in microseconds. High values mean that the driver
        itself is overloaded.
    processor_s : float
        Processor time that the caller process used, in seconds.
    """

    tallies: tuple[FlowTally, ...]
    send_lag_histogram: bytes
    processor_s: Seconds


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds up to one minute."""
    return HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


def run_caller(plan: CallerPlan) -> CallerReport:
    """Send the load of one caller process and wait for all answers.

    Parameters
    ----------
    plan : CallerPlan
        Requests to send and time of the start.
    """
    return asyncio.run(_CallerRun(plan).run())


def arrival_times_s(
    flow: Flow,
    duration_s: Seconds,
    rng: random.Random,
) -> Iterator[Seconds]:
    """Yield the scheduled times of a flow, in seconds from the start.

    Intervals are exponentially distributed.
    """
    if flow.rate_per_s <= 0:
        return
    due_s = flow.start_s + rng.expovariate(flow.rate_per_s)
    while due_s < min(flow.end_s, duration_s):
        yield due_s
        due_s += rng.expovariate(flow.rate_per_s)


class _CallerRun:
    def __init__(self, plan: CallerPlan) -> None:
        self._plan = plan
        self._tallies = tuple(FlowTally(flow) for flow in plan.flows)
        self._histograms = tuple(new_histogram() for _ in plan.flows)
        self._send_lag_histogram = new_histogram()
        self._started_s: Seconds = 0
        self._client = Client(
            ClientOptions(
                plan.caller,
                plan.addresses,
                plan.data_centre,
                connection_count=_MAX_CONNECTION_COUNT,
                tickets_per_claim=1,
            ),
        )

    async def run(self) -> CallerReport:
        """Send all requests and wait for the last answer."""
        processor_s = time.process_time()
        await asyncio.sleep(self._plan.start_wall_s - time.time())
        self._started_s = time.monotonic()
        async with self._client, asyncio.TaskGroup() as tasks:
            for due_s, flow_index in self._schedule():
                await asyncio.sleep(self._started_s + due_s - time.monotonic())
                tasks.create_task(self._send(due_s, flow_index))
        return CallerReport(
            tuple(
                replace(tally, latency_histogram=histogram.encode())
                for tally, histogram in zip(
                    self._tallies,
                    self._histograms,
                    strict=True,
                )
            ),
            self._send_lag_histogram.encode(),
            time.process_time() - processor_s,
        )

    def _schedule(self) -> list[tuple[Seconds, int]]:
        """Return scheduled times with the index of the flow, sorted by time."""
        rng = random.Random(self._plan.seed)
        return sorted(
            (due_s, flow_index)
            for flow_index, flow in enumerate(self._plan.flows)
            for due_s in arrival_times_s(flow, self._plan.duration_s, rng)
        )

    async def _send(self, due_s: Seconds, flow_index: int) -> None:
        flow = self._plan.flows[flow_index]
        send_lag_s = self._elapsed_since_s(due_s)
        self._send_lag_histogram.record_value(_microseconds(send_lag_s))
        # The deadline counts from the scheduled time, so a request that is sent
        # late has less time left.
        remaining_s = flow.deadline_s - send_lag_s
        body = {'text': f'{self._plan.caller}-{due_s:.6f}'}
        is_query = flow.kind is WorkKind.QUERY
        send_request = self._client.query if is_query else self._client.claim
        self._record_answer(
            flow_index, due_s, await send_request(flow.route, body, remaining_s)
        )

    def _record_answer(
        self,
        flow_index: int,
        due_s: Seconds,
        answer: QueryResult | ClaimResult | Failure,
    ) -> None:
        tally = self._tallies[flow_index]
        latency_s = self._elapsed_since_s(due_s)
        tally.offered += 1
        tally.offered_by_s[int(due_s)] += 1
        if isinstance(answer, Failure):
            tally.refused += answer.run is RunState.NOT_RUN
            tally.codes[answer.code] += 1
        elif latency_s > tally.flow.deadline_s:
            tally.codes[ResultCode.DEADLINE_PASSED] += 1
        else:
            tally.answered += 1
            tally.answered_by_s[int(due_s)] += 1
            tally.coverage_sum += getattr(answer, 'coverage', 1)
            self._histograms[flow_index].record_value(_microseconds(latency_s))

    def _elapsed_since_s(self, due_s: Seconds) -> Seconds:
        return time.monotonic() - self._started_s - due_s


def _microseconds(duration_s: Seconds) -> int:
    return min(max(1, int(duration_s * _US_PER_S)), _MAX_LATENCY_US)
