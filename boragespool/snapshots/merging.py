"""Validation and merging of the replies to one query."""

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
    """Replies to one query that were merged so far, for one index version.

    Parameters
    ----------
    version : int
        Pinned index version. A query that restarts on another version uses a
        new state, which rejects replies to the attempts of the old one.
    """

    def __init__(self, version: IndexVersion) -> None:
        """Set up the state without merged replies or open attempts."""
        self.version = version
        self._asked_by_attempt: dict[AttemptId, KeyRange] = {}
        self._starts: list[int] = []
        self._ends: list[int] = []
        self._items_by_start: dict[int, tuple[Item, ...]] = {}
        self._merged_key_count = 0

    @property
    def coverage(self) -> float:
        """Fraction of the key space that was merged, exactly 1 if complete."""
        return self._merged_key_count / KEY_SPACE_SIZE

    @property
    def complete(self) -> bool:
        """Whether the whole key space was merged."""
        return self._merged_key_count == KEY_SPACE_SIZE

    def missing(
        self,
        within: KeyRange = (0, KEY_SPACE_SIZE),
    ) -> tuple[KeyRange, ...]:
        """Return the ranges inside `within` that were not merged, in order."""
        first = max(bisect_left(self._starts, within[0]) - 1, 0)
        last = bisect_left(self._starts, within[1])
        merged = zip(
            self._starts[first:last],
            self._ends[first:last],
            strict=True,
        )
        return complement(merged, within)

    def merged_items(self) -> tuple[Item, ...]:
        """Return the merged items, ordered by the key range of their reply."""
        return tuple(
            item
            for start in self._starts
            for item in self._items_by_start[start]
        )

    def open_attempt(self, attempt_id: AttemptId, asked: KeyRange) -> None:
        """Register an attempt, so that its reply can be merged.

        Parameters
        ----------
        attempt_id : str
            Identifier of the attempt.
        asked : (int, int)
            Key range that was asked for.
        """
        self._asked_by_attempt[attempt_id] = asked

    def close_attempt(self, attempt_id: AttemptId) -> None:
        """Remove an attempt that failed or was cancelled, if it is open."""
        self._asked_by_attempt.pop(attempt_id, None)

    def merge(
        self,
        attempt_id: AttemptId,
        reply: WorkReply,
    ) -> KeyRange | Failure:
        """Merge a reply if it is valid, and close its attempt in any case.

        Parameters
        ----------
        attempt_id : str
            Attempt that received the reply.
        reply : WorkReply
            Reply with code ``COMPLETE``. Its range may be narrower than the
            range that was asked for; the remaining keys stay missing.

        Returns
        -------
        (int, int) or Failure
            The merged range, or a failure that names the error in the reply.
        """
        asked = self._asked_by_attempt.pop(attempt_id, None)
        if asked is None:
            return _failure(f'attempt {attempt_id!r} is not open')
        error = self._header_error(attempt_id, asked, reply)
        if error is None:
            error = _items_error(reply)
        if error is not None:
            return _failure(error)
        position = bisect_left(self._starts, reply.start)
        if self._overlaps_merged(position, reply):
            start, end = reply.start, reply.end
            return _failure(
                f'range {start!r}-{end!r} overlaps a range that was already '
                'merged',
            )
        self._starts.insert(position, reply.start)
        self._ends.insert(position, reply.end)
        self._items_by_start[reply.start] = reply.items
        self._merged_key_count += reply.end - reply.start
        return (reply.start, reply.end)

    def _header_error(
        self,
        attempt_id: AttemptId,
        asked: KeyRange,
        reply: WorkReply,
    ) -> str | None:
        if reply.attempt_id != attempt_id:
            return (
                f'the reply names attempt {reply.attempt_id!r} instead of '
                f'{attempt_id!r}'
            )
        if reply.version != self.version:
            return (
                f'version {reply.version!r} is not the pinned version '
                f'{self.version!r}'
            )
        start, end = reply.start, reply.end
        if start >= end or start < asked[0] or end > asked[1]:
            return (
                f'range {start!r}-{end!r} is empty or not inside the range '
                f'asked for, {asked!r}'
            )
        return None

    def _overlaps_merged(self, position: int, reply: WorkReply) -> bool:
        """Whether a reply to insert at `position` overlaps a merged range."""
        if position and self._ends[position - 1] > reply.start:
            return True
        return (
            position < len(self._starts) and self._starts[position] < reply.end
        )


def _items_error(reply: WorkReply) -> str | None:
    start, end, items = reply.start, reply.end, reply.items
    if reply.item_count is not None and reply.item_count != len(items):
        return (
            f'{len(items)!r} items were received, but {reply.item_count!r} '
            'were declared'
        )
    for item in items:
        if item.key < start or item.key >= end:
            return f'key {item.key!r} is outside {start!r}-{end!r}'
    return None


def _failure(reason: str) -> Failure:
    return Failure(ResultCode.SERVER_REPLY_INVALID, reason, RunState.RUN)
