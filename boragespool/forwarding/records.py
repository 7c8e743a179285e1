"""Merge of the records that shards answer with."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Size of a record, in bytes, in the shards' answers.
RECORD_SIZE_BYTES: Final = 16


def top_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of several bodies, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Records of `RECORD_SIZE_BYTES` in any order; a shorter remainder is no
        record.
    count : int
        Records to return at most. Equal records all count.
    """
    size = RECORD_SIZE_BYTES
    records = [
        body[start : start + size]
        for body in bodies
        for start in range(0, len(body) - size + 1, size)
    ]
    return b''.join(heapq.nlargest(count, records))
