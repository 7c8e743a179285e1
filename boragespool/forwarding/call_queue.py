"""Order in which calls wait for room at the backend servers of one service.

Answers the load of bursts and of shards whose servers are all slow: there is
no room for all, and an answer after its target is worth little to the caller.
Calls that can still meet their target go first, the most urgent before the
others and then those with most time left: with the least time first, all of
them are answered just too late once there is no room for all. Calls that are
late get what is left.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds

#: Each such grant goes to the call that has waited longest, so that no
#: priority starves: an eighth is half of the share of requests that must be
#: served of each kind.
_OLDEST_EVERY: Final = 8
#: Grants of one period without an empty queue that tell the rate: fewer ones
#: depend on single slow requests.
_LEAST_GRANTS: Final = 8
#: Grants after which the older half of a period stops to count, so that the
#: rate follows a change within some seconds.
_MOST_GRANTS: Final = 64


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that no backend server has room for.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    start_by_s : float
        Time until which it must be sent to be answered while that is worth
        most to the caller.
    deadline_at_s : float
        Latest answer.
    """

    number: int
    priority: int
    start_by_s: Seconds
    deadline_at_s: Seconds


class CallQueue:
    """Calls that wait for the backend servers of one service."""

    def __init__(self) -> None:
        """Start without calls."""
        self._waiting_by_number: dict[int, WaitingCall] = {}
        self._grant_count = 0
        self._period_began_s: Seconds = 0
        self._period_grants: float = 0

    def __len__(self) -> int:
        """Return how many calls wait."""
        return len(self._waiting_by_number)

    def add(self, call: WaitingCall, now_s: Seconds) -> bool:
        """Add a call; False if its turn would come after its end."""
        if not self._waiting_by_number:
            self._period_began_s = now_s
            self._period_grants = 0
        if now_s + self.wait_s(call.priority, now_s) >= call.deadline_at_s:
            return False
        self._waiting_by_number[call.number] = call
        return True

    def remove(self, number: int) -> None:
        """Remove a call that does not wait any more."""
        self._waiting_by_number.pop(number, None)

    def order(self, now_s: Seconds) -> tuple[int, ...]:
        """Return the calls in the order of their turns."""
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
        if numbers and self._grant_count % _OLDEST_EVERY == _OLDEST_EVERY - 1:
            numbers.insert(0, next(iter(waiting)))
        return tuple(dict.fromkeys(numbers))

    def grant(self, number: int, now_s: Seconds) -> None:
        """Note that a call got room."""
        if self._waiting_by_number.pop(number, None) is None:
            return
        self._grant_count += 1
        self._period_grants += 1
        if self._period_grants >= _MOST_GRANTS:
            self._period_grants /= 2
            self._period_began_s = (self._period_began_s + now_s) / 2

    def wait_s(self, priority: int, now_s: Seconds) -> Seconds:
        """Return how long one more call would wait, in seconds.

        It is 0 while too few grants tell how fast the servers are.
        """
        if self._period_grants < _LEAST_GRANTS:
            return 0
        ahead = sum(
            call.priority <= priority and call.start_by_s > now_s
            for call in self._waiting_by_number.values()
        )
        period_s = now_s - self._period_began_s
        return ahead * period_s / self._period_grants
