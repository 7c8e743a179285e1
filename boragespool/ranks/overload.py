"""Which share of each rank a daemon admits while its event loop is late.

Adaptive admission by queueing time and priority, after DAGOR (Zhou et al.,
"Overload control for scaling WeChat microservices", SoCC 2018): the mean
queueing time of a window tells overload, and the arrivals by rank in that
window tell which ranks to refuse in order to reach the next target.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from boragespool.types import Rank

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.types import Seconds

#: Mean queueing time by own work that tells overload; the value of DAGOR.
TARGET_LATENESS_S: Final = 0.02
#: Admitted requests per second below which the limit never falls. A daemon
#: on a busy machine is late without being flooded, and can do this much.
MIN_LIMIT_PER_S: Final = 40.0
#: Bounds of one decrease. DAGOR decreases by 5% in each second; a flood of
#: five times the capacity must be cut within about a second here.
_SMALLEST_CUT: Final = 0.95
_LARGEST_CUT: Final = 0.7
#: Increase per window without overload. From `MIN_LIMIT_PER_S` the limit passes
#: 1,500 requests per second, more than a daemon can do, in 20 windows (5 s).
_GROWTH: Final = 1.2
#: Queueing time relative to the window before that counts as falling.
_FALLING: Final = 0.9
#: Weight of the last window in the moving average of the arrivals.
_WEIGHT: Final = 0.5
#: Windows without a refusal after which the limit is lifted.
_CALM_WINDOWS: Final = 4


def _admit_all() -> dict[Rank, float]:
    return dict.fromkeys(Rank, 1.0)


@dataclass(frozen=True, slots=True)
class LoopWindow:
    """What a daemon measured in one window.

    Attributes
    ----------
    duration_s : float
        Length of the window, in seconds.
    lateness_s : float
        Mean time that work waited for the event loop, in seconds.
    arrived_by_rank, admitted_by_rank : mapping of Rank to int
        Requests of callers; a missing rank counts as 0.
    busy : float
        Share of the window, 0 to 1, in which the loop itself had a processor.
    """

    duration_s: Seconds
    lateness_s: Seconds
    arrived_by_rank: Mapping[Rank, int]
    admitted_by_rank: Mapping[Rank, int]
    busy: float = 1

    @property
    def own_lateness_s(self) -> Seconds:
        """Part of the lateness that the daemon's own work causes.

        On a host that is busy with other processes the loop is late however
        little it does, and refusals would not help.
        """
        return self.lateness_s * min(1, self.busy)


@dataclass(frozen=True, slots=True)
class Admission:
    """What a daemon admits.

    Attributes
    ----------
    limit_per_s : float
        Requests per second of all ranks; infinity without overload.
    share_by_rank : mapping of Rank to float
        Admitted share of the requests, 0 to 1.
    expected_per_s_by_rank : mapping of Rank to float
        Requests per second that are expected in the next window.
    lateness_s : float
        Lateness in the last window that own work caused, in seconds.
    calm_windows : int
        Windows in a row in which the limit refused nothing.
    """

    limit_per_s: float = math.inf
    share_by_rank: Mapping[Rank, float] = field(default_factory=_admit_all)
    expected_per_s_by_rank: Mapping[Rank, float] = field(default_factory=dict)
    lateness_s: Seconds = 0
    calm_windows: int = 0

    @property
    def is_limited(self) -> bool:
        """Whether any rank is refused in part."""
        return min(self.share_by_rank.values()) < 1


def next_admission(
    before: Admission,
    window: LoopWindow,
    floor_by_rank: Mapping[Rank, float],
) -> Admission:
    """Decide what is admitted after a window.

    Parameters
    ----------
    before : Admission
        What was admitted in the window.
    window : LoopWindow
        Measurements.
    floor_by_rank : mapping of Rank to float
        Share of the limit, 0 to 1, that each rank keeps while it wants it.

    Returns
    -------
    Admission
        The limit is cut while the queueing time is above `TARGET_LATENESS_S`, and
        grows otherwise. It is lifted after one second without a refusal.
    """
    limit_per_s = _next_limit(before, window)
    wanted_per_s = _expect(before, window)
    share_by_rank = _shares(wanted_per_s, limit_per_s, floor_by_rank)
    is_calm = (
        window.own_lateness_s <= TARGET_LATENESS_S
        and min(share_by_rank.values()) == 1
    )
    calm_windows = before.calm_windows + 1 if is_calm else 0
    if calm_windows >= _CALM_WINDOWS:
        limit_per_s = math.inf
    return Admission(
        limit_per_s,
        share_by_rank,
        wanted_per_s,
        window.own_lateness_s,
        calm_windows,
    )


def _expect(before: Admission, window: LoopWindow) -> dict[Rank, float]:
    """Return a moving average of the arrivals.

    Arrivals come in bursts while the loop is late. A rank without arrivals in
    one window would else be admitted as a whole in the next.
    """
    wanted_per_s = {}
    for rank in Rank:
        arrived_per_s = window.arrived_by_rank.get(rank, 0) / window.duration_s
        earlier_per_s = before.expected_per_s_by_rank.get(rank, 0)
        change_per_s = _WEIGHT * (arrived_per_s - earlier_per_s)
        wanted_per_s[rank] = earlier_per_s + change_per_s
    return wanted_per_s


def _next_limit(before: Admission, window: LoopWindow) -> float:
    """Cut what was admitted, or let the limit grow.

    While the queueing time falls by itself the limit stays, as the requests
    of an earlier window are still waiting.
    """
    lateness_s = window.own_lateness_s
    if lateness_s <= TARGET_LATENESS_S:
        return before.limit_per_s * _GROWTH
    if lateness_s < before.lateness_s * _FALLING:
        return before.limit_per_s
    admitted_per_s = sum(window.admitted_by_rank.values()) / window.duration_s
    cut = min(
        _SMALLEST_CUT,
        max(_LARGEST_CUT, TARGET_LATENESS_S / lateness_s),
    )
    return max(MIN_LIMIT_PER_S, cut * min(before.limit_per_s, admitted_per_s))


def _shares(
    arrived_per_s: Mapping[Rank, float],
    limit_per_s: float,
    floor_by_rank: Mapping[Rank, float],
) -> dict[Rank, float]:
    """Divide the limit: floors first, the rest by rank, most urgent first."""
    if sum(arrived_per_s.values()) <= limit_per_s:
        return _admit_all()
    admitted_per_s = {
        rank: min(wanted, floor_by_rank.get(rank, 0) * limit_per_s)
        for rank, wanted in arrived_per_s.items()
    }
    left_per_s = limit_per_s - sum(admitted_per_s.values())
    for rank, wanted in arrived_per_s.items():
        extra = max(0, min(wanted - admitted_per_s[rank], left_per_s))
        admitted_per_s[rank] += extra
        left_per_s -= extra
    return {
        name: min(1, admitted_per_s[name] / asked) if asked else 1
        for name, asked in arrived_per_s.items()
    }


class RequestSampler:
    """Admits a share of a sequence of requests, evenly spread.

    A running sum of the share gives exact counts without random numbers.
    """

    def __init__(self) -> None:
        """Start so that the first request of a share above 0 is admitted."""
        self._credit: float = 1

    def admit(self, share: float) -> bool:
        """Tell whether the next request is admitted."""
        self._credit += share
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
