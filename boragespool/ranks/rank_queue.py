"""Queue of the waiting work of one rank, round-robin over callers."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.ranks.work import QueuedWork
    from boragespool.types import AttemptId, CallerName, Rank, Seconds


class RankQueue:
    """Waiting work of one rank, served round-robin over the callers.

    Each caller has a first-in-first-out queue. Times are seconds on the clock
    of the server's queue.

    Attributes
    ----------
    count : int
        Number of waiting pieces of work.
    """

    def __init__(self) -> None:
        """Set up an empty queue."""
        self.count = 0
        self._queues_by_caller: dict[CallerName, deque[QueuedWork]] = {}
        self._caller_by_attempt: dict[AttemptId, CallerName] = {}
        self._earliest_deadline_s = math.inf

    @property
    def earliest_deadline_s(self) -> Seconds:
        """Lower bound of all deadlines, in seconds; infinity if empty."""
        return self._earliest_deadline_s if self.count else math.inf

    def push(self, work: QueuedWork) -> None:
        """Append work to its caller's queue."""
        queue = self._queues_by_caller.setdefault(work.caller, deque())
        queue.append(work)
        self._caller_by_attempt[work.attempt_id] = work.caller
        self._earliest_deadline_s = min(
            self.earliest_deadline_s,
            work.deadline_at_s,
        )
        self.count += 1

    def head(self) -> QueuedWork | None:
        """Return the work that `pop` would return; None if nothing waits."""
        for queue in self._queues_by_caller.values():
            return queue[0]
        return None

    def pop(self) -> QueuedWork:
        """Remove and return the next work; its caller moves to the end.

        Raises
        ------
        StopIteration
            If nothing waits.
        """
        caller = next(iter(self._queues_by_caller))
        queue = self._queues_by_caller.pop(caller)
        work = queue.popleft()
        if queue:
            self._queues_by_caller[caller] = queue
        self._unindex(work)
        return work

    def remove(self, attempt_id: AttemptId) -> QueuedWork | None:
        """Remove and return the work of an attempt; None if not queued."""
        caller = self._caller_by_attempt.get(attempt_id)
        if caller is None:
            return None
        queue = self._queues_by_caller[caller]
        found = next(work for work in queue if work.attempt_id == attempt_id)
        self._discard(found)
        return found

    def expire(self, now_s: Seconds) -> list[QueuedWork]:
        """Remove and return all work whose deadline is not after `now_s`."""
        waiting = [
            work for queue in self._queues_by_caller.values() for work in queue
        ]
        expired_work = [work for work in waiting if work.deadline_at_s <= now_s]
        for expired in expired_work:
            self._discard(expired)
        self._earliest_deadline_s = min(
            (
                left.deadline_at_s
                for left in waiting
                if left.deadline_at_s > now_s
            ),
            default=math.inf,
        )
        return expired_work

    def fair_share(self, caller: CallerName, limit: int) -> int:
        """Return how many pieces of work one caller may have waiting.

        The limit is divided equally among the callers that wait, `caller`
        included; each may have at least one.
        """
        callers = len(self._queues_by_caller.keys() | {caller})
        return max(1, limit // callers)

    def waiting_count_of(self, caller: CallerName) -> int:
        """Return the number of waiting pieces of work of a caller."""
        return len(self._queues_by_caller.get(caller, ()))

    def count_ahead(self, caller: CallerName) -> int:
        """Return how many pieces of work precede new work of a caller."""
        own = self.waiting_count_of(caller)
        return own + sum(
            min(len(queue), own + 1)
            for other, queue in self._queues_by_caller.items()
            if other != caller
        )

    def evict(self, caller: CallerName, limit: int) -> QueuedWork | None:
        """Remove the newest work of the caller with the longest queue.

        Makes room for new work of `caller` in a queue of `limit` pieces.

        Returns
        -------
        QueuedWork or None
            The removed work. None if no caller exceeds its fair share, or if
            `caller` has used up its own.
        """
        share = self.fair_share(caller, limit)
        longest = max(
            self._queues_by_caller.values(),
            key=len,
            default=None,
        )
        if longest is None or len(longest) <= share:
            return None
        if self.waiting_count_of(caller) >= share:
            return None
        work = longest[-1]
        self._discard(work)
        return work

    def _discard(self, work: QueuedWork) -> None:
        queue = self._queues_by_caller[work.caller]
        queue.remove(work)
        if not queue:
            self._queues_by_caller.pop(work.caller)
        self._unindex(work)

    def _unindex(self, work: QueuedWork) -> None:
        self._caller_by_attempt.pop(work.attempt_id)
        self.count -= 1


def any_waiting(queues_by_rank: Mapping[Rank, RankQueue]) -> bool:
    """Return whether any rank has queued work."""
    for queue in queues_by_rank.values():
        if queue.count:
            return True
    return False
