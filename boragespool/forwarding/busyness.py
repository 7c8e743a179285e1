"""Decision whether a daemon has more work than it can do without delay.

Answers a crowd of callers on the part of the daemons that takes them: a busy
daemon says so in its record, and callers are given further daemons.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds

#: Weight of one sample of the event loop's lateness in the moving average.
_SAMPLE_WEIGHT: Final = 0.25
#: Upper bound of a sample, in seconds, so that one pause of the process does
#: not count as load.
_MAX_SAMPLE_S: Final = 0.05
#: Mean lateness of the event loop from which a daemon is busy, and below which
#: it may stop being busy, in seconds.
_BUSY_LATENESS_S: Final = 0.02
_CALM_LATENESS_S: Final = 0.008
#: Minimum time for which a daemon stays busy, in seconds. Each change costs a
#: write to the store.
_MIN_BUSY_S: Final = 10


@dataclass(frozen=True, slots=True)
class Busyness:
    """Load of one daemon's event loop.

    Attributes
    ----------
    lateness_s : float
        Moving average of the delay of timers, in seconds.
    busy : bool
        Whether the daemon has more work than it can do without delay.
    late_at_s : float
        Last time at which `lateness_s` was above the calm range, on the clock
        of the timer service.
    """

    lateness_s: Seconds = 0
    busy: bool = False
    late_at_s: Seconds = 0


def after_sample(
    before: Busyness, lateness_s: Seconds, now_s: Seconds
) -> Busyness:
    """Return the state after one measurement of the event loop's lateness.

    Parameters
    ----------
    lateness_s : float
        Delay of one timer, in seconds.
    now_s : float
        Present time on the clock of the timer service.
    """
    sample_s = min(max(0, lateness_s), _MAX_SAMPLE_S)
    mean_s = before.lateness_s + _SAMPLE_WEIGHT * (sample_s - before.lateness_s)
    after = replace(before, lateness_s=mean_s)
    if mean_s >= _CALM_LATENESS_S:
        after = replace(after, late_at_s=now_s)
    if mean_s >= _BUSY_LATENESS_S:
        return replace(after, busy=True)
    is_calm = now_s - after.late_at_s >= _MIN_BUSY_S
    return replace(after, busy=after.busy and not is_calm)
