"""Overload control of a daemon's event loop, in virtual time."""

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
REFUSAL_S = 0.001
CONNECTIONS = 400
DEADLINE_S = 2
STEP_S = 0.005
COUNTS = st.fixed_dictionaries({rank: st.integers(0, 5_000) for rank in Rank})


class Loop:
    """An event loop with callers that keep a bounded number of connections.

    A request waits for the loop, then costs `COST_S` if it is admitted or
    `REFUSAL_S`. A refused connection is deferred as by `ReadLimiter`.
    """

    def __init__(self) -> None:
        self.admission = Admission()
        self.waiting = deque()
        self.deferred = deque()
        self.fresh = dict.fromkeys(Rank, CONNECTIONS)
        self.refused = Counter()
        self.demand = Counter()
        self.deferred_tokens = 0.0
        self.busy_s = 0.0
        self.thinnings = {rank: RequestSampler() for rank in Rank}
        self.now_s = 0.0
        self.random = random.Random(1)

    def run(self, duration_s: float, per_s_by_rank) -> Counter:
        """Offer load; return the admitted requests by rank."""
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
            self.demand[rank] += per_s * STEP_S
            count = int(self.demand[rank])
            self.demand[rank] -= count
            fresh = min(count, self.fresh[rank])
            self.fresh[rank] -= fresh
            self.waiting += [(self.now_s, rank)] * fresh
            again = min(count - fresh, self.refused[rank])
            self.refused[rank] -= again
            deferred += [(self.now_s, rank)] * again
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
                self.busy_s += REFUSAL_S

    def _work(self, arrived, admitted, waits_s) -> None:
        self.busy_s = max(0, self.busy_s - STEP_S)
        while self.waiting and self.busy_s < STEP_S:
            since_s, rank = self.waiting.popleft()
            waits_s.append(self.now_s - since_s)
            arrived[rank] += 1
            if self.thinnings[rank].admit(self.admission.share_by_rank[rank]):
                admitted[rank] += 1
                self.fresh[rank] += 1
                self.busy_s += COST_S
            else:
                self.refused[rank] += 1
                self.busy_s += REFUSAL_S


@pytest.mark.parametrize('flood', [Rank.ROUTINE, Rank.DEFERRABLE])
@pytest.mark.parametrize('factor', [2, 5, 50])
def test_urgent_work_gets_through_a_flood(flood, factor):
    """A flood of lower work must not cost urgent work its admission."""
    loop = Loop()
    load = {Rank.URGENT: 100, flood: factor * CAPACITY_PER_S}
    loop.run(5, load)
    admitted = loop.run(10, load)
    assert admitted[Rank.URGENT] >= 0.98 * 1_000
    assert sum(admitted.values()) >= 0.6 * CAPACITY_PER_S * 10


def test_other_ranks_keep_their_floor_in_a_flood_of_urgent_work():
    """Urgent work must not starve the other ranks of this daemon."""
    loop = Loop()
    load = {Rank.URGENT: 4_000, Rank.ROUTINE: 400, Rank.DEFERRABLE: 200}
    loop.run(5, load)
    admitted = loop.run(20, load)
    total = sum(admitted.values())
    assert admitted[Rank.ROUTINE] >= 0.9 * 0.2 * total
    assert admitted[Rank.DEFERRABLE] >= 0.9 * 0.1 * total
    assert admitted[Rank.URGENT] >= 0.6 * total


@pytest.mark.parametrize('normal_per_s', [60, 320])
def test_admission_recovers_within_5_s_after_a_flood(normal_per_s):
    """A daemon that goes on refusing after a flood has caused an outage."""
    loop = Loop()
    loop.run(30, {Rank.URGENT: 20_000, Rank.ROUTINE: 20_000})
    loop.run(5, {Rank.ROUTINE: normal_per_s})
    assert loop.admission.share_by_rank == dict.fromkeys(Rank, 1)
    loop.run(1, {Rank.ROUTINE: normal_per_s})
    assert math.isinf(loop.admission.limit_per_s)


def test_late_loop_without_a_flood_refuses_nothing():
    """A pause of the host must not refuse the few requests that came."""
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
    """Floors are kept, nothing is idle, and lower ranks are refused first."""
    window = LoopWindow(WINDOW_S, lateness_s, arrived, arrived)
    steady = {rank: count / WINDOW_S for rank, count in arrived.items()}
    before = Admission(limit_per_s, expected_per_s_by_rank=steady)
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
def test_thinning_admits_the_share(share, count):
    """Rounding must not turn a floor into nothing."""
    thinning = RequestSampler()
    admitted = sum(thinning.admit(share) for _ in range(count))
    assert share * count - 1e-6 - 1 <= admitted <= share * count + 2


def make_controller():
    """Return a controller with its timers and blackboard."""
    timers, board = VirtualTimers(), Blackboard()
    identity = Identity('h1', 5, 'north', 'r', '', '')
    context = Context(identity, board, timers, None, lambda: 0.5)
    return OverloadController(context, timers.now_s), timers, board


def test_controller_refuses_while_requests_wait(caplog):
    """Requests that wait must start refusals, and operators must see them."""
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


class LateTimers(VirtualTimers):
    """Fires each timer too late, as a busy event loop does."""

    def after(self, delay_s, callback):
        return super().after(delay_s + 0.1, callback)


@pytest.mark.parametrize('busy', [1, 0.5, 0.1])
def test_controller_measures_how_late_its_timer_fires(busy):
    """A loop is overloaded by its own work only, and by all kinds of it."""
    timers = LateTimers()
    controller, _, board = make_controller()
    controller._context = replace(controller._context, timers=timers)
    controller._cpu_time_s = lambda: busy * timers.now_s()
    with controller:
        for _ in range(20):
            for _ in range(40):
                controller.refuse(Rank.ROUTINE)
            timers.advance(0.25)
    assert board.read(ADMISSION).lateness_s == pytest.approx(0.1 * busy)
    assert board.read(ADMISSION).is_limited is (busy > 0.2)


def test_read_limiter_yields_to_timers_and_peers():
    """A burst of requests must not hold the loop until all are parsed."""

    async def run() -> None:
        limiter, turns, passed = ReadLimiter(), [0], []

        async def enter(number: int) -> None:
            await limiter.acquire(deferred=False)
            passed.append((number, turns[0]))

        tasks = [asyncio.create_task(enter(n)) for n in range(80)]
        tasks[50].cancel()
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            turns[0] += 1
        assert [n for n, _ in passed] == [n for n in range(80) if n != 50]
        counts = Counter(turn for _, turn in passed)
        assert max(counts.values()) <= 8

    asyncio.run(run())


def test_read_limiter_defers_connections_that_were_refused():
    """Refusals must not use up the loop when a large flood goes on."""

    async def run() -> None:
        limiter, passed = ReadLimiter(), []

        async def enter(number: int) -> None:
            await limiter.acquire(deferred=number < 60)
            passed.append(number)

        began_s = time.monotonic()
        await asyncio.gather(*map(enter, range(90)))
        assert (
            time.monotonic() - began_s
            >= (60 - 8) / DEFERRED_REQUESTS_PER_S * 0.9
        )
        refused = [number for number in passed if number < 60]
        # The newest go first, as the oldest may have missed their deadlines.
        assert refused == list(reversed(range(60)))
        assert passed[60:] == list(reversed(range(30)))

    asyncio.run(run())
