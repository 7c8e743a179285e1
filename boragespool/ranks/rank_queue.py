"""The waiting work of one rank: round-robin over callers, bounded."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.ranks.work import QueuedWork
    from boragespool.types import AttemptId, CallerName, Rank, Seconds


class RankQueue:
    """Waiting work of one rank by caller, in order of the next turn."""

    def __init__(self) -> None:
        """Start empty."""
        self.count = 0
        self._queues_by_caller: dict[CallerName, deque[QueuedWork]] = {}
        self._caller_by_attempt: dict[AttemptId, CallerName] = {}
        self._earliest_deadline_s = math.inf

    @property
    def earliest_deadline_s(self) -> Seconds:
        """Lower bound of all deadlines; infinity if nothing waits."""
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
        """Return the work whose turn is next."""
        for queue in self._queues_by_caller.values():
            return queue[0]
        return None

    def pop(self) -> QueuedWork:
        """Take the next work and move its caller to the end of the turns.

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
        self._forget(work)
        return work

    def remove(self, attempt_id: AttemptId) -> QueuedWork | None:
        """Take one attempt out of the queue, or None if it does not wait."""
        caller = self._caller_by_attempt.get(attempt_id)
        if caller is None:
            return None
        queue = self._queues_by_caller[caller]
        found = next(work for work in queue if work.attempt_id == attempt_id)
        self._discard(found)
        return found

    def expire(self, now_s: Seconds) -> list[QueuedWork]:
        """Take out all work whose deadline is not after `now_s`."""
        waiting = [
            work for queue in self._queues_by_caller.values() for work in queue
        ]
        late = [work for work in waiting if work.deadline_at_s <= now_s]
        for expired in late:
            self._discard(expired)
        self._earliest_deadline_s = min(
            (
                left.deadline_at_s
                for left in waiting
                if left.deadline_at_s > now_s
            ),
            default=math.inf,
        )
        return late

    def fair_share(self, caller: CallerName, limit: int) -> int:
        """Return how much work one caller may have waiting.

        The whole limit while no other caller waits, else an equal part of it
        and at least one.
        """
        callers = len(self._queues_by_caller.keys() | {caller})
        return max(1, limit // callers)

    def waiting_of(self, caller: CallerName) -> int:
        """Return how much work of a caller waits."""
        return len(self._queues_by_caller.get(caller, ()))

    def ahead_of(self, caller: CallerName) -> int:
        """Return how much work is served before new work of a caller."""
        own = self.waiting_of(caller)
        return own + sum(
            min(len(queue), own + 1)
            for other, queue in self._queues_by_caller.items()
            if other != caller
        )

    def displace(self, caller: CallerName, limit: int) -> QueuedWork | None:
        """Take out the newest work of the caller that exceeds its share most.

        Returns
        -------
        QueuedWork or None
            None if no other caller has more than its fair share.
        """
        share = self.fair_share(caller, limit)
        greedy = max(
            self._queues_by_caller.values(),
            key=len,
            default=None,
        )
        if greedy is None or len(greedy) <= share:
            return None
        if self.waiting_of(caller) >= share:
            return None
        work = greedy[-1]
        self._discard(work)
        return work

    def _discard(self, work: QueuedWork) -> None:
        queue = self._queues_by_caller[work.caller]
        queue.remove(work)
        if not queue:
            self._queues_by_caller.pop(work.caller)
        self._forget(work)

    def _forget(self, work: QueuedWork) -> None:
        self._caller_by_attempt.pop(work.attempt_id)
        self.count -= 1


def any_waiting(lanes: Mapping[Rank, RankQueue]) -> bool:
    """Return whether any work is queued, without counting it."""
    for lane in lanes.values():
        if lane.count:
            return True
    return False
