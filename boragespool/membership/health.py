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


def after_answer(score: int) -> int:
    """Return the health score after a ping that was answered."""
    return max(0, score - 1)


def after_silence(score: int, asked: int, answered: int, limit: int) -> int:
    """Return the health score after a ping without an answer.

    Parameters
    ----------
    score : int
        Score before; 0 is a healthy daemon.
    asked : int
        Helpers that were asked to ping the member.
    answered : int
        Helpers that answered, even if only that they did not reach it.
    limit : int
        Highest score; 0 keeps the score at 0.

    Returns
    -------
    int
        Higher by one for each silent helper. Unchanged if no helper
        answered: members that died together or are behind a partition must
        not delay the detection of each other.
    """
    silent = asked - answered if answered else 0
    return min(limit, score + silent)


def after_lateness(
    score: int,
    late_s: Seconds,
    options: MembershipOptions,
) -> int:
    """Return the health score after a tick that came late.

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
        paused has not read the answers and refutations that arrived.
    """
    half_intervals = int(2 * late_s / options.ping_interval_s)
    return min(options.health_limit, score + half_intervals)


def after_suspicion(score: int, limit: int) -> int:
    """Return the health score after others suspected this daemon."""
    return min(limit, score + 1)


def slowed(options: MembershipOptions, score: int) -> MembershipOptions:
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
