"""Queue policies with which the rank queue is compared."""

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
    """One bounded queue for all ranks that ignores deadlines."""

    def __init__(self, slots: int) -> None:
        """Create an empty queue."""
        self._slots = slots
        self._waiting: deque[QueuedWork] = deque()
        self._running: set[AttemptId] = set()

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def enqueue(
        self,
        work: QueuedWork,
        _now_s: Seconds,
    ) -> tuple[RefusedWork, ...]:
        """Enqueue work, or refuse it if the queue is full."""
        if len(self._waiting) >= _QUEUE_LIMIT:
            return (_refuse(work),)
        self._waiting.append(work)
        return ()

    def schedule(self, _now_s: Seconds) -> ScheduleResult:
        """Start waiting work in order of arrival while slots are free."""
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
        """Free the slot of an attempt."""
        del served
        self._running.discard(attempt_id)
        return True


class WeightedFairQueue:
    """Self-clocked fair queueing with one bounded queue per rank.

    The algorithm of Golestani, "A self-clocked fair queueing scheme for
    broadband applications", INFOCOM 1994, with equal work sizes. Queued work
    whose deadline has passed is refused.

    Parameters
    ----------
    slots : int
        Number of requests that run at the same time.
    weight_by_rank : mapping of Rank to float
        Share of the capacity of each rank under overload.
    """

    def __init__(
        self, slots: int, weight_by_rank: Mapping[Rank, float]
    ) -> None:
        """Create an empty queue."""
        self._slots = slots
        self._weight_by_rank = weight_by_rank
        self._queue_by_rank: dict[Rank, deque[tuple[float, QueuedWork]]] = {
            rank: deque() for rank in Rank
        }
        self._last_tag_by_rank = dict.fromkeys(Rank, float())
        self._virtual_time: float = 0
        self._running: set[AttemptId] = set()

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(map(len, self._queue_by_rank.values()))

    def enqueue(
        self,
        work: QueuedWork,
        _now_s: Seconds,
    ) -> tuple[RefusedWork, ...]:
        """Enqueue work with its virtual finish time, if its queue has room."""
        queue = self._queue_by_rank[work.rank]
        if len(queue) >= _QUEUE_LIMIT // len(self._queue_by_rank):
            return (_refuse(work),)
        start_tag = max(self._virtual_time, self._last_tag_by_rank[work.rank])
        finish_tag = start_tag + 1 / self._weight_by_rank[work.rank]
        self._last_tag_by_rank[work.rank] = finish_tag
        queue.append((finish_tag, work))
        return ()

    def schedule(self, now_s: Seconds) -> ScheduleResult:
        """Start waiting work in order of finish times while slots are free."""
        started: list[QueuedWork] = []
        refused: list[RefusedWork] = []
        while len(self._running) < self._slots and self.waiting_count:
            queue = min(
                (queue for queue in self._queue_by_rank.values() if queue),
                key=lambda waiting: waiting[0][0],
            )
            finish_tag, work = queue.popleft()
            self._virtual_time = finish_tag
            if work.deadline_at_s <= now_s:
                refused.append(_refuse(work))
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
        """Free the slot of an attempt."""
        del served
        self._running.discard(attempt_id)
        return True


def _refuse(work: QueuedWork) -> RefusedWork:
    return RefusedWork(work, Failure(ResultCode.QUEUE_FULL, 'queue is full'))
