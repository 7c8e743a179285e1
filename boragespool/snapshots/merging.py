"""Validation of replies and the merged state of one query."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from boragespool.results import Failure, ResultCode
from boragespool.snapshots.ranges import KeyRange, complement
from boragespool.types import KEY_SPACE_SIZE, RunState

if TYPE_CHECKING:
    from boragespool.messages import Item, WorkReply
    from boragespool.types import AttemptId, IndexVersion


class MergeState:
    """Replies of one index version that were merged so far.

    Parameters
    ----------
    version : int
        Pinned index version. A restart uses a new state, to which the
        attempts of the old one are unknown.
    """

    def __init__(self, version: IndexVersion) -> None:
        """Start with nothing merged and no attempt open."""
        self.version = version
        self._asked_by_attempt: dict[AttemptId, KeyRange] = {}
        self._starts: list[int] = []
        self._ends: list[int] = []
        self._items_by_start: dict[int, tuple[Item, ...]] = {}
        self._merged_keys = 0

    @property
    def coverage(self) -> float:
        """Fraction of the key space that was merged; 1 only if all was."""
        return self._merged_keys / KEY_SPACE_SIZE

    @property
    def complete(self) -> bool:
        """Whether the whole key space was merged."""
        return self._merged_keys == KEY_SPACE_SIZE

    def missing(
        self,
        within: KeyRange = (0, KEY_SPACE_SIZE),
    ) -> tuple[KeyRange, ...]:
        """Return the ranges of `within` that were not merged, in order."""
        first = max(bisect_left(self._starts, within[0]) - 1, 0)
        last = bisect_left(self._starts, within[1])
        merged = zip(
            self._starts[first:last],
            self._ends[first:last],
            strict=True,
        )
        return complement(merged, within)

    def merged_items(self) -> tuple[Item, ...]:
        """Return the merged items, ordered by the ranges they came in."""
        return tuple(
            item
            for start in self._starts
            for item in self._items_by_start[start]
        )

    def open_attempt(self, attempt_id: AttemptId, asked: KeyRange) -> None:
        """Open an attempt; only open attempts can be merged."""
        self._asked_by_attempt[attempt_id] = asked

    def close_attempt(self, attempt_id: AttemptId) -> None:
        """Close an attempt that failed or was cancelled."""
        self._asked_by_attempt.pop(attempt_id, None)

    def merge(
        self,
        attempt_id: AttemptId,
        reply: WorkReply,
    ) -> KeyRange | Failure:
        """Merge a reply if it is valid; either way close the attempt.

        Parameters
        ----------
        attempt_id : str
            Attempt whose exchange the reply arrived in.
        reply : WorkReply
            Reply with code ``COMPLETE``. Its range may be narrower than the
            one asked for; the rest stays missing.

        Returns
        -------
        (int, int) or Failure
            The range that was merged, or what is wrong with the reply.
        """
        asked = self._asked_by_attempt.pop(attempt_id, None)
        if asked is None:
            return _invalid(f'attempt {attempt_id!r} is not open')
        fault = self._header_fault(attempt_id, asked, reply)
        if fault is None:
            fault = _items_fault(reply)
        if fault is not None:
            return _invalid(fault)
        position = bisect_left(self._starts, reply.start)
        if self._is_merged(position, reply):
            start, end = reply.start, reply.end
            return _invalid(f'range {start!r}-{end!r} overlaps a merged one')
        self._starts.insert(position, reply.start)
        self._ends.insert(position, reply.end)
        self._items_by_start[reply.start] = reply.items
        self._merged_keys += reply.end - reply.start
        return (reply.start, reply.end)

    def _header_fault(
        self,
        attempt_id: AttemptId,
        asked: KeyRange,
        reply: WorkReply,
    ) -> str | None:
        if reply.attempt_id != attempt_id:
            return f'reply to {reply.attempt_id!r} in place of {attempt_id!r}'
        if reply.version != self.version:
            return f'version {reply.version!r} is not {self.version!r}'
        start, end = reply.start, reply.end
        if start >= end or start < asked[0] or end > asked[1]:
            return f'range {start!r}-{end!r} is not inside {asked!r}'
        return None

    def _is_merged(self, position: int, reply: WorkReply) -> bool:
        """Whether a range that would be put at `position` overlaps another."""
        if position and self._ends[position - 1] > reply.start:
            return True
        return (
            position < len(self._starts) and self._starts[position] < reply.end
        )


def _items_fault(reply: WorkReply) -> str | None:
    start, end, items = reply.start, reply.end, reply.items
    if reply.item_count is not None and reply.item_count != len(items):
        return f'{len(items)!r} items, {reply.item_count!r} were counted'
    for item in items:
        if item.key < start or item.key >= end:
            return f'key {item.key!r} is outside {start!r}-{end!r}'
    return None


def _invalid(reason: str) -> Failure:
    return Failure(ResultCode.SERVER_REPLY_INVALID, reason, RunState.RUN)
