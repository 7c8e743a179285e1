"""Budget of repeated attempts (retries and hedges) to one service.

The limit holds for all daemons together. Within a sliding window, each daemon
may send its share of a fixed allowance, plus a ratio of the requests that it
received itself. The sum over all daemons then stays within the limit without
any coordination between them.

The allowance is divided between the daemons that take callers. The others
keep the share of an equal division between all daemons, for callers that have
not yet left them.
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
#: Fraction of a new share that a daemon may use at once.
_INITIAL_SHARE_RATIO: Final = 0.3
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


@dataclass(frozen=True, slots=True)
class AllowanceShare:
    """Share of one daemon in the fixed allowance.

    A share that rises reaches its new value only after a window: another
    daemon, or the process that ran before on this host, may have used the
    difference within the window. A share that falls does so at once.

    Attributes
    ----------
    initial : float
        Share at `changed_at_s`, 0 to 1.
    final : float
        Share from one window later on, 0 to 1.
    changed_at_s : float
        Time of the last change on the clock of the timer service.
    """

    initial: float = 0
    final: float = 0
    changed_at_s: Seconds = 0

    def at(self, now_s: Seconds, window_s: Seconds) -> float:
        """Return the share at a time."""
        progress = min(1, max(0, now_s - self.changed_at_s) / window_s)
        return self.initial + (self.final - self.initial) * progress

    def changed(
        self, share: float, now_s: Seconds, window_s: Seconds
    ) -> AllowanceShare:
        """Return the share that grows or falls to another value."""
        if share == self.final:
            return self
        reached = max(self.at(now_s, window_s), share * _INITIAL_SHARE_RATIO)
        return AllowanceShare(min(share, reached), share, now_s)


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
    """

    def __init__(self, limits: RetryLimits) -> None:
        """Create a budget with an empty window."""
        self._limits = limits
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
        allowance_share: float,
        *,
        is_hedge: bool,
    ) -> bool:
        """Take one repeated attempt from the budget.

        Parameters
        ----------
        now_s : float
            Present time on the clock of the timer service.
        allowance_share : float
            Share of this daemon in the fixed allowance, 0 to 1.
        is_hedge : bool
            Whether the attempt is a hedge, sent while an earlier attempt may
            still be answered, and not a retry.

        Returns
        -------
        bool
            Whether the attempt may be sent.
        """
        current = self._current_slice(now_s)
        allowed = self._allowed_count(allowance_share)
        if is_hedge:
            allowed *= 1 - _RETRY_RESERVE_RATIO
        if allowed - self._repeat_count < 1:
            return False
        current.repeat_count += 1
        self._repeat_count += 1
        return True

    def _allowed_count(self, allowance_share: float) -> float:
        """Return the number of repeated attempts allowed in the window."""
        limits = self._limits
        allowance = _ALLOWANCE_UTILISATION * limits.allowance * allowance_share
        ratio = _RATIO_UTILISATION * limits.ratio
        return allowance + ratio * self._request_count

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
