"""Scheduler of the slots of one backend server.

Each rank has a queue, a floor (guaranteed share of the slots) and a cap (share
that it may hold while other ranks wait). A rank may borrow idle slots above its
cap; they are taken back by pre-emption.
"""

from __future__ import annotations

import itertools
import math
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.ranks.account import SlotAccount
from boragespool.ranks.preemption import (
    all_running,
    choose_preemption_candidates,
)
from boragespool.ranks.rank_queue import RankQueue, any_waiting
from boragespool.ranks.refusals import refuse_queue_full, refuse_unreachable
from boragespool.ranks.waits import RankLoad, estimate_wait_s
from boragespool.ranks.work import (
    QueuedWork,
    RankCounts,
    RefusedWork,
    ScheduleResult,
)
from boragespool.settings import RankSettings
from boragespool.types import Rank

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from boragespool.types import AttemptId, CallerName, Seconds

#: Added before rounding down, as products such as ``0.6 * 5`` are inexact.
_ROUNDING_EPSILON: Final = 1e-9
#: Factors of the estimated wait and of the mean service time that must fit
#: before the deadline. Without these margins, 10 in 100 slots went to urgent
#: work that ended just after its deadline in a flood of 50 times the capacity.
_WAIT_MARGIN_FACTOR: Final = 1.15
_SERVICE_MARGIN_FACTOR: Final = 2
_RANKS: Final = tuple(Rank)
_NO_WAITS_S: Final = (0,) * len(_RANKS)
#: Minimum time between two updates of the accounts; saves CPU time.
_ACCOUNTING_INTERVAL_S: Final = 0.0005
_LOWEST_FIRST: Final = tuple(reversed(Rank))
_DEFAULT_SETTINGS: Final = RankSettings()
_NO_CHANGES: Final = ScheduleResult()


class ServerQueue:
    """Queue of one backend server; decides which work gets its slots.

    Times are passed in as seconds on one clock that never goes back.

    Parameters
    ----------
    slots : int
        Number of slots: how many pieces of work may run at the same time.
    settings_by_rank : mapping of Rank to RankSettings
        Floors, caps and queue limits. A missing rank has the default ones.
    """

    def __init__(
        self,
        slots: int,
        settings_by_rank: Mapping[Rank, RankSettings],
    ) -> None:
        """Set up an empty queue with all slots idle."""
        self.slots = slots
        self.settings_by_rank = settings_by_rank
        self._queues_by_rank = MappingProxyType(
            {rank: RankQueue() for rank in Rank}
        )
        self._accounts_by_rank = MappingProxyType(
            {rank: SlotAccount() for rank in Rank}
        )
        self._rank_by_attempt: dict[AttemptId, Rank] = {}
        self._advanced_at_s: Seconds = -math.inf

    @property
    def running_count(self) -> int:
        """Number of slots that are held."""
        return len(self._rank_by_attempt)

    @property
    def counts_by_rank(self) -> Mapping[Rank, RankCounts]:
        """Number of queued and of running pieces of work by rank."""
        return {
            rank: RankCounts(
                queue.count, self._accounts_by_rank[rank].running_count
            )
            for rank, queue in self._queues_by_rank.items()
        }

    @property
    def waiting_count(self) -> int:
        """Number of queued pieces of work of all ranks."""
        return sum([queue.count for queue in self._queues_by_rank.values()])

    @property
    def next_expiry_s(self) -> Seconds:
        """Earliest time at which queued work may expire, in seconds.

        Infinity if nothing waits.
        """
        if not any_waiting(self._queues_by_rank):
            return math.inf
        return min(
            queue.earliest_deadline_s for queue in self._queues_by_rank.values()
        )

    def enqueue(
        self,
        work: QueuedWork,
        now_s: Seconds,
    ) -> tuple[RefusedWork, ...]:
        """Enqueue new work, or refuse it.

        Returns
        -------
        tuple of RefusedWork
            Empty if the work was queued and no other was removed. New work is
            refused with ``DEADLINE_UNREACHABLE`` or ``QUEUE_FULL``. If the
            queue is full, the caller has not used up its fair share and another
            one exceeds its share, then the newest work of the caller with the
            longest queue is removed and refused instead.
        """
        self._advance(now_s)
        estimated_wait_s = self.wait_s(work.rank, work.caller)
        mean_s = (
            self._accounts_by_rank[work.rank].mean_service_s
            if estimated_wait_s
            else 0
        )
        needed_s = (
            estimated_wait_s * _WAIT_MARGIN_FACTOR
            + mean_s * _SERVICE_MARGIN_FACTOR
        )
        if now_s + needed_s >= work.deadline_at_s:
            return (refuse_unreachable(work, now_s, estimated_wait_s),)
        queue = self._queues_by_rank[work.rank]
        limit = self.settings_by_rank.get(
            work.rank, _DEFAULT_SETTINGS
        ).queue_limit
        evicted = None
        if queue.count >= limit:
            evicted = queue.evict(work.caller, limit)
            if evicted is None:
                return (refuse_queue_full(work, limit, estimated_wait_s),)
        queue.push(work)
        return (
            ()
            if evicted is None
            else (refuse_queue_full(evicted, limit, estimated_wait_s),)
        )

    def schedule(self, now_s: Seconds) -> ScheduleResult:
        """Remove expired work, fill free slots and choose work to pre-empt."""
        self._advance(now_s)
        if not any_waiting(self._queues_by_rank):
            return _NO_CHANGES
        refused: tuple[RefusedWork, ...] = ()
        if self.next_expiry_s <= now_s:
            refused = tuple(self._expire(now_s))
        started = tuple(self._fill(now_s))
        return ScheduleResult(started, refused, tuple(self._preempt(now_s)))

    def finish(
        self,
        attempt_id: AttemptId,
        now_s: Seconds,
        *,
        served: bool = True,
    ) -> bool:
        """Release the slot of an attempt that ended.

        Parameters
        ----------
        served : bool
            Whether the backend server ran the work to its end.

        Returns
        -------
        bool
            Whether the attempt held a slot.
        """
        self._advance(now_s)
        rank = self._rank_by_attempt.pop(attempt_id, None)
        if rank is None:
            return False
        return self._accounts_by_rank[rank].finish(
            attempt_id, now_s, served=served
        )

    def withdraw(self, attempt_id: AttemptId) -> QueuedWork | None:
        """Remove and return the queued work of an attempt.

        Returns None if the attempt is not queued.
        """
        for queue in self._queues_by_rank.values():
            work = queue.remove(attempt_id)
            if work is not None:
                return work
        return None

    def clear(self) -> tuple[QueuedWork, ...]:
        """Remove and return all queued work."""
        cleared = (
            queue.expire(math.inf) for queue in self._queues_by_rank.values()
        )
        return tuple(itertools.chain.from_iterable(cleared))

    def wait_s(self, rank: Rank, caller: CallerName = '') -> Seconds:
        """Return the estimated queueing time in seconds of new work.

        An empty `caller` stands for one without queued work.
        """
        if self._free_slots and not any_waiting(self._queues_by_rank):
            return 0
        loads = self._rank_loads(caller)
        return estimate_wait_s(
            loads,
            _RANKS.index(rank),
            self.slots,
            self._free_slots,
            lower_floors_first=self._accounts_by_rank[rank].is_flooded,
        )

    @property
    def waits_s(self) -> tuple[Seconds, ...]:
        """Estimated queueing time in seconds by rank, for a new caller."""
        if self._free_slots and not any_waiting(self._queues_by_rank):
            return _NO_WAITS_S
        loads = self._rank_loads('')
        free_slots = self._free_slots
        return tuple(
            estimate_wait_s(
                loads,
                position,
                self.slots,
                free_slots,
                lower_floors_first=self._accounts_by_rank[rank].is_flooded,
            )
            for position, rank in enumerate(Rank)
        )

    @property
    def _free_slots(self) -> int:
        return max(0, self.slots - self.running_count)

    def _cap_slots(self, rank: Rank) -> int:
        """Return the slots a rank may hold while others wait, at least 1."""
        return max(
            1,
            int(
                self.settings_by_rank.get(rank, _DEFAULT_SETTINGS).cap
                * self.slots
                + _ROUNDING_EPSILON
            ),
        )

    def _rank_loads(self, caller: CallerName) -> tuple[RankLoad, ...]:
        return tuple(
            RankLoad(
                queue.count,
                queue.count_ahead(caller),
                self._accounts_by_rank[rank].mean_service_s,
                self._accounts_by_rank[rank].usage_slots,
                self.settings_by_rank.get(rank, _DEFAULT_SETTINGS).floor,
            )
            for rank, queue in self._queues_by_rank.items()
        )

    def _advance(self, now_s: Seconds) -> None:
        if now_s - self._advanced_at_s < _ACCOUNTING_INTERVAL_S:
            return
        self._advanced_at_s = now_s
        for rank, account in self._accounts_by_rank.items():
            floor_slots = (
                self.settings_by_rank.get(rank, _DEFAULT_SETTINGS).floor
                * self.slots
            )
            waiting = bool(self._queues_by_rank[rank].count)
            account.advance(now_s, floor_slots, waiting=waiting)

    def _expire(self, now_s: Seconds) -> Iterator[RefusedWork]:
        for rank, queue in self._queues_by_rank.items():
            if queue.earliest_deadline_s > now_s:
                continue
            for work in queue.expire(now_s):
                yield refuse_unreachable(work, now_s, self.wait_s(rank))

    def _fill(self, now_s: Seconds) -> Iterator[QueuedWork]:
        """Start queued work until no slot is free or nothing may start."""
        while any_waiting(self._queues_by_rank) and self._free_slots:
            if self._is_running_solo():
                return
            rank = self._next_rank(now_s)
            head = None if rank is None else self._queues_by_rank[rank].head()
            if head is None or (head.solo and self.running_count):
                return
            work = self._queues_by_rank[head.rank].pop()
            self._accounts_by_rank[head.rank].start(work, now_s)
            self._rank_by_attempt[work.attempt_id] = head.rank
            yield work

    def _is_running_solo(self) -> bool:
        if self.running_count != 1:
            return False
        return any(
            entry.work.solo
            for entry in all_running(self._accounts_by_rank.values())
        )

    def _next_rank(self, now_s: Seconds) -> Rank | None:
        """Return the rank that the next free slot goes to.

        That is the highest waiting rank below its cap, or the highest waiting
        one if all are at their caps. Only while this rank is flooded, ranks
        below their floor go before it: floors that applied at all times would
        delay urgent work at a demand that leaves enough slots for it.
        """
        waiting = [rank for rank in Rank if self._queues_by_rank[rank].count]
        within_cap = [
            rank
            for rank in waiting
            if self._accounts_by_rank[rank].running_count
            < self._cap_slots(rank)
        ]
        if within_cap and not self._accounts_by_rank[within_cap[0]].is_flooded:
            return within_cap[0]
        ranks_below_floor = (
            rank
            for rank in within_cap
            if self._accounts_by_rank[rank].is_below_floor(now_s)
        )
        return next(
            itertools.chain(ranks_below_floor, within_cap, waiting), None
        )

    def _preempt(self, now_s: Seconds) -> Iterator[QueuedWork]:
        """Mark and yield running work of ranks above their cap.

        At most as much as waiting work of ranks below their cap needs.
        """
        if (
            not any_waiting(self._queues_by_rank)
            or self._free_slots
            or self._is_running_solo()
        ):
            return
        wanted_slots = self._waiting_below_caps_count() - sum(
            entry.preempted
            for entry in all_running(self._accounts_by_rank.values())
        )
        for rank in _LOWEST_FIRST:
            account = self._accounts_by_rank[rank]
            candidates = choose_preemption_candidates(
                account.running_by_attempt.values(),
                account.running_count - self._cap_slots(rank),
                wanted_slots,
            )
            wanted_slots -= len(candidates)
            for entry in candidates:
                entry.preempted = True
                yield entry.work

    def _waiting_below_caps_count(self) -> int:
        """Return how many waiting pieces of work fit below the caps."""
        return sum(
            max(0, min(counts.waiting, self._cap_slots(rank) - counts.running))
            for rank, counts in self.counts_by_rank.items()
        )
