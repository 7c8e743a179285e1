"""Limit on the second attempts that all daemons send to one service.

Each daemon may add its share of a fixed allowance and a ratio of its own
first attempts within a sliding window, so that the sum over all daemons stays
within the limit without any message between them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds

#: Counts of a window are kept in this many slices.
_SLICES: Final = 20
#: Part of the fixed allowance that is used: a restarted daemon begins with a
#: full allowance although its predecessor may have used one in the window.
_ALLOWANCE_USE: Final = 0.5
#: Part of the ratio that is used, as daemons slice their windows differently.
_RATIO_USE: Final = 0.9


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limit on second attempts, for each service and over all daemons.

    Attributes
    ----------
    ratio : float
        Second attempts per request.
    window_s : float
        Length of the sliding window, in seconds.
    allowance : float
        Second attempts in a window besides the ratio.
    """

    ratio: float
    window_s: Seconds
    allowance: float


@dataclass(slots=True)
class _Slice:
    begin_s: Seconds
    requests: int = 0
    repeats: int = 0


class WindowBudget:
    """Second attempts of one daemon to one service.

    Parameters
    ----------
    limits : RetryLimits
        Limit over all daemons.
    """

    def __init__(self, limits: RetryLimits) -> None:
        """Start with an empty window."""
        self._limits = limits
        self._slices: deque[_Slice] = deque()
        self._requests = 0
        self._repeats = 0

    def note_request(self, now_s: Seconds) -> None:
        """Count the first attempt of a request."""
        self._current(now_s).requests += 1
        self._requests += 1

    def left(self, now_s: Seconds, daemon_count: int) -> float:
        """Return how many second attempts may be sent now.

        Parameters
        ----------
        daemon_count : int
            Daemons that share the allowance, at least 1.
        """
        self._current(now_s)
        limits = self._limits
        allowance = _ALLOWANCE_USE * limits.allowance / max(1, daemon_count)
        ratio = _RATIO_USE * limits.ratio
        return allowance + ratio * self._requests - self._repeats

    def spend(self, now_s: Seconds, daemon_count: int) -> bool:
        """Take one second attempt; False if none is left."""
        if self.left(now_s, daemon_count) < 1:
            return False
        self._current(now_s).repeats += 1
        self._repeats += 1
        return True

    def _current(self, now_s: Seconds) -> _Slice:
        """Drop old slices and return the one that now belongs to."""
        slices = self._slices
        oldest_s = now_s - self._limits.window_s
        while slices and slices[0].begin_s < oldest_s:
            dropped = slices.popleft()
            self._requests -= dropped.requests
            self._repeats -= dropped.repeats
        if (
            not slices
            or now_s - slices[-1].begin_s >= self._limits.window_s / _SLICES
        ):
            slices.append(_Slice(now_s))
        return slices[-1]
