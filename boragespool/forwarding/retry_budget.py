"""Budget of repeated attempts (retries and hedges) to one service.

The limit holds for all daemons together. Within a sliding window, each daemon
may send its share of a fixed allowance, plus a ratio of the requests that it
received itself. The sum over all daemons then stays within the limit without
any coordination between them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds

#: Number of slices of the window; half a second each with a window of 10 s.
_SLICE_COUNT: Final = 20
#: Fraction of the fixed allowance that is used. The rest covers the time in
#: which the daemons disagree on how many of them share it.
_ALLOWANCE_UTILISATION: Final = 0.8
#: Fraction of its allowance that a daemon may use right after its start.
_INITIAL_ALLOWANCE_RATIO: Final = 0.3
#: Fraction of the ratio that is used, as the slices of different daemons are
#: not aligned.
_RATIO_UTILISATION: Final = 0.95
#: Fraction of the budget that is reserved for retries. A retry replaces an
#: attempt that has failed, a hedge only one that is late.
_RETRY_RESERVE_RATIO: Final = 0.4


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limit on the repeated attempts of all daemons to each service.

    Attributes
    ----------
    ratio : float
        Repeated attempts allowed per request in the window.
    window_s : float
        Length of the sliding window, in seconds.
    allowance : float
        Repeated attempts allowed in a window in addition to the ratio.
    """

    ratio: float
    window_s: Seconds
    allowance: float


@dataclass(slots=True)
class _Slice:
    start_s: Seconds
    request_count: int = 0
    repeat_count: int = 0


class RetryBudget:
    """Budget of one daemon for repeated attempts to one service.

    Parameters
    ----------
    limits : RetryLimits
        Limit over all daemons.
    started_at_s : float
        Start of the daemon on the clock of the timer service. The allowance
        grows to its full size over the first window, because the process
        that ran before on this host may have used it.
    """

    def __init__(self, limits: RetryLimits, started_at_s: Seconds) -> None:
        """Create a budget with an empty window."""
        self._limits = limits
        self._started_at_s = started_at_s
        self._slices: deque[_Slice] = deque()
        self._request_count = 0
        self._repeat_count = 0

    def record_request(self, now_s: Seconds) -> None:
        """Count the first attempt of a request."""
        self._current_slice(now_s).request_count += 1
        self._request_count += 1

    def spend(
        self,
        now_s: Seconds,
        daemon_count: int,
        *,
        is_hedge: bool,
    ) -> bool:
        """Take one repeated attempt from the budget.

        Parameters
        ----------
        now_s : float
            Present time on the clock of the timer service.
        daemon_count : int
            Number of daemons that share the allowance, at least 1.
        is_hedge : bool
            Whether the attempt is a hedge, sent while an earlier attempt may
            still be answered, and not a retry.

        Returns
        -------
        bool
            Whether the attempt may be sent.
        """
        current = self._current_slice(now_s)
        allowed = self._allowed_count(now_s, daemon_count)
        if is_hedge:
            allowed *= 1 - _RETRY_RESERVE_RATIO
        if allowed - self._repeat_count < 1:
            return False
        current.repeat_count += 1
        self._repeat_count += 1
        return True

    def _allowed_count(self, now_s: Seconds, daemon_count: int) -> float:
        """Return the number of repeated attempts allowed in the window."""
        limits = self._limits
        age_ratio = min(1, (now_s - self._started_at_s) / limits.window_s)
        ramp_ratio = (
            _INITIAL_ALLOWANCE_RATIO
            + (1 - _INITIAL_ALLOWANCE_RATIO) * age_ratio
        )
        allowance = (
            _ALLOWANCE_UTILISATION * limits.allowance / max(1, daemon_count)
        )
        ratio = _RATIO_UTILISATION * limits.ratio
        return allowance * ramp_ratio + ratio * self._request_count

    def _current_slice(self, now_s: Seconds) -> _Slice:
        """Drop expired slices and return the slice that contains `now_s`."""
        slices = self._slices
        slice_s = self._limits.window_s / _SLICE_COUNT
        oldest_s = now_s - self._limits.window_s - slice_s
        while slices and slices[0].start_s < oldest_s:
            dropped = slices.popleft()
            self._request_count -= dropped.request_count
            self._repeat_count -= dropped.repeat_count
        if not slices or now_s - slices[-1].start_s >= slice_s:
            slices.append(_Slice(now_s))
        return slices[-1]
