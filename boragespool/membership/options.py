"""Intervals and bounds of membership."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import Seconds


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Intervals and bounds; the daemon's flags set them.

    Attributes
    ----------
    ping_interval_s : float
        Time between two pings of this daemon.
    ping_timeout_s : float
        Wait for an answer, direct and then again through helpers.
    helper_count : int
        Members asked to ping a member that did not answer.
    suspicion_s : float
        Time in which a suspect may refute, for up to ten members; it grows
        with the decimal logarithm of the member count.
    dead_keep_s : float
        Time for which a dead record is kept. It exceeds the validity of
        tickets, so that the successor of a departed witness stays known.
    seed_interval_s : float
        Time between two pings of a seed that is not a live member. They
        join the sides of a healed partition.
    record_count : int
        Records in one ping, answer or gossip message.
    join_record_count : int
        Records in each message of the whole view sent to a new daemon.
    send_factor : float
        A change is sent this many times the binary logarithm of the member
        count.
    remote_count : int
        Members kept of each other data centre.
    leave_count : int
        Members that a leaving daemon tells at once.
    revision_fanout : int
        Members that get a notice of a new revision in force at once.
    health_limit : int
        Highest health score of this daemon. A daemon with a score waits that
        many times longer for answers and refutations than a healthy one, in
        addition; 0 keeps these times fixed.
    """

    ping_interval_s: Seconds = 1
    ping_timeout_s: Seconds = 0.4
    helper_count: int = 3
    suspicion_s: Seconds = 1.5
    dead_keep_s: Seconds = 180
    seed_interval_s: Seconds = 5
    record_count: int = 6
    join_record_count: int = 64
    send_factor: float = 2
    remote_count: int = 16
    leave_count: int = 64
    revision_fanout: int = 4
    health_limit: int = 8
