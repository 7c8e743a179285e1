"""Overload control: admission by rank, controller and read limiter."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections import Counter, deque
from dataclasses import replace
from statistics import mean
from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import ADMISSION
from boragespool.controllers.callers.overload import OverloadController
from boragespool.controllers.context import Context, Identity
from boragespool.http.read_limiter import DEFERRED_REQUESTS_PER_S, ReadLimiter
from boragespool.ranks.overload import (
    MIN_LIMIT_PER_S,
    TARGET_LATENESS_S,
    Admission,
    LoopWindow,
    RequestSampler,
    next_admission,
)
from boragespool.results import ResultCode
from boragespool.timers import VirtualTimers
from boragespool.types import Rank

FLOORS = {Rank.URGENT: 0.2, Rank.ROUTINE: 0.2, Rank.DEFERRABLE: 0.1}
WINDOW_S = 0.25
CAPACITY_PER_S = 400
COST_S = 1 / CAPACITY_PER_S
REFUSAL_COST_S = 0.001
CONNECTION_COUNT = 400
DEADLINE_S = 2
STEP_S = 0.005
COUNTS = st.fixed_dictionaries({rank: st.integers(0, 5_000) for rank in Rank})


class SimulatedLoop:
    """Event loop in virtual time, with a bounded number of connections.

    A request waits for the loop and then takes `COST_S` if it is admitted,
    else `REFUSAL_COST_S`. The next request on a connection whose last one
    was refused is deferred, as by `ReadLimiter`.

    Attributes
    ----------
    idle_connections : dict of Rank to int
        Idle connections that are not deferred.
    refused : Counter
        Idle connections by rank whose last request was refused.
    busy_s : float
        Time for which the loop is busy with work that it has begun.
    """

    def __init__(self) -> None:
        self.admission = Admission()
        self.waiting = deque()
        self.deferred = deque()
        self.idle_connections = dict.fromkeys(Rank, CONNECTION_COUNT)
        self.refused = Counter()
        self.pending_arrivals = Counter()
        self.deferred_tokens = 0.0
        self.busy_s = 0.0
        self.samplers = {rank: RequestSampler() for rank in Rank}
        self.now_s = 0.0
        self.random = random.Random(1)

    def run(self, duration_s: float, per_s_by_rank) -> Counter:
        """Offer requests at a rate by rank; return those admitted by rank."""
        total = Counter()
        for _ in range(round(duration_s / WINDOW_S)):
            arrived, admitted, waits_s = Counter(), Counter(), [0.0]
            for _ in range(round(WINDOW_S / STEP_S)):
                self.now_s += STEP_S
                self._arrive(per_s_by_rank)
                self._work(arrived, admitted, waits_s)
            window = LoopWindow(WINDOW_S, mean(waits_s), arrived, admitted)
            self.admission = next_admission(self.admission, window, FLOORS)
            total += admitted
        return total

    def _arrive(self, per_s_by_rank) -> None:
        deferred = []
        for rank, per_s in per_s_by_rank.items():
            self.pending_arrivals[rank] += per_s * STEP_S
            count = int(self.pending_arrivals[rank])
            self.pending_arrivals[rank] -= count
            sent = min(count, self.idle_connections[rank])
            self.idle_connections[rank] -= sent
            self.waiting += [(self.now_s, rank)] * sent
            retried = min(count - sent, self.refused[rank])
            self.refused[rank] -= retried
            deferred += [(self.now_s, rank)] * retried
        self.random.shuffle(deferred)
        self.deferred += deferred
        self.deferred_tokens = min(
            8, self.deferred_tokens + DEFERRED_REQUESTS_PER_S * STEP_S
        )
        while self.deferred and self.deferred_tokens >= 1:
            self.deferred_tokens -= 1
            since_s, rank = self.deferred.pop()
            # Waiting for the read limiter does not count as loop lateness.
            if self.now_s - since_s < DEADLINE_S:
                self.waiting.append((self.now_s, rank))
            else:
                self.refused[rank] += 1
                self.busy_s += REFUSAL_COST_S

    def _work(self, arrived, admitted, waits_s) -> None:
        self.busy_s = max(0, self.busy_s - STEP_S)
        while self.waiting and self.busy_s < STEP_S:
            since_s, rank = self.waiting.popleft()
            waits_s.append(self.now_s - since_s)
            arrived[rank] += 1
            if self.samplers[rank].admit(self.admission.share_by_rank[rank]):
                admitted[rank] += 1
                self.idle_connections[rank] += 1
                self.busy_s += COST_S
            else:
                self.refused[rank] += 1
                self.busy_s += REFUSAL_COST_S


@pytest.mark.parametrize('flood', [Rank.ROUTINE, Rank.DEFERRABLE])
@pytest.mark.parametrize('factor', [2, 5, 50])
def test_urgent_work_gets_through_a_flood(flood, factor):
    """A flood of a lower rank must not make the daemon refuse urgent work.

    Refusals that ignore the rank hit urgent work in proportion.
    """
    loop = SimulatedLoop()
    load = {Rank.URGENT: 100, flood: factor * CAPACITY_PER_S}
    loop.run(5, load)
    admitted = loop.run(10, load)
    assert admitted[Rank.URGENT] >= 0.98 * 1_000
    assert sum(admitted.values()) >= 0.6 * CAPACITY_PER_S * 10


def test_other_ranks_keep_their_floor_in_a_flood_of_urgent_work():
    """A flood of urgent work must leave the other ranks their floors."""
    loop = SimulatedLoop()
    load = {Rank.URGENT: 4_000, Rank.ROUTINE: 400, Rank.DEFERRABLE: 200}
    loop.run(5, load)
    admitted = loop.run(20, load)
    total = sum(admitted.values())
    assert admitted[Rank.ROUTINE] >= 0.9 * 0.2 * total
    assert admitted[Rank.DEFERRABLE] >= 0.9 * 0.1 * total
    assert admitted[Rank.URGENT] >= 0.6 * total


@pytest.mark.parametrize('normal_per_s', [60, 320])
def test_admission_recovers_within_5_s_after_a_flood(normal_per_s):
    """Admission must return to normal within 5 s after a flood.

    A limit that rises too slowly refuses normal load, an outage of its own.
    """
    loop = SimulatedLoop()
    loop.run(30, {Rank.URGENT: 20_000, Rank.ROUTINE: 20_000})
    loop.run(5, {Rank.ROUTINE: normal_per_s})
    assert loop.admission.share_by_rank == dict.fromkeys(Rank, 1)
    loop.run(1, {Rank.ROUTINE: normal_per_s})
    assert math.isinf(loop.admission.limit_per_s)


def test_late_loop_without_a_flood_refuses_nothing():
    """A late event loop must not lead to refusals below the minimum limit.

    A pause of the host makes the loop late without any overload.
    """
    arrived = {Rank.DEFERRABLE: int(MIN_LIMIT_PER_S * WINDOW_S)}
    admission = Admission()
    for _ in range(20):
        window = LoopWindow(WINDOW_S, 2, arrived, arrived)
        admission = next_admission(admission, window, FLOORS)
        assert not admission.is_limited


@settings(derandomize=True, max_examples=300)
@given(
    arrived=COUNTS,
    limit_per_s=st.floats(MIN_LIMIT_PER_S, 5_000),
    lateness_s=st.floats(0, 5),
)
def test_shares_keep_floors_and_order(arrived, limit_per_s, lateness_s):
    """Admitted shares must keep the floors, use the limit and follow ranks.

    Errors in the shares starve a rank, waste capacity, or refuse a higher
    rank before a lower one.
    """
    window = LoopWindow(WINDOW_S, lateness_s, arrived, arrived)
    expected_per_s = {rank: count / WINDOW_S for rank, count in arrived.items()}
    before = Admission(limit_per_s, expected_per_s_by_rank=expected_per_s)
    after = next_admission(before, window, FLOORS)
    limit = after.limit_per_s * WINDOW_S
    admitted = {r: arrived[r] * after.share_by_rank[r] for r in Rank}
    total = sum(arrived.values())
    assert sum(admitted.values()) == pytest.approx(min(total, limit))
    for rank in Rank:
        assert 0 <= after.share_by_rank[rank] <= 1
        floor = min(arrived[rank], FLOORS[rank] * limit)
        assert admitted[rank] >= floor * 0.999
    ranks = list(Rank)
    for higher, lower in zip(ranks, ranks[1:], strict=False):
        if admitted[lower] > FLOORS[lower] * limit * 1.001:
            assert after.share_by_rank[higher] == pytest.approx(1)
    assert after.limit_per_s >= MIN_LIMIT_PER_S
    if lateness_s > TARGET_LATENESS_S and total > limit:
        assert after.limit_per_s <= max(MIN_LIMIT_PER_S, limit_per_s)


@settings(derandomize=True)
@given(share=st.floats(0, 1), count=st.integers(1, 400))
def test_sampler_admits_the_share(share, count):
    """A sampler must admit its share of any number of requests.

    Rounded per request or window, a small share would admit none.
    """
    sampler = RequestSampler()
    admitted = sum(sampler.admit(share) for _ in range(count))
    assert share * count - 1e-6 - 1 <= admitted <= share * count + 2


def make_controller():
    """Return a controller with its virtual timers and blackboard."""
    timers, board = VirtualTimers(), Blackboard()
    identity = Identity('h1', 5, 'north', 'r', '', '')
    context = Context(identity, board, timers, None, lambda: 0.5)
    return OverloadController(context, timers.now_s), timers, board


def test_controller_refuses_while_requests_wait(caplog):
    """Long waits must start refusals and end them, each with log events.

    Only the lower rank is refused, and the number of events is bounded.
    """
    controller, timers, board = make_controller()
    refused = Counter()
    with (
        controller,
        caplog.at_level('INFO', 'boragespool'),
        patch.object(logging.getLogger('boragespool'), 'propagate', new=True),
    ):
        for step in range(40):
            for rank in (Rank.URGENT, *[Rank.DEFERRABLE] * 20):
                failure = controller.refuse(rank)
                refused[rank] += failure is not None
                assert failure is None or (
                    failure.code == ResultCode.OVERLOADED
                    and failure.run == 'not_run'
                    and failure.retry_after_s > 0
                )
            controller.record_wait(0.3 if step < 20 else 0)
            timers.advance(0.05)
        assert refused[Rank.URGENT] == 0
        assert refused[Rank.DEFERRABLE] > 100
        assert board.read(ADMISSION).is_limited
        timers.advance(5)
        assert math.isinf(board.read(ADMISSION).limit_per_s)
    shares = [
        (record.shares_before['deferrable'], record.shares['deferrable'])
        for record in caplog.records
        if record.event == 202
    ]
    assert shares[0][0] == 1
    assert shares[-1][1] == 1
    assert 2 < len(shares) < 12


class DelayedTimers(VirtualTimers):
    """Timers that fire 0.1 s late, as in a busy event loop."""

    def after(self, delay_s, callback):
        return super().after(delay_s + 0.1, callback)


@pytest.mark.parametrize('cpu_share', [1, 0.5, 0.1])
def test_controller_measures_how_late_its_timer_fires(cpu_share):
    """Lateness must count only as far as the daemon used the processor.

    On a host that is busy with other processes the loop is late as well,
    but refusals would not help.
    """
    timers = DelayedTimers()
    controller, _, board = make_controller()
    controller._context = replace(controller._context, timers=timers)
    controller._cpu_time_s = lambda: cpu_share * timers.now_s()
    with controller:
        for _ in range(20):
            for _ in range(40):
                controller.refuse(Rank.ROUTINE)
            timers.advance(0.25)
    assert board.read(ADMISSION).lateness_s == pytest.approx(0.1 * cpu_share)
    assert board.read(ADMISSION).is_limited is (cpu_share > 0.2)


def test_read_limiter_yields_to_timers_and_peers():
    """At most 8 requests may be parsed in one iteration of the loop.

    A burst that is parsed at once delays timers and messages of peers.
    """

    async def run() -> None:
        limiter, iterations, granted = ReadLimiter(), [0], []

        async def enter(number: int) -> None:
            await limiter.acquire(deferred=False)
            granted.append((number, iterations[0]))

        tasks = [asyncio.create_task(enter(n)) for n in range(80)]
        tasks[50].cancel()
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            iterations[0] += 1
        assert [n for n, _ in granted] == [n for n in range(80) if n != 50]
        counts = Counter(iteration for _, iteration in granted)
        assert max(counts.values()) <= 8

    asyncio.run(run())


def test_read_limiter_defers_connections_that_were_refused():
    """Connections whose last request was refused must be rate-limited.

    In a large flood their retries would use the whole event loop. Others
    go first.
    """

    async def run() -> None:
        limiter, granted = ReadLimiter(), []

        async def enter(number: int) -> None:
            await limiter.acquire(deferred=number < 60)
            granted.append(number)

        began_s = time.monotonic()
        await asyncio.gather(*map(enter, range(90)))
        assert (
            time.monotonic() - began_s
            >= (60 - 8) / DEFERRED_REQUESTS_PER_S * 0.9
        )
        refused = [number for number in granted if number < 60]
        # The newest go first: the oldest may have missed their deadlines.
        assert refused == list(reversed(range(60)))
        assert granted[60:] == list(reversed(range(30)))

    asyncio.run(run())
