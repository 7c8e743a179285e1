"""Size, connection and time limits of an HTTP server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of one HTTP server.

    Attributes
    ----------
    header_size_bytes, body_size_bytes : int
        Maximum size of a request head and of a request body, in bytes.
    connection_count : int
        Maximum number of open connections.
    read_timeout_s : float
        Longest time to receive a request once reading it has begun, in
        seconds.
    write_timeout_s : float
        Longest time for the peer to receive a response, in seconds.
    idle_timeout_s : float
        Longest time that a connection may wait for its next request, in
        seconds.
    """

    header_size_bytes: int = 16_384
    body_size_bytes: int = 1_048_576
    connection_count: int = 2_000
    read_timeout_s: float = 5
    write_timeout_s: float = 10
    idle_timeout_s: float = 60
