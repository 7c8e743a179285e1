"""Queues that the rank queue is compared with."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from boragespool.ranks import QueuedWork, RefusedWork, ScheduleResult
from boragespool.results import Failure, ResultCode
from boragespool.types import Rank

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.types import AttemptId, Seconds

_QUEUE_LIMIT: Final = 192


class FirstInFirstOut:
    """One bounded queue for all ranks, without deadlines."""

    def __init__(self, slots: int) -> None:
        """Start empty."""
        self._slots = slots
        self._waiting: deque[QueuedWork] = deque()
        self._running: set[AttemptId] = set()

    @property
    def waiting_count(self) -> int:
        """Queued work."""
        return len(self._waiting)

    def offer(
        self,
        work: QueuedWork,
        _now_s: Seconds,
    ) -> tuple[RefusedWork, ...]:
        """Queue work unless the queue is full."""
        if len(self._waiting) >= _QUEUE_LIMIT:
            return (_full(work),)
        self._waiting.append(work)
        return ()

    def schedule(self, _now_s: Seconds) -> ScheduleResult:
        """Fill free slots in order of arrival."""
        started = []
        while self._waiting and len(self._running) < self._slots:
            work = self._waiting.popleft()
            self._running.add(work.attempt_id)
            started.append(work)
        return ScheduleResult(tuple(started))

    def finish(
        self,
        attempt_id: AttemptId,
        _now_s: Seconds,
        *,
        served: bool = True,
    ) -> bool:
        """Release a slot."""
        del served
        self._running.discard(attempt_id)
        return True


class WeightedFairQueue:
    """Self-clocked fair queueing over ranks with their queue limits.

    Golestani, "A self-clocked fair queueing scheme for broadband
    applications", INFOCOM 1994, with equal work sizes. Queued work expires.
    """

    def __init__(
        self, slots: int, weight_by_rank: Mapping[Rank, float]
    ) -> None:
        """Start empty."""
        self._slots = slots
        self._weights = weight_by_rank
        self._lanes: dict[Rank, deque[tuple[float, QueuedWork]]] = {
            rank: deque() for rank in Rank
        }
        self._last_tag = dict.fromkeys(Rank, float())
        self._virtual_time: float = 0
        self._running: set[AttemptId] = set()

    @property
    def waiting_count(self) -> int:
        """Queued work."""
        return sum(map(len, self._lanes.values()))

    def offer(
        self,
        work: QueuedWork,
        _now_s: Seconds,
    ) -> tuple[RefusedWork, ...]:
        """Queue work with its virtual finish time."""
        lane = self._lanes[work.rank]
        if len(lane) >= _QUEUE_LIMIT // len(self._lanes):
            return (_full(work),)
        begin = max(self._virtual_time, self._last_tag[work.rank])
        tag = begin + 1 / self._weights[work.rank]
        self._last_tag[work.rank] = tag
        lane.append((tag, work))
        return ()

    def schedule(self, now_s: Seconds) -> ScheduleResult:
        """Fill free slots in order of virtual finish times."""
        started: list[QueuedWork] = []
        refused: list[RefusedWork] = []
        while len(self._running) < self._slots and self.waiting_count:
            lane = min(
                (lane for lane in self._lanes.values() if lane),
                key=lambda waiting: waiting[0][0],
            )
            tag, work = lane.popleft()
            self._virtual_time = tag
            if work.deadline_at_s <= now_s:
                refused.append(_full(work))
            else:
                self._running.add(work.attempt_id)
                started.append(work)
        return ScheduleResult(tuple(started), tuple(refused))

    def finish(
        self,
        attempt_id: AttemptId,
        _now_s: Seconds,
        *,
        served: bool = True,
    ) -> bool:
        """Release a slot."""
        del served
        self._running.discard(attempt_id)
        return True


def _full(work: QueuedWork) -> RefusedWork:
    return RefusedWork(work, Failure(ResultCode.QUEUE_FULL, 'queue is full'))
