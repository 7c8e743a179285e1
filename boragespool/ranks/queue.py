"""The queue of one backend server: ranks, floors, caps and borrowing."""

from __future__ import annotations

import itertools
import math
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.ranks.account import SlotAccount
from boragespool.ranks.rank_queue import RankQueue, any_waiting
from boragespool.ranks.preemption import all_running, victims
from boragespool.ranks.refusals import queue_full, unreachable
from boragespool.ranks.waits import RankLoad, wait_s
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

#: Absorbs the rounding of products such as ``0.6 * 5``.
_ROUNDING: Final = 1e-9
#: Without margins, 10 in 100 slots went to urgent work that ended just after
#: its deadline in a flood of 50 times the capacity.
_WAIT_MARGIN: Final = 1.15
_SERVICE_MARGIN: Final = 2
_RANKS: Final = tuple(Rank)
_NO_WAITS_S: Final = (0,) * len(_RANKS)
#: Accounts are brought up to date at most this often, to save time.
_ACCOUNTING_S: Final = 0.0005
_LOWEST_FIRST: Final = tuple(reversed(Rank))
_ABSENT: Final = RankSettings()
_NOTHING: Final = ScheduleResult()


class ServerQueue:
    """Decides which work holds the slots of one backend server.

    Time is passed to every call in seconds and never goes back.

    Parameters
    ----------
    slots : int
        Slots that may be held at the same time.
    settings_by_rank : mapping of Rank to RankSettings
        Floors, caps and queue limits. A missing rank has the defaults.
    """

    def __init__(
        self,
        slots: int,
        settings_by_rank: Mapping[Rank, RankSettings],
    ) -> None:
        """Start empty and idle."""
        self.slots = slots
        self.settings_by_rank = settings_by_rank
        self._lanes = MappingProxyType({rank: RankQueue() for rank in Rank})
        self._accounts = MappingProxyType(
            {rank: SlotAccount() for rank in Rank}
        )
        self._rank_by_attempt: dict[AttemptId, Rank] = {}
        self._advanced_s: Seconds = -math.inf

    @property
    def running_count(self) -> int:
        """Slots held."""
        return len(self._rank_by_attempt)

    @property
    def counts_by_rank(self) -> Mapping[Rank, RankCounts]:
        """Queued work and held slots by rank."""
        return {
            rank: RankCounts(lane.count, self._accounts[rank].running_count)
            for rank, lane in self._lanes.items()
        }

    @property
    def waiting_count(self) -> int:
        """Queued work of all ranks."""
        return sum([lane.count for lane in self._lanes.values()])

    @property
    def next_expiry_s(self) -> Seconds:
        """Earliest time at which queued work may expire, or infinity."""
        if not any_waiting(self._lanes):
            return math.inf
        return min(lane.earliest_deadline_s for lane in self._lanes.values())

    def offer(
        self,
        work: QueuedWork,
        now_s: Seconds,
    ) -> tuple[RefusedWork, ...]:
        """Queue new work.

        Returns
        -------
        tuple of RefusedWork
            The new work if it is refused: ``DEADLINE_UNREACHABLE`` or
            ``QUEUE_FULL``. In a full queue, work of a caller above its fair
            share makes room and is refused instead.
        """
        self._advance(now_s)
        expected_s = self.wait_s(work.rank, work.caller)
        mean_s = self._accounts[work.rank].mean_service_s if expected_s else 0
        needed_s = expected_s * _WAIT_MARGIN + mean_s * _SERVICE_MARGIN
        if now_s + needed_s >= work.deadline_at_s:
            return (unreachable(work, now_s, expected_s),)
        lane = self._lanes[work.rank]
        limit = self.settings_by_rank.get(work.rank, _ABSENT).queue_limit
        displaced = None
        if lane.count >= limit:
            displaced = lane.displace(work.caller, limit)
            if displaced is None:
                return (queue_full(work, limit, expected_s),)
        lane.push(work)
        return (
            ()
            if displaced is None
            else (queue_full(displaced, limit, expected_s),)
        )

    def take(self, now_s: Seconds) -> ScheduleResult:
        """Expire late work, fill free slots, choose work to pre-empt."""
        self._advance(now_s)
        if not any_waiting(self._lanes):
            return _NOTHING
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
        """Release the slot of an attempt.

        Parameters
        ----------
        served : bool
            False if the backend server did not run the work to its end.

        Returns
        -------
        bool
            Whether the attempt held a slot.
        """
        self._advance(now_s)
        rank = self._rank_by_attempt.pop(attempt_id, None)
        if rank is None:
            return False
        return self._accounts[rank].finish(attempt_id, now_s, served=served)

    def withdraw(self, attempt_id: AttemptId) -> QueuedWork | None:
        """Take waiting work out of the queue; None if it does not wait."""
        for lane in self._lanes.values():
            work = lane.remove(attempt_id)
            if work is not None:
                return work
        return None

    def clear(self) -> tuple[QueuedWork, ...]:
        """Take all waiting work out of the queue."""
        cleared = (lane.expire(math.inf) for lane in self._lanes.values())
        return tuple(itertools.chain.from_iterable(cleared))

    def wait_s(self, rank: Rank, caller: CallerName = '') -> Seconds:
        """Estimate the queueing time of new work of a caller, in seconds."""
        if self._free_slots and not any_waiting(self._lanes):
            return 0
        loads = self._loads(caller)
        return wait_s(
            loads,
            _RANKS.index(rank),
            self.slots,
            self._free_slots,
            owes_floors=self._accounts[rank].is_flooded,
        )

    @property
    def waits_s(self) -> tuple[Seconds, ...]:
        """Estimated queueing time of a new caller by rank, in seconds."""
        if self._free_slots and not any_waiting(self._lanes):
            return _NO_WAITS_S
        loads = self._loads('')
        free_slots = self._free_slots
        return tuple(
            wait_s(
                loads,
                position,
                self.slots,
                free_slots,
                owes_floors=self._accounts[rank].is_flooded,
            )
            for position, rank in enumerate(Rank)
        )

    @property
    def _free_slots(self) -> int:
        return max(0, self.slots - self.running_count)

    def _cap_slots(self, rank: Rank) -> int:
        """Slots that a rank may hold while others wait, at least one."""
        return max(
            1,
            int(
                self.settings_by_rank.get(rank, _ABSENT).cap * self.slots
                + _ROUNDING
            ),
        )

    def _loads(self, caller: CallerName) -> tuple[RankLoad, ...]:
        return tuple(
            RankLoad(
                lane.count,
                lane.ahead_of(caller),
                self._accounts[rank].mean_service_s,
                self._accounts[rank].usage_slots,
                self.settings_by_rank.get(rank, _ABSENT).floor,
            )
            for rank, lane in self._lanes.items()
        )

    def _advance(self, now_s: Seconds) -> None:
        if now_s - self._advanced_s < _ACCOUNTING_S:
            return
        self._advanced_s = now_s
        for rank, account in self._accounts.items():
            floor_slots = (
                self.settings_by_rank.get(rank, _ABSENT).floor * self.slots
            )
            waiting = bool(self._lanes[rank].count)
            account.advance(now_s, floor_slots, waiting=waiting)

    def _expire(self, now_s: Seconds) -> Iterator[RefusedWork]:
        for rank, lane in self._lanes.items():
            if lane.earliest_deadline_s > now_s:
                continue
            for work in lane.expire(now_s):
                yield unreachable(work, now_s, self.wait_s(rank))

    def _fill(self, now_s: Seconds) -> Iterator[QueuedWork]:
        """Start work until no slot is free or nothing may start."""
        while any_waiting(self._lanes) and self._free_slots:
            if self._runs_solo():
                return
            rank = self._next_rank(now_s)
            head = None if rank is None else self._lanes[rank].head()
            if head is None or (head.solo and self.running_count):
                return
            work = self._lanes[head.rank].pop()
            self._accounts[head.rank].start(work, now_s)
            self._rank_by_attempt[work.attempt_id] = head.rank
            yield work

    def _runs_solo(self) -> bool:
        if self.running_count != 1:
            return False
        return any(
            entry.work.solo for entry in all_running(self._accounts.values())
        )

    def _next_rank(self, now_s: Seconds) -> Rank | None:
        """Return the rank that the next free slot goes to.

        The highest rank that waits goes first. While it floods, ranks below
        their floor go before it. A floor that held at all times would make
        urgent work late at a demand that leaves room for it.
        """
        waiting = [rank for rank in Rank if self._lanes[rank].count]
        within_cap = [
            rank
            for rank in waiting
            if self._accounts[rank].running_count < self._cap_slots(rank)
        ]
        if within_cap and not self._accounts[within_cap[0]].is_flooded:
            return within_cap[0]
        owed = (
            rank
            for rank in within_cap
            if self._accounts[rank].below_floor(now_s)
        )
        return next(itertools.chain(owed, within_cap, waiting), None)

    def _preempt(self, now_s: Seconds) -> Iterator[QueuedWork]:
        """Choose running work above a cap while entitled work waits."""
        if (
            not any_waiting(self._lanes)
            or self._free_slots
            or self._runs_solo()
        ):
            return
        wanted = self._entitled_count() - sum(
            entry.preempted for entry in all_running(self._accounts.values())
        )
        for rank in _LOWEST_FIRST:
            account = self._accounts[rank]
            chosen = victims(
                account.running_by_attempt.values(),
                account.running_count - self._cap_slots(rank),
                wanted,
            )
            wanted -= len(chosen)
            for entry in chosen:
                entry.preempted = True
                yield entry.work

    def _entitled_count(self) -> int:
        """Return how much waiting work fits below the caps."""
        return sum(
            max(0, min(counts.waiting, self._cap_slots(rank) - counts.running))
            for rank, counts in self.counts_by_rank.items()
        )
