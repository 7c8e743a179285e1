"""Share of each rank's requests that a daemon admits under overload.

Adaptive admission control by queueing time and priority, after DAGOR (Zhou et
al., "Overload control for scaling WeChat microservices", SoCC 2018). Overload
is detected by the lateness of the event loop, that is the mean time that work
waited for it in a window. The arrivals by rank determine which share of each
rank is refused to keep the request rate within the next limit.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from boragespool.types import Rank

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.types import Seconds

#: Lateness caused by own work above which a daemon counts as overloaded; the
#: value of DAGOR.
TARGET_LATENESS_S: Final = 0.02
#: Lower bound of the limit. On a machine that is busy with other processes the
#: event loop is late without a flood of requests, and the daemon can still
#: serve this many.
MIN_LIMIT_PER_S: Final = 40.0
#: Bounds of the factor of one decrease. DAGOR decreases by 5% in each second;
#: here a flood of five times the capacity must be cut within about a second.
_MAX_DECREASE_FACTOR: Final = 0.95
_MIN_DECREASE_FACTOR: Final = 0.7
#: Factor of the increase per window without overload. From `MIN_LIMIT_PER_S`
#: the limit passes 1,500 requests per second, more than a daemon can serve, in
#: 20 windows (5 s).
_INCREASE_FACTOR: Final = 1.2
#: Lateness counts as falling if it is below this multiple of the lateness in
#: the window before.
_FALLING_RATIO: Final = 0.9
#: Weight of the latest window in the moving average of the arrivals.
_ARRIVALS_WEIGHT: Final = 0.5
#: Windows in a row without overload or refusal after which the limit is lifted.
_LIFT_WINDOW_COUNT: Final = 4


def _admit_all() -> dict[Rank, float]:
    return dict.fromkeys(Rank, 1.0)


@dataclass(frozen=True, slots=True)
class LoopWindow:
    """Measurements of a daemon in one time window.

    Attributes
    ----------
    duration_s : float
        Length of the window, in seconds.
    lateness_s : float
        Mean time that work waited for the event loop, in seconds.
    arrived_by_rank, admitted_by_rank : mapping of Rank to int
        Number of callers' requests; a missing rank counts as 0.
    cpu_share : float
        Share of the window, 0 to 1, in which the event loop had a processor.
    """

    duration_s: Seconds
    lateness_s: Seconds
    arrived_by_rank: Mapping[Rank, int]
    admitted_by_rank: Mapping[Rank, int]
    cpu_share: float = 1

    @property
    def own_lateness_s(self) -> Seconds:
        """Part of the lateness that the daemon's own work causes, in seconds.

        On a host that is busy with other processes the loop is late even if it
        does little, and refusals would not help.
        """
        return self.lateness_s * min(1, self.cpu_share)


@dataclass(frozen=True, slots=True)
class Admission:
    """Requests that a daemon admits.

    Attributes
    ----------
    limit_per_s : float
        Requests per second of all ranks; infinity without overload.
    share_by_rank : mapping of Rank to float
        Admitted share of the requests, 0 to 1.
    expected_per_s_by_rank : mapping of Rank to float
        Requests per second that are expected in the next window; a moving
        average of the arrivals.
    lateness_s : float
        Lateness that own work caused in the last window, in seconds.
    windows_without_overload : int
        Number of windows in a row without overload or refusal.
    """

    limit_per_s: float = math.inf
    share_by_rank: Mapping[Rank, float] = field(default_factory=_admit_all)
    expected_per_s_by_rank: Mapping[Rank, float] = field(default_factory=dict)
    lateness_s: Seconds = 0
    windows_without_overload: int = 0

    @property
    def is_limited(self) -> bool:
        """Whether a part of the requests of any rank is refused."""
        return min(self.share_by_rank.values()) < 1


def next_admission(
    before: Admission,
    window: LoopWindow,
    floor_by_rank: Mapping[Rank, float],
) -> Admission:
    """Return what is admitted in the window after the measured one.

    Parameters
    ----------
    before : Admission
        What was admitted in the measured window.
    window : LoopWindow
        Measurements of the window.
    floor_by_rank : mapping of Rank to float
        Share of the limit, 0 to 1, that is guaranteed to each rank while it
        requests that much.

    Returns
    -------
    Admission
        The limit is cut while the lateness is above `TARGET_LATENESS_S` and
        not falling, and is raised while it is not above. The limit is lifted
        after `_LIFT_WINDOW_COUNT` windows (one second) in a row without
        overload or refusal.
    """
    limit_per_s = _next_limit(before, window)
    expected_per_s = _expected_arrivals(before, window)
    share_by_rank = _admitted_shares(expected_per_s, limit_per_s, floor_by_rank)
    is_without_overload = (
        window.own_lateness_s <= TARGET_LATENESS_S
        and min(share_by_rank.values()) == 1
    )
    windows_without_overload = (
        before.windows_without_overload + 1 if is_without_overload else 0
    )
    if windows_without_overload >= _LIFT_WINDOW_COUNT:
        limit_per_s = math.inf
    return Admission(
        limit_per_s,
        share_by_rank,
        expected_per_s,
        window.own_lateness_s,
        windows_without_overload,
    )


def _expected_arrivals(
    before: Admission, window: LoopWindow
) -> dict[Rank, float]:
    """Return a moving average of the arrivals per second by rank.

    Arrivals come in bursts while the loop is late. Without the average, a rank
    without arrivals in one window would be admitted as a whole in the next.
    """
    expected_per_s = {}
    for rank in Rank:
        arrived_per_s = window.arrived_by_rank.get(rank, 0) / window.duration_s
        earlier_per_s = before.expected_per_s_by_rank.get(rank, 0)
        change_per_s = _ARRIVALS_WEIGHT * (arrived_per_s - earlier_per_s)
        expected_per_s[rank] = earlier_per_s + change_per_s
    return expected_per_s


def _next_limit(before: Admission, window: LoopWindow) -> float:
    """Return the limit after a window, in requests per second.

    The limit is raised without overload, and cut below the admitted rate under
    overload. While the lateness is falling the limit stays, as requests of an
    earlier window are still waiting.
    """
    lateness_s = window.own_lateness_s
    if lateness_s <= TARGET_LATENESS_S:
        return before.limit_per_s * _INCREASE_FACTOR
    if lateness_s < before.lateness_s * _FALLING_RATIO:
        return before.limit_per_s
    admitted_per_s = sum(window.admitted_by_rank.values()) / window.duration_s
    decrease_factor = min(
        _MAX_DECREASE_FACTOR,
        max(_MIN_DECREASE_FACTOR, TARGET_LATENESS_S / lateness_s),
    )
    return max(
        MIN_LIMIT_PER_S,
        decrease_factor * min(before.limit_per_s, admitted_per_s),
    )


def _admitted_shares(
    expected_per_s: Mapping[Rank, float],
    limit_per_s: float,
    floor_by_rank: Mapping[Rank, float],
) -> dict[Rank, float]:
    """Return the admitted share of each rank's expected requests, 0 to 1.

    The floors are granted first, then the rest of the limit, to the highest
    rank first.
    """
    if sum(expected_per_s.values()) <= limit_per_s:
        return _admit_all()
    admitted_per_s = {
        rank: min(wanted_per_s, floor_by_rank.get(rank, 0) * limit_per_s)
        for rank, wanted_per_s in expected_per_s.items()
    }
    left_per_s = limit_per_s - sum(admitted_per_s.values())
    for rank, wanted_per_s in expected_per_s.items():
        extra_per_s = max(
            0, min(wanted_per_s - admitted_per_s[rank], left_per_s)
        )
        admitted_per_s[rank] += extra_per_s
        left_per_s -= extra_per_s
    return {
        requested_rank: (
            min(1, admitted_per_s[requested_rank] / requested_per_s)
            if requested_per_s
            else 1
        )
        for requested_rank, requested_per_s in expected_per_s.items()
    }


class RequestSampler:
    """Admits a given share of a sequence of requests, evenly spread.

    A running sum of the share gives exact counts without random numbers.
    """

    def __init__(self) -> None:
        """Set up the sum; the first request is admitted at a share above 0."""
        self._credit: float = 1

    def admit(self, share: float) -> bool:
        """Return whether the next request is admitted, at a share of 0 to 1."""
        self._credit += share
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
