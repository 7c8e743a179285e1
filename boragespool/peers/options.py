"""Settings of the links of one daemon."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import Address, HostName, Incarnation, Seconds


@dataclass(frozen=True, slots=True)
class PeerOptions:
    """Identity of a daemon and bounds of its links.

    Attributes
    ----------
    listen_address : str
        ``ip:port`` on which peers reach this daemon.
    flush_interval_s : float
        Shortest time between two frames to one peer. Messages queued in
        between share a frame.
    frame_size_bytes : int
        Size at which a frame is closed and a further one begun.
    queue_count : int
        Messages that wait for one peer; further ones are dropped.
    probe_interval_s, silence_timeout_s : float
        How often a link in use is probed, and after how long without an
        answer it is closed and dialled again.
    idle_timeout_s : float
        Time without a message after which a link is closed; the next message
        dials again. It bounds the links of a daemon that pings hundreds of
        peers in turn.
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
