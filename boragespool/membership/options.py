"""Options of gossip membership."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import Seconds


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Intervals, timeouts and limits of membership, set by daemon flags.

    Attributes
    ----------
    ping_interval_s : float
        Time between two pings that this daemon sends, in seconds.
    ping_timeout_s : float
        Timeout of a direct ping and of a ping that a helper sends, in
        seconds. The answer of a helper is awaited for twice as long.
    helper_count : int
        Maximum number of members that are asked to ping a member that did
        not answer.
    suspicion_s : float
        Time that a suspected member has to refute, in seconds, with up to ten
        members. With more members it is multiplied by the decimal logarithm
        of their count.
    dead_keep_s : float
        Time for which the record of a dead member is kept, in seconds. It
        exceeds the validity of tickets, so that the successor of a witness
        that left stays known.
    seed_interval_s : float
        Time between two rounds that ping one seed that is not a live member
        and one dead member, in seconds. These pings reconnect the sides of a
        partition that ended.
    record_count : int
        Maximum number of records in one `Ping`, `Ack` or `Gossip` message.
    join_record_count : int
        Maximum number of records in each message that sends the whole member
        table to a new daemon.
    send_factor : float
        A daemon sends a change in this number of messages, multiplied by the
        binary logarithm of the number of members it knows plus two.
    remote_count : int
        Maximum number of members of each other data centre that a daemon
        keeps.
    leave_count : int
        Number of random members that a leaving daemon notifies.
    revision_fanout : int
        Number of random members that a daemon notifies when it has a new
        revision in force.
    health_limit : int
        Maximum health score of this daemon. The timeouts for answers and
        refutations are multiplied by one plus the score; 0 keeps them fixed.
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
