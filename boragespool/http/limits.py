"""Limits of one HTTP listener."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """What one listener accepts.

    Attributes
    ----------
    header_size_bytes, body_size_bytes : int
        Largest request head and body.
    connection_count : int
        Connections open at the same time.
    read_timeout_s : float
        Longest time from the first byte of a request to its last.
    write_timeout_s : float
        Longest time for the peer to take a response.
    idle_timeout_s : float
        Longest time that a connection may wait for its next request.
    """

    header_size_bytes: int = 16_384
    body_size_bytes: int = 1_048_576
    connection_count: int = 2_000
    read_timeout_s: float = 5
    write_timeout_s: float = 10
    idle_timeout_s: float = 60
