"""Query plans: the backend servers that hold each key range of an index.

A plan divides the key space into sub-ranges, with the replicas of each. There
is one plan for each index version that the backend servers hold.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from itertools import groupby, pairwise
from operator import itemgetter
from typing import TYPE_CHECKING

from boragespool.snapshots.ranges import (
    KeyRange,
    is_range,
    key_count,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from boragespool.messages import Holding
    from boragespool.types import IndexVersion, ServerName


@dataclass(frozen=True, slots=True)
class SubRange:
    """A key range ``[start, end)`` that one sub-request can cover.

    Attributes
    ----------
    replicas : tuple of str
        Backend servers that hold the whole range, sorted by name.
    """

    start: int
    end: int
    replicas: tuple[ServerName, ...]


@dataclass(frozen=True, slots=True)
class Catalogue:
    """Plan and coverage of each index version that backend servers hold.

    Attributes
    ----------
    plans_by_version : mapping of int to tuple of SubRange
        Disjoint sub-ranges in key order. The newest version comes first.
    key_count_by_version : mapping of int to int
        Number of keys that the plan covers.
    """

    plans_by_version: Mapping[IndexVersion, tuple[SubRange, ...]]
    key_count_by_version: Mapping[IndexVersion, int]


def build_catalogue(
    holdings_by_server: Mapping[ServerName, Iterable[Holding]],
) -> Catalogue:
    """Build a plan for each index version that backend servers hold.

    Parameters
    ----------
    holdings_by_server : mapping of str to iterable of Holding
        Reported holdings of those backend servers that may get new work.
        Ranges that are empty or outside the key space are ignored.

    Returns
    -------
    Catalogue
        The sub-ranges of a plan are divided wherever a reported range starts
        or ends, so that each lies inside one reported range of each of its
        replicas.
    """
    edges_by_version: dict[IndexVersion, list[_Edge]] = {}
    for server, holdings in holdings_by_server.items():
        for holding in holdings:
            edges = edges_by_version.setdefault(holding.version, [])
            for key_range in filter(is_range, holding.ranges):
                edges.extend(
                    ((key_range[0], 1, server), (key_range[1], -1, server))
                )
    plans = {
        version: _sweep(edges_by_version[version])
        for version in sorted(edges_by_version, reverse=True)
    }
    return Catalogue(
        plans,
        {version: _plan_key_count(plan) for version, plan in plans.items()},
    )


#: Key, 1 for the start or -1 for the end of a range, and its server.
_Edge = tuple[int, int, 'ServerName']


def _sweep(edges: list[_Edge]) -> tuple[SubRange, ...]:
    """Divide the key space at all edges; omit ranges without a replica."""
    edges.sort()
    open_count_by_server: dict[ServerName, int] = {}
    boundaries: list[tuple[int, tuple[ServerName, ...]]] = []
    for edge_key, group in groupby(edges, key=itemgetter(0)):
        for edge in group:
            _update_open_count(edge, open_count_by_server)
        boundaries.append((edge_key, tuple(sorted(open_count_by_server))))
    return tuple(
        SubRange(start, end, replicas)
        for (start, replicas), (end, _) in pairwise(boundaries)
        if replicas
    )


def _update_open_count(
    edge: _Edge, open_count_by_server: dict[ServerName, int]
) -> None:
    """Update the number of overlapping ranges of the edge's server."""
    _, change, server = edge
    open_count = open_count_by_server.pop(server, 0) + change
    if open_count:
        open_count_by_server[server] = open_count


def _plan_key_count(plan: Iterable[SubRange]) -> int:
    return key_count((part.start, part.end) for part in plan)


def choose_version(catalogue: Catalogue) -> IndexVersion | None:
    """Choose the index version to pin for a new query.

    Parameters
    ----------
    catalogue : Catalogue
        Plans of the backend servers that may get new work.

    Returns
    -------
    int or None
        The version with the highest coverage, or the newest of these. If any
        version covers the whole key space, this is the newest that does.
        None if no backend server holds a key.
    """
    key_counts = {
        version: count
        for version, count in catalogue.key_count_by_version.items()
        if count
    }
    return max(
        key_counts,
        key=lambda version: (key_counts[version], version),
        default=None,
    )


def plan_ranges(
    catalogue: Catalogue,
    version: IndexVersion,
    wanted: Sequence[KeyRange],
    may_ask: Callable[[ServerName, int, int], bool],
) -> tuple[SubRange, ...]:
    """Return the parts of a plan that cover the given key ranges.

    Parameters
    ----------
    catalogue : Catalogue
        Plans from the holdings that are currently known.
    version : int
        Pinned index version.
    wanted : sequence of (int, int)
        Disjoint key ranges to cover.
    may_ask : callable
        Called with server, start and end; returns whether a sub-request for
        ``[start, end)`` may be sent to the backend server.

    Returns
    -------
    tuple of SubRange
        Disjoint sub-ranges inside `wanted`, in the order of `wanted`. Keys
        for which no replica may be asked are omitted.
    """
    plan = catalogue.plans_by_version.get(version, ())
    planned: list[SubRange] = []
    for start, end in wanted:
        index = bisect_right(plan, start, key=_end_key)
        while index < len(plan) and plan[index].start < end:
            piece = _clip(plan[index], (start, end), may_ask)
            index += 1
            if piece.replicas:
                planned.append(piece)
    return tuple(planned)


def _end_key(part: SubRange) -> int:
    return part.end


def _clip(
    part: SubRange,
    wanted: KeyRange,
    may_ask: Callable[[ServerName, int, int], bool],
) -> SubRange:
    start, end = max(part.start, wanted[0]), min(part.end, wanted[1])
    replicas = tuple(
        server for server in part.replicas if may_ask(server, start, end)
    )
    return SubRange(start, end, replicas)
