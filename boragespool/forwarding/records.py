"""Merging of the records in the replies of several shards."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Size of one record in the reply of a shard, in bytes.
RECORD_SIZE_BYTES: Final = 16


def top_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of several bodies, greatest first.

    Records are compared as byte strings.

    Parameters
    ----------
    bodies : iterable of bytes
        Concatenated records of `RECORD_SIZE_BYTES` each, in any order. An
        incomplete record at the end of a body is ignored.
    count : int
        Maximum number of records to return. Duplicates are kept and counted.
    """
    size = RECORD_SIZE_BYTES
    records = [
        body[start : start + size]
        for body in bodies
        for start in range(0, len(body) - size + 1, size)
    ]
    return b''.join(heapq.nlargest(count, records))
