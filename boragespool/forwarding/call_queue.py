"""Queue of calls that wait for a free backend server of one service.

Calls wait here during bursts, and while all servers of a shard are slow. Some
of them then miss their target latency, after which a response is of little use
to the caller.

Calls that can still meet their target are dispatched first, by priority and
then by remaining time, longest first. With the shortest remaining time first,
an overload would make every call just miss its target. Calls that can no
longer meet their target are dispatched last.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds

#: Every n-th dispatch takes the call that has waited longest, so that no
#: priority starves. An eighth is half of the share of requests that must be
#: served at each priority.
_OLDEST_CALL_INTERVAL: Final = 8
#: Least number of dispatches since the queue was last empty from which the
#: dispatch rate is estimated; with fewer, one slow request distorts the rate.
_MIN_RATE_SAMPLES: Final = 8
#: Number of dispatches after which the older half is dropped from the
#: estimate, so that the rate follows a change within a few seconds.
_MAX_RATE_SAMPLES: Final = 64


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that waits for a free backend server.

    Times are on the clock of the timer service, in seconds.

    Attributes
    ----------
    number : int
        Identifies the call within the daemon.
    priority : int
        0 is the most urgent.
    start_by_s : float
        Latest time at which the call can be sent and still meet its target
        latency.
    deadline_at_s : float
        Time by which the final response must be sent.
    """

    number: int
    priority: int
    start_by_s: Seconds
    deadline_at_s: Seconds


class CallQueue:
    """Waiting calls of one service, with an estimate of the dispatch rate."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting_by_number: dict[int, WaitingCall] = {}
        self._dispatched_count = 0
        self._period_start_s: Seconds = 0
        self._period_dispatches: float = 0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiting_by_number)

    def add(self, call: WaitingCall, now_s: Seconds) -> bool:
        """Add a call unless it is expected to wait past its deadline.

        Returns
        -------
        bool
            Whether the call was added.
        """
        if not self._waiting_by_number:
            self._period_start_s = now_s
            self._period_dispatches = 0
        if (
            now_s + self.expected_wait_s(call.priority, now_s)
            >= call.deadline_at_s
        ):
            return False
        self._waiting_by_number[call.number] = call
        return True

    def remove(self, number: int) -> None:
        """Remove a call that no longer waits; unknown numbers are ignored."""
        self._waiting_by_number.pop(number, None)

    def order(self, now_s: Seconds) -> tuple[int, ...]:
        """Return the numbers of the calls in dispatch order."""
        waiting = self._waiting_by_number
        ordered = sorted(
            waiting.values(),
            key=lambda call: (
                call.start_by_s <= now_s,
                call.priority,
                -call.start_by_s,
            ),
        )
        numbers = [call.number for call in ordered]
        if (
            numbers
            and self._dispatched_count % _OLDEST_CALL_INTERVAL
            == _OLDEST_CALL_INTERVAL - 1
        ):
            numbers.insert(0, next(iter(waiting)))
        return tuple(dict.fromkeys(numbers))

    def mark_dispatched(self, number: int, now_s: Seconds) -> None:
        """Remove a call that was sent, and count it in the dispatch rate."""
        if self._waiting_by_number.pop(number, None) is None:
            return
        self._dispatched_count += 1
        self._period_dispatches += 1
        if self._period_dispatches >= _MAX_RATE_SAMPLES:
            self._period_dispatches /= 2
            self._period_start_s = (self._period_start_s + now_s) / 2

    def expected_wait_s(self, priority: int, now_s: Seconds) -> Seconds:
        """Return the expected wait of a new call, in seconds.

        It is 0 until enough calls were dispatched to estimate the rate.
        """
        if self._period_dispatches < _MIN_RATE_SAMPLES:
            return 0
        ahead = sum(
            call.priority <= priority and call.start_by_s > now_s
            for call in self._waiting_by_number.values()
        )
        period_s = now_s - self._period_start_s
        return ahead * period_s / self._period_dispatches
