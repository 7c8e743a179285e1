"""Index version that a query is pinned to, with its merged replies."""

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
    """Pinned index version of a query, its merge state and its replanning.

    Parameters
    ----------
    query : AcceptedQuery
        Query that is pinned.
    version : int
        Pinned index version.

    Attributes
    ----------
    version : int
        Pinned index version.
    state : MergeState
        Replies that were merged so far.
    not_held : NotHeldRanges
        Ranges that backend servers refused as not held.
    """

    def __init__(self, query: AcceptedQuery, version: IndexVersion) -> None:
        """Set up the state without merged replies."""
        self.version = version
        self.state = MergeState(version)
        self.not_held = NotHeldRanges()
        self._query = query

    def full_plan(self) -> tuple[SubRange, ...]:
        """Return the plan for the whole key space."""
        return self._query.catalogue().plans_by_version[self.version]

    def refresh_replicas(self, part: Part) -> bool:
        """Update the replicas of a part.

        Returns False if no replica may be asked for the whole part.
        """
        for sub_range in self._plan(part):
            if (sub_range.start, sub_range.end) == part.key_range:
                part.replicas = sub_range.replicas
                return True
        return False

    def replan(self, part: Part) -> tuple[list[Part], list[Part]]:
        """Divide the missing ranges of a part by the current holdings.

        Returns
        -------
        tuple of (list of Part, list of Part)
            Parts that have a replica, and parts that have none.
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
        """Return whether announced holdings contradict the servers.

        True if a server is still announced as holding a range of `parts`
        that it refused as not held.
        """
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
        obtainable_ranges : iterable of (int, int)
            Ranges of open attempts, and ranges that are still to be sent.

        Returns
        -------
        int or None
            The version to restart on; None if there is none.
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
