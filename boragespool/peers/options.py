"""Options of the links between daemons."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import Address, HostName, Incarnation, Seconds


@dataclass(frozen=True, slots=True)
class PeerOptions:
    """Identity of a daemon and limits of its links.

    Attributes
    ----------
    host : str
        Name under which peers know this daemon.
    incarnation : int
        Distinguishes this process from earlier ones of the host.
    listen_address : str
        ``ip:port`` on which peers reach this daemon.
    flush_interval_s : float
        Shortest time between two flushes of the queues of one peer, in
        seconds. Messages queued in between share a frame.
    frame_size_bytes : int
        Size at which a frame is complete; further messages go into the next
        one.
    queue_count : int
        Limit of each queue: of the control messages and of the bulk messages
        to one peer, and of the received bulk messages. Messages above it are
        dropped or refused, except for received replies.
    probe_interval_s : float
        Time after a message until the link is probed if no reply confirmed
        it, in seconds.
    silence_timeout_s : float
        Time without an answer to a probe after which a link reconnects, in
        seconds. A blocked send times out after the same time.
    idle_timeout_s : float
        Time without a message after which a link is closed, in seconds; the
        next message opens a new one. It limits the open links of a daemon
        that pings hundreds of peers in turn.
    """

    host: HostName
    incarnation: Incarnation
    listen_address: Address
    flush_interval_s: Seconds = 0.001
    frame_size_bytes: int = 262_144
    queue_count: int = 20_000
    probe_interval_s: Seconds = 0.5
    silence_timeout_s: Seconds = 1.5
    idle_timeout_s: Seconds = 10
