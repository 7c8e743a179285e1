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
        for sub_range in self._plan(part):
            if (sub_range.start, sub_range.end) == part.key_range:
                part.replicas = sub_range.replicas
                return True
        return False

    def replan(self, part: Part) -> tuple[list[Part], list[Part]]:
        """Cut what is missing of a part by the holdings known now.

        Returns
        -------
        tuple of (list of Part, list of Part)
            Parts with replicas, and parts of which no replica is left.
        """
        sub_ranges = self._plan(part)
        covered = [(sub_range.start, sub_range.end) for sub_range in sub_ranges]
        unavailable = [
            Part(gap, ())
            for missing in self.state.missing(part.key_range)
            for gap in complement(intersection(covered, (missing,)), missing)
        ]
        available = [
            Part(
                (sub_range.start, sub_range.end),
                sub_range.replicas,
                part.tried_servers.copy(),
            )
            for sub_range in sub_ranges
        ]
        return available, unavailable

    def are_holdings_stale(self, parts: Iterable[Part]) -> bool:
        """Whether servers are announced that denied holding some parts."""
        return bool(
            plan_ranges(
                self._query.catalogue(),
                self.version,
                union(part.key_range for part in parts),
                lambda *request: not self.not_held.may_ask(*request),
            )
        )

    def restart_version(
        self, obtainable_ranges: Iterable[KeyRange]
    ) -> IndexVersion | None:
        """Return a newer version that covers more than this one still can.

        Parameters
        ----------
        hoped : iterable of (int, int)
            Ranges that are in flight or still have a replica.
        """
        reachable = reachable_key_count(self.state, obtainable_ranges)
        return choose_restart_version(
            self._query.catalogue(),
            self.version,
            reachable,
        )

    def _plan(self, part: Part) -> tuple[SubRange, ...]:
        return plan_ranges(
            self._query.catalogue(),
            self.version,
            self.state.missing(part.key_range),
            self.not_held.may_ask,
        )
