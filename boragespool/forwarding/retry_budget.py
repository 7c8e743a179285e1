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

#: Counts of a window are kept in this many slices, half a second each.
_SLICES: Final = 20
#: Part of the fixed allowance that is used. The daemons do not know at the
#: same moment how many of them share it.
_ALLOWANCE_USE: Final = 0.8
#: Part of the allowance that a daemon has at its start.
_FIRST_SHARE: Final = 0.3
#: Part of the ratio that is used, as daemons slice their windows differently.
_RATIO_USE: Final = 0.95
#: Part of what may be sent in a window that hedges leave to retries: a retry
#: replaces an attempt that has failed, a hedge one that is only late.
_RETRY_RESERVE: Final = 0.4


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


class RetryBudget:
    """Second attempts of one daemon to one service.

    Parameters
    ----------
    limits : RetryLimits
        Limit over all daemons.
    started_at_s : float
        Start of the daemon. Its predecessor may have used the allowance, so
        that it grows over the first window.
    """

    def __init__(self, limits: RetryLimits, started_at_s: Seconds) -> None:
        """Start with an empty window."""
        self._limits = limits
        self._started_at_s = started_at_s
        self._slices: deque[_Slice] = deque()
        self._requests = 0
        self._repeats = 0

    def record_request(self, now_s: Seconds) -> None:
        """Count the first attempt of a request."""
        self._current(now_s).requests += 1
        self._requests += 1

    def spend(
        self,
        now_s: Seconds,
        daemon_count: int,
        *,
        is_hedge: bool,
    ) -> bool:
        """Take one second attempt; False if none is left.

        Parameters
        ----------
        daemon_count : int
            Daemons that share the allowance, at least 1.
        is_hedge : bool
            Whether the first attempt may still be answered.
        """
        current = self._current(now_s)
        allowed = self._allowed(now_s, daemon_count)
        if is_hedge:
            allowed *= 1 - _RETRY_RESERVE
        if allowed - self._repeats < 1:
            return False
        current.repeats += 1
        self._repeats += 1
        return True

    def _allowed(self, now_s: Seconds, daemon_count: int) -> float:
        """Return how many second attempts the present window may hold."""
        limits = self._limits
        age = min(1, (now_s - self._started_at_s) / limits.window_s)
        grown = _FIRST_SHARE + (1 - _FIRST_SHARE) * age
        allowance = _ALLOWANCE_USE * limits.allowance / max(1, daemon_count)
        ratio = _RATIO_USE * limits.ratio
        return allowance * grown + ratio * self._requests

    def _current(self, now_s: Seconds) -> _Slice:
        """Drop old slices and return the one that now belongs to."""
        slices = self._slices
        slice_s = self._limits.window_s / _SLICES
        oldest_s = now_s - self._limits.window_s - slice_s
        while slices and slices[0].begin_s < oldest_s:
            dropped = slices.popleft()
            self._requests -= dropped.requests
            self._repeats -= dropped.repeats
        if not slices or now_s - slices[-1].begin_s >= slice_s:
            slices.append(_Slice(now_s))
        return slices[-1]
