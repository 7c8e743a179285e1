"""One caller process of the open-loop load driver.

Requests start at times that are fixed beforehand, whether earlier ones are
answered or not, and latency counts from the scheduled time.
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
_LONGEST_US: Final = 60 * _US_PER_S
_DIGITS: Final = 3
#: More than any run has in flight, so that the client never delays a request.
_CONNECTION_COUNT: Final = 1_900


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one route with random arrivals at a fixed mean rate.

    Attributes
    ----------
    rank : Rank
        Name under which the requests are reported; the tier takes the rank
        from the settings of the route.
    rate_per_s : float
        Requests per second of all callers together.
    start_s, end_s : float
        Part of the run in which they arrive, in seconds.
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
    """What one caller process does.

    Attributes
    ----------
    start_wall_s : float
        Wall time of the start, in seconds.
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
    """Results of one flow.

    Attributes
    ----------
    latency : bytes
        Encoded histogram of answers in time, in microseconds from the
        scheduled time.
    offered_by_s, answered_by_s : Counter of int
        Requests by the second of their scheduled time.
    codes : Counter of int
        Result codes of requests without an answer in time.
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
    lag : bytes
        Encoded histogram of the delay, in microseconds, with which requests
        left the driver itself.
    processor_s : float
        Processor time of the caller process, in seconds.
    """

    tallies: tuple[FlowTally, ...]
    send_lag: bytes
    processor_s: Seconds


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds up to one minute."""
    return HdrHistogram(1, _LONGEST_US, _DIGITS)


def run_caller(plan: CallerPlan) -> CallerReport:
    """Send the load of one caller process.

    Parameters
    ----------
    plan : CallerPlan
        Load and start.
    """
    return asyncio.run(_Caller(plan).run())


def arrival_times_s(
    flow: Flow,
    duration_s: Seconds,
    draw: random.Random,
) -> Iterator[Seconds]:
    """Yield the scheduled times of a flow, in seconds from the start."""
    if flow.rate_per_s <= 0:
        return
    due_s = flow.start_s + draw.expovariate(flow.rate_per_s)
    while due_s < min(flow.end_s, duration_s):
        yield due_s
        due_s += draw.expovariate(flow.rate_per_s)


class _Caller:
    """State of one run."""

    def __init__(self, plan: CallerPlan) -> None:
        self._plan = plan
        self._tallies = tuple(FlowTally(flow) for flow in plan.flows)
        self._histograms = tuple(new_histogram() for _ in plan.flows)
        self._lag = new_histogram()
        self._started_s: Seconds = 0
        self._client = Client(
            ClientOptions(
                plan.caller,
                plan.addresses,
                plan.data_centre,
                connection_count=_CONNECTION_COUNT,
                tickets_per_claim=1,
            ),
        )

    async def run(self) -> CallerReport:
        """Send everything and wait for the last answer."""
        processor_s = time.process_time()
        await asyncio.sleep(self._plan.start_wall_s - time.time())
        self._started_s = time.monotonic()
        async with self._client, asyncio.TaskGroup() as tasks:
            for due_s, number in self._schedule():
                await asyncio.sleep(self._started_s + due_s - time.monotonic())
                tasks.create_task(self._send(due_s, number))
        return CallerReport(
            tuple(
                replace(tally, latency_histogram=histogram.encode())
                for tally, histogram in zip(
                    self._tallies,
                    self._histograms,
                    strict=True,
                )
            ),
            self._lag.encode(),
            time.process_time() - processor_s,
        )

    def _schedule(self) -> list[tuple[Seconds, int]]:
        """Return scheduled times with numbers of flows, in time order."""
        draw = random.Random(self._plan.seed)
        return sorted(
            (due_s, number)
            for number, flow in enumerate(self._plan.flows)
            for due_s in arrival_times_s(flow, self._plan.duration_s, draw)
        )

    async def _send(self, due_s: Seconds, number: int) -> None:
        flow = self._plan.flows[number]
        lag_s = self._since_s(due_s)
        self._lag.record_value(_microseconds(lag_s))
        # A request that left late has so much less time for its answer.
        left_s = flow.deadline_s - lag_s
        body = {'text': f'{self._plan.caller}-{due_s:.6f}'}
        is_query = flow.kind is WorkKind.QUERY
        ask = self._client.query if is_query else self._client.claim
        self._note(number, due_s, await ask(flow.route, body, left_s))

    def _note(
        self,
        number: int,
        due_s: Seconds,
        answer: QueryResult | ClaimResult | Failure,
    ) -> None:
        tally = self._tallies[number]
        took_s = self._since_s(due_s)
        tally.offered += 1
        tally.offered_by_s[int(due_s)] += 1
        if isinstance(answer, Failure):
            tally.refused += answer.run is RunState.NOT_RUN
            tally.codes[answer.code] += 1
        elif took_s > tally.flow.deadline_s:
            tally.codes[ResultCode.DEADLINE_PASSED] += 1
        else:
            tally.answered += 1
            tally.answered_by_s[int(due_s)] += 1
            tally.coverage_sum += getattr(answer, 'coverage', 1)
            self._histograms[number].record_value(_microseconds(took_s))

    def _since_s(self, due_s: Seconds) -> Seconds:
        return time.monotonic() - self._started_s - due_s


def _microseconds(duration_s: Seconds) -> int:
    return min(max(1, int(duration_s * _US_PER_S)), _LONGEST_US)
