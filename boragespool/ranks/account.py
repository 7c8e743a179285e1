"""Slot time of one rank against its floor.

A deficit counter (Shreedhar and Varghese, "Efficient fair queueing using
deficit round robin", SIGCOMM 1995) in slot seconds: it grows with time by the
floor while work of the rank waits, and is charged for the slots that the rank
holds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.ranks.work import QueuedWork
    from boragespool.types import AttemptId, Seconds

#: Slot time above the floor is forgotten after this time, so that a rank that
#: borrowed idle slots gets its floor back soon after a flood begins.
_MEMORY_S: Final = 0.5
#: Weight of one service time in the mean.
_MEAN_WEIGHT: Final = 0.05
_USAGE_WINDOW_S: Final = 1
#: A queue that is not empty for `_MEMORY_S` and this many service times is a
#: flood. At a demand of 0.79 of 5 slots it empties after a fifth of a service
#: time in the mean.
_FLOOD_SERVICE_TIMES: Final = 2
#: A flood goes on while the queue is empty for less than this many service
#: times: refused callers need a moment to send their next request.
_CALM_SERVICE_TIMES: Final = 0.25


@dataclass(slots=True)
class Running:
    """Work that holds a slot."""

    work: QueuedWork
    started_s: Seconds
    preempted: bool = False


class SlotAccount:
    """Running work, floor credit and service times of one rank."""

    def __init__(self) -> None:
        """Start with nothing owed and no service time known."""
        self.running_by_attempt: dict[AttemptId, Running] = {}
        self.mean_service_s: Seconds = 0
        self._credit_slot_s: float = 0
        self._usage_slot_s: float = 0
        self._waiting_since_s: Seconds = 0
        self._waited_at_s: Seconds = 0
        self._at_s: Seconds = 0

    @property
    def running_count(self) -> int:
        """Slots held."""
        return len(self.running_by_attempt)

    def advance(
        self,
        now_s: Seconds,
        floor_slots: float,
        *,
        waiting: bool,
    ) -> None:
        """Let the floor accrue up to now; unused floor is not saved."""
        elapsed_s = max(0, now_s - self._at_s)
        self._at_s = max(now_s, self._at_s)
        if not (waiting or self.running_by_attempt or self._has_history):
            return
        bound = _MEMORY_S * floor_slots
        bound += self.mean_service_s * (floor_slots + 1)
        self._credit_slot_s = min(
            bound if waiting else 0,
            max(-bound, self._credit_slot_s) + elapsed_s * floor_slots,
        )
        decay = max(0, 1 - elapsed_s / _USAGE_WINDOW_S)
        used_slot_s = elapsed_s * self.running_count
        self._usage_slot_s = self._usage_slot_s * decay + used_slot_s
        if waiting:
            self._waited_at_s = self._at_s
        elif self._at_s - self._waited_at_s >= self._calm_s:
            self._waiting_since_s = self._at_s

    @property
    def usage_slots(self) -> float:
        """Slots held on average in the last second."""
        return self._usage_slot_s / _USAGE_WINDOW_S

    @property
    def is_flooded(self) -> bool:
        """Whether the queue has not been empty for so long that it grows."""
        limit_s = _MEMORY_S + _FLOOD_SERVICE_TIMES * self.mean_service_s
        return self._at_s - self._waiting_since_s > limit_s

    def below_floor(self, now_s: Seconds) -> bool:
        """Whether the rank is owed slot time, running work deducted."""
        charged = sum(
            max(self.mean_service_s, now_s - entry.started_s)
            for entry in self.running_by_attempt.values()
        )
        return self._credit_slot_s > charged

    def start(self, work: QueuedWork, now_s: Seconds) -> None:
        """Note that work holds a slot."""
        self.running_by_attempt[work.attempt_id] = Running(work, now_s)

    def finish(
        self,
        attempt_id: AttemptId,
        now_s: Seconds,
        *,
        served: bool,
    ) -> bool:
        """Release a slot and charge it.

        Slot time of cancelled or refused work is neither charged nor counted
        in the mean service time.
        """
        entry = self.running_by_attempt.pop(attempt_id, None)
        if entry is None:
            return False
        if served and not entry.preempted:
            service_s = max(0, now_s - entry.started_s)
            self._credit_slot_s -= service_s
            weight = _MEAN_WEIGHT if self.mean_service_s else 1
            self.mean_service_s += weight * (service_s - self.mean_service_s)
        return True

    @property
    def _has_history(self) -> bool:
        """Whether credit or usage differ from those of an unused rank."""
        return self._credit_slot_s != 0 or self._usage_slot_s != 0

    @property
    def _calm_s(self) -> Seconds:
        return _CALM_SERVICE_TIMES * self.mean_service_s
