"""Health score of a daemon, which scales its failure detection."""

from __future__ import annotations

from boragespool import membership
from boragespool.membership import MembershipOptions

OPTIONS = MembershipOptions(ping_interval_s=1, health_limit=8)


def test_score_falls_with_each_tick_in_time():
    """Guards against a score that stays high without other live members.

    Without answers to its pings, a daemon whose peers are all dead must still
    detect them quickly.
    """
    assert membership.score_after_tick(2, 0.4, OPTIONS) == 1
    assert membership.score_after_tick(0, 0, OPTIONS) == 0


def test_late_ticks_raise_the_score():
    """Guards against suspicion of live members after a pause.

    A daemon that was paused has not read the answers that arrived meanwhile.
    """
    assert membership.score_after_tick(1, 1.2, OPTIONS) == 3
    assert membership.score_after_tick(0, 60, OPTIONS) == 8


def test_detection_times_grow_with_the_score():
    """Guards against live members that a slow daemon declares dead.

    It reads their answers late, so its timeouts must grow with the score.
    """
    assert membership.scale_timeouts(OPTIONS, 0) == OPTIONS
    slowed = membership.scale_timeouts(OPTIONS, 3)
    assert slowed.ping_timeout_s == 4 * OPTIONS.ping_timeout_s
    assert slowed.suspicion_s == 4 * OPTIONS.suspicion_s


def test_limit_of_0_keeps_times_fixed():
    """Guards against a score that cannot be turned off.

    A limit of 0 must keep the timeouts fixed.
    """
    off = MembershipOptions(health_limit=0)
    assert membership.score_after_tick(0, 9, off) == 0
    assert membership.score_after_suspicion(0, 0) == 0
