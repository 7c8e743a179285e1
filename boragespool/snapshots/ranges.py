"""Set operations on half-open key ranges ``[start, end)``."""

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
    """Return whether the candidate is non-empty and inside the key space."""
    start, end = candidate
    return start < end and start >= 0 and end <= KEY_SPACE_SIZE


def union(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Return sorted disjoint ranges that cover the same keys.

    Parameters
    ----------
    ranges : iterable of (int, int)
        Ranges in any order; they may overlap.

    Returns
    -------
    tuple of (int, int)
        Ranges that overlap or are adjacent are joined.
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
    """Return the ranges inside `within` that the given ranges do not cover.

    Parameters
    ----------
    ranges : iterable of (int, int)
        Ranges in any order; they may overlap.
    within : (int, int), optional
        Range to which the result is limited.

    Returns
    -------
    tuple of (int, int)
        Disjoint ranges in order.
    """
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
    """Return the ranges of keys that both collections of ranges cover.

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
        exhausted = left if left[0][1] == end else right
        exhausted.popleft()
    return tuple(shared)


def key_count(ranges: Iterable[KeyRange]) -> int:
    """Return the number of keys in disjoint ranges."""
    return sum(end - start for start, end in ranges)
