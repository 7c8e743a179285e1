"""Local health score that lengthens the timeouts of failure detection.

A daemon that is itself slow or suspected waits longer before it suspects
others. Follows Lifeguard: Dadgar, Phillips and Currey, "Lifeguard: local
health awareness for more accurate failure detection", DSN workshops 2018.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.membership.options import MembershipOptions
    from boragespool.types import Seconds


def score_after_tick(
    score: int,
    late_s: Seconds,
    options: MembershipOptions,
) -> int:
    """Return the health score after a tick of the ping timer.

    Parameters
    ----------
    score : int
        Score before the tick; 0 is healthy.
    late_s : float
        How late the tick is, in seconds.
    options : MembershipOptions
        Provides the interval of the ticks and the maximum score.

    Returns
    -------
    int
        Score from 0 to ``options.health_limit``. Each half interval of delay
        raises it by one, because a daemon that was paused has not read the
        answers and refutations that arrived meanwhile. A tick without such a
        delay lowers it by one, even if no member answers its pings.
    """
    half_intervals = int(2 * late_s / options.ping_interval_s)
    if not half_intervals:
        return max(0, score - 1)
    return min(options.health_limit, score + half_intervals)


def score_after_suspicion(score: int, limit: int) -> int:
    """Return the health score after another member suspected this daemon."""
    return min(limit, score + 1)


def scale_timeouts(options: MembershipOptions, score: int) -> MembershipOptions:
    """Multiply the timeouts of failure detection by ``1 + score``.

    Parameters
    ----------
    options : MembershipOptions
        Options with the timeouts of a healthy daemon.
    score : int
        Health score; 0 is healthy.

    Returns
    -------
    MembershipOptions
        Options with `ping_timeout_s` and `suspicion_s` scaled.
    """
    factor = 1 + score
    return replace(
        options,
        ping_timeout_s=options.ping_timeout_s * factor,
        suspicion_s=options.suspicion_s * factor,
    )
