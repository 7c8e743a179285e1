"""Health score of a daemon that judges others."""

from __future__ import annotations

from boragespool import membership
from boragespool.membership import MembershipOptions

OPTIONS = MembershipOptions(ping_interval_s=1, health_limit=8)


def test_score_falls_with_each_tick_in_time():
    """A daemon whose peers are all dead must still find that out fast."""
    assert membership.score_after_tick(2, 0.4, OPTIONS) == 1
    assert membership.score_after_tick(0, 0, OPTIONS) == 0


def test_late_ticks_raise_the_score():
    """A paused daemon has not read the answers that wait in its sockets."""
    assert membership.score_after_tick(1, 1.2, OPTIONS) == 3
    assert membership.score_after_tick(0, 60, OPTIONS) == 8


def test_detection_times_grow_with_the_score():
    """Without the factor a slow daemon calls live members dead."""
    assert membership.scale_timeouts(OPTIONS, 0) == OPTIONS
    slowed = membership.scale_timeouts(OPTIONS, 3)
    assert slowed.ping_timeout_s == 4 * OPTIONS.ping_timeout_s
    assert slowed.suspicion_s == 4 * OPTIONS.suspicion_s


def test_limit_of_0_keeps_times_fixed():
    """Operators must be able to turn the score off."""
    off = MembershipOptions(health_limit=0)
    assert membership.score_after_tick(0, 9, off) == 0
    assert membership.score_after_suspicion(0, 0) == 0
