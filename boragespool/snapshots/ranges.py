"""Arithmetic on half-open key ranges ``[start, end)``."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final, TypeAlias

from boragespool.types import KEY_SPACE_SIZE

if TYPE_CHECKING:
    from collections.abc import Iterable

#: ``[start, end)`` with ``start < end``.
KeyRange: TypeAlias = tuple[int, int]

WHOLE_KEY_SPACE: Final[KeyRange] = (0, KEY_SPACE_SIZE)


def is_range(candidate: KeyRange) -> bool:
    """Return whether a pair is a non-empty range inside the key space."""
    start, end = candidate
    return start < end and start >= 0 and end <= KEY_SPACE_SIZE


def union(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Return disjoint ranges with the same keys, in order.

    Parameters
    ----------
    ranges : iterable of (int, int)
        Ranges in any order; they may overlap.

    Returns
    -------
    tuple of (int, int)
        Sorted; ranges that overlap or touch are joined.
    """
    joined: list[KeyRange] = []
    for start, end in sorted(ranges):
        first, last = joined[-1] if joined else (-1, -1)
        if start > last:
            joined.append((start, end))
        else:
            joined[-1] = (first, max(last, end))
    return tuple(joined)


def complement(
    ranges: Iterable[KeyRange],
    within: KeyRange = WHOLE_KEY_SPACE,
) -> tuple[KeyRange, ...]:
    """Return the ranges of `within` that the given ranges leave out."""
    gaps: list[KeyRange] = []
    position = within[0]
    for start, end in union(ranges):
        if min(start, within[1]) > position:
            gaps.append((position, min(start, within[1])))
        position = max(position, end)
    if position < within[1]:
        gaps.append((position, within[1]))
    return tuple(gaps)


def intersection(
    first: Iterable[KeyRange],
    second: Iterable[KeyRange],
) -> tuple[KeyRange, ...]:
    """Return the keys that are in both collections of ranges.

    Parameters
    ----------
    first, second : iterable of (int, int)
        Ranges in any order.

    Returns
    -------
    tuple of (int, int)
        Disjoint ranges in order.
    """
    shared: list[KeyRange] = []
    left, right = deque(union(first)), deque(union(second))
    while left and right:
        start = max(left[0][0], right[0][0])
        end = min(left[0][1], right[0][1])
        if start < end:
            shared.append((start, end))
        shorter = left if left[0][1] == end else right
        shorter.popleft()
    return tuple(shared)


def key_count(ranges: Iterable[KeyRange]) -> int:
    """Return the number of keys in disjoint ranges."""
    return sum(end - start for start, end in ranges)
