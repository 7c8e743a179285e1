"""Slot time that a rank used at one backend server, compared with its floor.

The floor is the share of the slots that a rank is guaranteed. The credit is a
deficit counter (Shreedhar and Varghese, "Efficient fair queueing using deficit
round robin", SIGCOMM 1995) in slot seconds, that is slots times seconds. It
grows at the rate of the floor, is positive only while work of the rank waits,
and is charged for the slot time that served work used.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.ranks.work import QueuedWork
    from boragespool.types import AttemptId, Seconds

#: Credit and debt are bounded by the slot time that the floor gives in this
#: period, plus one mean service time for each slot of the floor and for one
#: more. A rank that borrowed idle slots thus gets its floor back soon after a
#: flood starts.
_CREDIT_WINDOW_S: Final = 0.5
#: Weight of the latest service time in the moving average.
_MEAN_WEIGHT: Final = 0.05
_USAGE_WINDOW_S: Final = 1
#: A rank counts as flooded once its queue has not been empty for
#: `_CREDIT_WINDOW_S` plus this many mean service times. Without a flood, at a
#: demand of 0.79 of 5 slots, a queue empties after a fifth of a service time on
#: average.
_FLOOD_START_SERVICE_TIMES: Final = 2
#: A flood ends once the queue has been empty for this many mean service times.
#: Shorter gaps do not count, as refused callers take a moment to send their
#: next request.
_FLOOD_END_SERVICE_TIMES: Final = 0.25


@dataclass(slots=True)
class RunningWork:
    """Work that holds a slot.

    Attributes
    ----------
    started_s : float
        Time at which it got the slot, in seconds.
    preempted : bool
        Whether it is being cancelled to free the slot.
    """

    work: QueuedWork
    started_s: Seconds
    preempted: bool = False


class SlotAccount:
    """Running work, floor credit and service times of one rank.

    Times are passed in, in seconds on the clock of the queue.

    Attributes
    ----------
    running_by_attempt : dict of str to RunningWork
        Work that holds a slot.
    mean_service_s : float
        Moving average of the service time in seconds; 0 before the first
        work was served.
    """

    def __init__(self) -> None:
        """Set up an empty account: no running work, credit or service time."""
        self.running_by_attempt: dict[AttemptId, RunningWork] = {}
        self.mean_service_s: Seconds = 0
        self._credit_slot_s: float = 0
        self._usage_slot_s: float = 0
        self._waiting_since_s: Seconds = 0
        self._last_waiting_at_s: Seconds = 0
        self._advanced_at_s: Seconds = 0

    @property
    def running_count(self) -> int:
        """Number of slots that the rank holds."""
        return len(self.running_by_attempt)

    def advance(
        self,
        now_s: Seconds,
        floor_slots: float,
        *,
        waiting: bool,
    ) -> None:
        """Accrue floor credit and slot usage up to `now_s`.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        floor_slots : float
            Guaranteed number of slots.
        waiting : bool
            Whether work of the rank is queued. Credit is not saved up while
            nothing waits.
        """
        elapsed_s = max(0, now_s - self._advanced_at_s)
        self._advanced_at_s = max(now_s, self._advanced_at_s)
        if not (waiting or self.running_by_attempt or self._has_history):
            return
        credit_limit_slot_s = _CREDIT_WINDOW_S * floor_slots
        credit_limit_slot_s += self.mean_service_s * (floor_slots + 1)
        self._credit_slot_s = min(
            credit_limit_slot_s if waiting else 0,
            max(-credit_limit_slot_s, self._credit_slot_s)
            + elapsed_s * floor_slots,
        )
        decay = max(0, 1 - elapsed_s / _USAGE_WINDOW_S)
        used_slot_s = elapsed_s * self.running_count
        self._usage_slot_s = self._usage_slot_s * decay + used_slot_s
        if waiting:
            self._last_waiting_at_s = self._advanced_at_s
        elif self._advanced_at_s - self._last_waiting_at_s >= self._flood_end_s:
            self._waiting_since_s = self._advanced_at_s

    @property
    def usage_slots(self) -> float:
        """Number of slots held, averaged over about the last second."""
        return self._usage_slot_s / _USAGE_WINDOW_S

    @property
    def is_flooded(self) -> bool:
        """Whether work has waited for so long that the queue must be growing.

        Short gaps in which nothing waits do not reset the waiting time.
        """
        limit_s = (
            _CREDIT_WINDOW_S + _FLOOD_START_SERVICE_TIMES * self.mean_service_s
        )
        return self._advanced_at_s - self._waiting_since_s > limit_s

    def is_below_floor(self, now_s: Seconds) -> bool:
        """Whether the rank got less slot time than its floor.

        Running work is charged with its time so far, and with at least one
        mean service time.
        """
        charged_slot_s = sum(
            max(self.mean_service_s, now_s - entry.started_s)
            for entry in self.running_by_attempt.values()
        )
        return self._credit_slot_s > charged_slot_s

    def start(self, work: QueuedWork, now_s: Seconds) -> None:
        """Record that work got a slot."""
        self.running_by_attempt[work.attempt_id] = RunningWork(work, now_s)

    def finish(
        self,
        attempt_id: AttemptId,
        now_s: Seconds,
        *,
        served: bool,
    ) -> bool:
        """Release the slot of an attempt and charge its slot time.

        Parameters
        ----------
        attempt_id : str
            Attempt that ended.
        now_s : float
            Current time in seconds.
        served : bool
            Whether the work ran to its end. Slot time of cancelled or refused
            work is neither charged nor counted in the mean service time.

        Returns
        -------
        bool
            Whether the attempt held a slot.
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
        """Whether credit or usage differ from 0."""
        return self._credit_slot_s != 0 or self._usage_slot_s != 0

    @property
    def _flood_end_s(self) -> Seconds:
        return _FLOOD_END_SERVICE_TIMES * self.mean_service_s
