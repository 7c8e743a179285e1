"""How much a daemon trusts its own judgement of others.

Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more
accurate failure detection", DSN workshops 2018.
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
    """Return the health score after a tick.

    Parameters
    ----------
    score : int
        Score before.
    late_s : float
        Delay of the tick, in seconds.
    options : MembershipOptions
        Time between two ticks and highest score.

    Returns
    -------
    int
        Higher by one for each half interval of delay: a daemon that was
        paused has not read the answers and refutations that arrived. Lower
        by one after a tick in time, also if no member is left to answer.
    """
    half_intervals = int(2 * late_s / options.ping_interval_s)
    if not half_intervals:
        return max(0, score - 1)
    return min(options.health_limit, score + half_intervals)


def score_after_suspicion(score: int, limit: int) -> int:
    """Return the health score after others suspected this daemon."""
    return min(limit, score + 1)


def scale_timeouts(options: MembershipOptions, score: int) -> MembershipOptions:
    """Lengthen the times of failure detection in step with the score.

    Parameters
    ----------
    options : MembershipOptions
        Times of a healthy daemon.
    score : int
        Health score.
    """
    factor = 1 + score
    return replace(
        options,
        ping_timeout_s=options.ping_timeout_s * factor,
        suspicion_s=options.suspicion_s * factor,
    )
