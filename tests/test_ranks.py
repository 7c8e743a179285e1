"""Scheduler of one backend server: ranks, floors, caps and refusals."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.ranks import QueuedWork, ServerQueue
from boragespool.results import ResultCode
from boragespool.settings import RankSettings
from boragespool.types import Rank

URGENT, ROUTINE, DEFERRABLE = Rank
FLOORS = {
    URGENT: RankSettings(floor=0.2, cap=1),
    ROUTINE: RankSettings(floor=0.2, cap=0.8),
    DEFERRABLE: RankSettings(floor=0.1, cap=0.4),
}
NO_FLOORS = {
    URGENT: RankSettings(cap=1, queue_limit=6),
    ROUTINE: RankSettings(cap=0.6, queue_limit=6),
    DEFERRABLE: RankSettings(cap=0.4, queue_limit=6),
}
NAMES = (f'w{number}' for number in itertools.count())


def work(rank, caller='c', deadline_at_s=1e9, **options):
    """Return work with a new attempt id."""
    return QueuedWork(next(NAMES), rank, caller, deadline_at_s, **options)


def enqueue_all(queue, rank, count, now_s=0, **options):
    """Enqueue work that must be accepted, `count` times; return it."""
    enqueued = [work(rank, **options) for _ in range(count)]
    for each in enqueued:
        assert not queue.enqueue(each, now_s)
    return enqueued


class ReferenceQueue:
    """Reference implementation of the scheduler without floors, on lists."""

    def __init__(self, slots):
        self.slots = slots
        self.caller_order = {rank: deque() for rank in Rank}
        self.waiting = {rank: [] for rank in Rank}
        self.running = []

    def enqueue(self, new):
        self.waiting[new.rank].append(new)
        if new.caller not in self.caller_order[new.rank]:
            self.caller_order[new.rank].append(new.caller)

    def record_enqueue(self, new, refused):
        if new not in refused:
            self.enqueue(new)
            for each in refused:
                self.remove(each)
            return
        # Only a caller that has its fair share of the queue may be refused.
        waiting = self.waiting[new.rank]
        own = sum(w.caller == new.caller for w in waiting)
        callers = {w.caller for w in waiting} | {new.caller}
        assert own >= 6 // len(callers)

    def remove(self, old):
        self.waiting[old.rank].remove(old)
        if not any(w.caller == old.caller for w in self.waiting[old.rank]):
            self.caller_order[old.rank].remove(old.caller)

    def below_cap(self, rank):
        held = sum(w.rank == rank for w in self.running)
        return held < max(1, int(NO_FLOORS[rank].cap * self.slots + 1e-9))

    def schedule(self):
        started = []
        while len(self.running) < self.slots:
            ranks = [rank for rank in Rank if self.waiting[rank]]
            ranks.sort(key=lambda rank: not self.below_cap(rank))
            if not ranks:
                break
            caller = self.caller_order[ranks[0]][0]
            chosen = next(
                w for w in self.waiting[ranks[0]] if w.caller == caller
            )
            self.remove(chosen)
            if caller in self.caller_order[ranks[0]]:
                self.caller_order[ranks[0]].rotate(-1)
            self.running.append(chosen)
            started.append(chosen)
        return started


def random_operations(seed, count=150):
    """Yield random operations that fill the queues part of the time."""
    draw = random.Random(seed)
    enqueue_probability = draw.uniform(0.4, 0.8)
    for _ in range(count):
        if draw.random() < enqueue_probability:
            yield 'offer', draw.choice(list(Rank)), draw.choice('abc')
        else:
            name = draw.choice(('finish', 'finish', 'withdraw'))
            yield name, draw.randrange(10), ''


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(), st.integers(1, 5))
def test_schedule_matches_the_reference(seed, slots):
    """The scheduler must agree with the reference after each operation.

    Otherwise ranks, caps or the round-robin of callers are wrong, or work
    is lost or started twice.
    """
    queue, reference = ServerQueue(slots, NO_FLOORS), ReferenceQueue(slots)
    for now_s, (operation, argument, caller) in enumerate(
        random_operations(seed)
    ):
        if operation == 'offer':
            new = work(argument, caller)
            reference.record_enqueue(
                new, [w.work for w in queue.enqueue(new, now_s)]
            )
        elif operation == 'finish' and reference.running:
            done = reference.running.pop(argument % len(reference.running))
            assert queue.finish(done.attempt_id, now_s)
        elif operation == 'withdraw':
            waiting = [w for rank in Rank for w in reference.waiting[rank]]
            if waiting:
                gone = waiting[argument % len(waiting)]
                assert queue.withdraw(gone.attempt_id) == gone
                reference.remove(gone)
        assert list(queue.schedule(now_s).started) == reference.schedule()
        for rank, counts in queue.counts_by_rank.items():
            assert counts.waiting == len(reference.waiting[rank]) <= 6


def run_saturated(queue, seconds, demand, service_s=lambda: 0.02):
    """Keep the given ranks waiting; return the slot time used by each, in s."""
    served = dict.fromkeys(Rank, 0)
    finishes = []
    now_s = 0
    while now_s < seconds:
        for rank in demand:
            while queue.counts_by_rank[rank].waiting < 10:
                if queue.enqueue(work(rank, cancellable=False), now_s):
                    break
        for new in queue.schedule(now_s).started:
            cost = service_s()
            heapq.heappush(finishes, (now_s + cost, new.attempt_id))
            served[new.rank] += cost
        now_s, attempt = heapq.heappop(finishes)
        queue.finish(attempt, now_s)
    return served


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('scale_s', (0.002, 0.02, 0.5))
def test_floors_hold_in_a_flood_of_urgent_work(seed, scale_s):
    """Under urgent overload the other ranks must get their floors, no more.

    Strict priority would starve the lower ranks, and floors that are applied
    too generously would starve urgent work.
    """
    draw = random.Random(seed)

    def service_s():
        return scale_s * draw.uniform(0.5, 1.5)

    queue = ServerQueue(5, FLOORS)
    seconds = 1_000 * scale_s
    served = run_saturated(queue, seconds, Rank, service_s)
    share = {rank: served[rank] / (5 * seconds) for rank in Rank}
    assert share[ROUTINE] == pytest.approx(0.2, rel=0.1)
    assert share[DEFERRABLE] == pytest.approx(0.1, rel=0.1)
    assert share[URGENT] == pytest.approx(0.7, rel=0.05)


def test_idle_slots_are_lent_and_taken_back():
    """Idle slots must be lent above a cap and be taken back when needed.

    Otherwise slots stay idle, or urgent work waits for borrowed ones.
    """
    queue = ServerQueue(5, FLOORS)
    deferrable = enqueue_all(queue, DEFERRABLE, 6)
    assert len(queue.schedule(0).started) == 5
    urgent = enqueue_all(queue, URGENT, 4, now_s=1)
    preempted = queue.schedule(1).preempted
    assert len(preempted) == 3
    assert not queue.schedule(1).preempted
    for each in preempted:
        queue.finish(each.attempt_id, 1.01, served=False)
    assert queue.schedule(1.01).started == tuple(urgent[:3])
    assert deferrable[5] not in preempted


def test_only_cancellable_work_is_preempted():
    """Work that is not cancellable, such as a claim, must not be pre-empted.

    The newest cancellable work is pre-empted instead.
    """
    queue = ServerQueue(5, FLOORS)
    enqueue_all(queue, DEFERRABLE, 4, cancellable=False)
    newest = enqueue_all(queue, DEFERRABLE, 1)
    queue.schedule(0)
    enqueue_all(queue, URGENT, 4, now_s=1)
    assert queue.schedule(1).preempted == tuple(newest)


def test_solo_work_runs_alone():
    """Solo work must run alone, and be started before later work.

    It is suspected to crash the server, and other work would be lost with
    it. If later work went first, it would never find all slots idle.
    """
    queue = ServerQueue(3, FLOORS)
    first = enqueue_all(queue, URGENT, 1)
    queue.schedule(0)
    (solo,) = enqueue_all(queue, URGENT, 1, solo=True)
    (later,) = enqueue_all(queue, URGENT, 1)
    assert not queue.schedule(0).started
    queue.finish(first[0].attempt_id, 1)
    assert queue.schedule(1).started == (solo,)
    assert not queue.schedule(1).started
    queue.finish(solo.attempt_id, 2)
    assert queue.schedule(2).started == (later,)


def test_late_work_expires_before_it_is_started():
    """Work past its deadline must be refused, not started."""
    queue = ServerQueue(1, FLOORS)
    enqueue_all(queue, URGENT, 1)
    queue.schedule(0)
    late = work(URGENT, deadline_at_s=1)
    in_time = work(URGENT, deadline_at_s=3)
    assert not queue.enqueue(late, 0)
    assert not queue.enqueue(in_time, 0)
    assert queue.next_expiry_s == 1
    (refused,) = queue.schedule(1).refused
    assert refused.work == late
    assert refused.failure.code == ResultCode.DEADLINE_UNREACHABLE
    assert queue.next_expiry_s == 3


def test_work_that_would_be_late_is_refused_early():
    """Work that is expected to miss its deadline must be refused at once.

    In the queue it would only delay the refusal and take space.
    """
    queue = ServerQueue(1, FLOORS)
    (first,) = enqueue_all(queue, URGENT, 1)
    queue.schedule(0)
    queue.finish(first.attempt_id, 1)
    enqueue_all(queue, URGENT, 4, now_s=1)
    queue.schedule(1)
    (refused,) = queue.enqueue(work(URGENT, deadline_at_s=4), 1)
    assert refused.failure.code == ResultCode.DEADLINE_UNREACHABLE
    assert refused.failure.retry_after_s > 3
    assert not queue.enqueue(work(URGENT, deadline_at_s=20), 1)


def test_idle_server_accepts_whatever_the_estimate_says():
    """An idle server must accept work, whatever the estimated wait.

    If one slow sample made the scheduler refuse all work, no new sample
    would correct the estimate.
    """
    queue = ServerQueue(1, FLOORS)
    (slow,) = enqueue_all(queue, URGENT, 1)
    queue.schedule(0)
    queue.finish(slow.attempt_id, 100)
    assert not queue.enqueue(work(URGENT, deadline_at_s=100.1), 100)


def test_one_caller_cannot_fill_a_queue():
    """One caller must not fill the queue, even if it came first.

    Without fair shares all other callers would be refused.
    """
    queue = ServerQueue(1, NO_FLOORS)
    enqueue_all(queue, URGENT, 1, caller='first')
    queue.schedule(0)
    greedy = enqueue_all(queue, URGENT, 6, caller='greedy')
    assert queue.enqueue(work(URGENT, 'greedy'), 0)
    (displaced,) = queue.enqueue(work(URGENT, 'modest'), 0)
    assert displaced.work == greedy[-1]
    assert displaced.failure.code == ResultCode.QUEUE_FULL
    (refused,) = queue.enqueue(work(URGENT, 'greedy'), 0)
    assert refused.work.caller == 'greedy'


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(0, 6), st.integers(1, 5))
def test_estimate_is_close_to_the_wait(queued, slots):
    """The estimated wait must be within one service time of the real one.

    A wrong estimate refuses work that would meet its deadline, or admits
    work that will not.
    """
    queue = ServerQueue(slots, NO_FLOORS)
    first = enqueue_all(queue, URGENT, slots)
    queue.schedule(0)
    for each in first:
        queue.finish(each.attempt_id, 1)
    enqueue_all(queue, URGENT, slots, now_s=1)
    queue.schedule(1)
    enqueue_all(queue, URGENT, queued, now_s=1)
    expected_s = queue.wait_s(URGENT, 'c')
    # All slots free up each second, so the true wait is a whole number.
    true_s = queued // slots + 1
    assert true_s - 1 <= expected_s <= true_s + 1


def test_estimate_counts_the_slots_of_higher_ranks():
    """The estimated wait must include the work of higher ranks.

    Otherwise work of a lower rank is admitted and misses its deadline.
    """
    queue = ServerQueue(5, NO_FLOORS)
    (first,) = enqueue_all(queue, ROUTINE, 1)
    queue.schedule(0)
    queue.finish(first.attempt_id, 1)
    enqueue_all(queue, URGENT, 5, now_s=1)
    queue.schedule(1)
    assert not queue.enqueue(work(ROUTINE, deadline_at_s=5), 1)
    (refused,) = queue.enqueue(work(ROUTINE, deadline_at_s=6), 2)
    assert refused.failure.code == ResultCode.DEADLINE_UNREACHABLE
