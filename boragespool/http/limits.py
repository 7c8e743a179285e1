"""Limits of sizes, connections, times and parsing work in HTTP."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

#: Maximum number of events that one connection parses in one turn of the
#: event loop; about 1 ms.
EVENTS_PER_TURN: Final = 64
#: Maximum number of bytes that are parsed at once while a head is incomplete.
#: A head can exceed the limit of its size by this much.
HEAD_READ_SIZE_BYTES: Final = 8_192
#: Number of chunks that a body may have whatever their size, and number of
#: bytes that it has to carry for each further one.
_FREE_CHUNK_COUNT: Final = 128
_MIN_CHUNK_SIZE_BYTES: Final = 16


def is_chunking_wasteful(chunk_count: int, size_bytes: int) -> bool:
    """Return whether a body has too many chunks for what it carries.

    A chunk of one byte takes as much processor time as a large one.

    Parameters
    ----------
    chunk_count : int
        Number of chunks received so far.
    size_bytes : int
        Number of bytes that they carried, without chunk headers.
    """
    allowed_count = _FREE_CHUNK_COUNT + size_bytes // _MIN_CHUNK_SIZE_BYTES
    return chunk_count > allowed_count


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
