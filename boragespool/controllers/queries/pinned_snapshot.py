"""The pinned snapshot of one query: merged state and missing ranges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.controllers.queries.query_state import Part
from boragespool.snapshots import (
    MergeState,
    NotHeldRanges,
    choose_restart_version,
    plan_ranges,
    reachable_key_count,
)
from boragespool.snapshots.ranges import complement, intersection, union

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.controllers.queries.query_state import AcceptedQuery
    from boragespool.snapshots import KeyRange, SubRange
    from boragespool.types import IndexVersion


class PinnedSnapshot:
    """One index version, what was merged of it and who denied holding it."""

    def __init__(self, query: AcceptedQuery, version: IndexVersion) -> None:
        """Start with nothing merged."""
        self.version = version
        self.state = MergeState(version)
        self.not_held = NotHeldRanges()
        self._query = query

    def full_plan(self) -> tuple[SubRange, ...]:
        """Return the plan over the whole key space."""
        return self._query.catalogue().plans_by_version[self.version]

    def refresh(self, part: Part) -> bool:
        """Take over the replicas that may get work now; False if none."""
        for piece in self._plan(part):
            if (piece.start, piece.end) == part.asked:
                part.replicas = piece.replicas
                return True
        return False

    def replan(self, part: Part) -> tuple[list[Part], list[Part]]:
        """Cut what is missing of a part by the holdings known now.

        Returns
        -------
        tuple of (list of Part, list of Part)
            Parts with replicas, and parts of which no replica is left.
        """
        planned = self._plan(part)
        covered = [(piece.start, piece.end) for piece in planned]
        lost = [
            Part(gap, ())
            for missing in self.state.missing(part.asked)
            for gap in complement(intersection(covered, (missing,)), missing)
        ]
        kept = [
            Part(
                (piece.start, piece.end),
                piece.replicas,
                part.tried_servers.copy(),
            )
            for piece in planned
        ]
        return kept, lost

    def are_holdings_stale(self, parts: Iterable[Part]) -> bool:
        """Whether servers are announced that denied holding some parts."""
        return bool(
            plan_ranges(
                self._query.catalogue(),
                self.version,
                union(part.asked for part in parts),
                lambda *asked: not self.not_held.may_ask(*asked),
            )
        )

    def restart_version(self, hoped: Iterable[KeyRange]) -> IndexVersion | None:
        """Return a newer version that covers more than this one still can.

        Parameters
        ----------
        hoped : iterable of (int, int)
            Ranges that are in flight or still have a replica.
        """
        reachable = reachable_key_count(self.state, hoped)
        return choose_restart_version(
            self._query.catalogue(),
            self.version,
            reachable,
        )

    def _plan(self, part: Part) -> tuple[SubRange, ...]:
        return plan_ranges(
            self._query.catalogue(),
            self.version,
            self.state.missing(part.asked),
            self.not_held.may_ask,
        )
