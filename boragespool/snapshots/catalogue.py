"""Which backend servers can answer which key range of which index version."""

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
    """A key range ``[start, end)`` for one sub-request.

    Attributes
    ----------
    replicas : tuple of str
        Backend servers that hold the whole range, by name.
    """

    start: int
    end: int
    replicas: tuple[ServerName, ...]


@dataclass(frozen=True, slots=True)
class Catalogue:
    """Plans for the whole key space, by index version.

    Attributes
    ----------
    plans_by_version : mapping of int to tuple of SubRange
        Disjoint sub-ranges in key order; newest version first.
    keys_by_version : mapping of int to int
        Number of keys that each plan covers.
    """

    plans_by_version: Mapping[IndexVersion, tuple[SubRange, ...]]
    keys_by_version: Mapping[IndexVersion, int]


def build_catalogue(
    holdings_by_server: Mapping[ServerName, Iterable[Holding]],
) -> Catalogue:
    """Plan every index version that the given backend servers hold.

    Parameters
    ----------
    holdings_by_server : mapping of str to iterable of Holding
        Only the backend servers that may get work. Reported ranges that are
        empty or outside the key space are left out.

    Returns
    -------
    Catalogue
        A plan is cut wherever a holder's range starts or ends, so that each
        sub-range lies inside one reported range of each of its replicas.
    """
    edges_by_version: dict[IndexVersion, list[_Edge]] = {}
    for server, holdings in holdings_by_server.items():
        for holding in holdings:
            edges = edges_by_version.setdefault(holding.version, [])
            for held in filter(is_range, holding.ranges):
                edges.extend(((held[0], 1, server), (held[1], -1, server)))
    plans = {
        version: _sweep(edges_by_version[version])
        for version in sorted(edges_by_version, reverse=True)
    }
    return Catalogue(
        plans,
        {version: _plan_keys(plan) for version, plan in plans.items()},
    )


_Edge = tuple[int, int, 'ServerName']


def _sweep(edges: list[_Edge]) -> tuple[SubRange, ...]:
    """Cut the key space at all edges; keep the pieces that have a holder."""
    edges.sort()
    depth_by_server: dict[ServerName, int] = {}
    stops: list[tuple[int, tuple[ServerName, ...]]] = []
    for position, group in groupby(edges, key=itemgetter(0)):
        for edge in group:
            _apply(edge, depth_by_server)
        stops.append((position, tuple(sorted(depth_by_server))))
    return tuple(
        SubRange(start, end, replicas)
        for (start, replicas), (end, _) in pairwise(stops)
        if replicas
    )


def _apply(edge: _Edge, depth_by_server: dict[ServerName, int]) -> None:
    """Count the ranges that are open per server; ranges may overlap."""
    _, change, server = edge
    depth = depth_by_server.pop(server, 0) + change
    if depth:
        depth_by_server[server] = depth


def _plan_keys(plan: Iterable[SubRange]) -> int:
    return key_count((part.start, part.end) for part in plan)


def choose_version(catalogue: Catalogue) -> IndexVersion | None:
    """Choose the index version that a new query is computed from.

    Parameters
    ----------
    catalogue : Catalogue
        Holdings of the backend servers that may get work.

    Returns
    -------
    int or None
        The version with the largest coverage, ties to the newer one. The
        newest version that covers the whole key space therefore comes first.
        None if nothing is held.
    """
    held = {
        version: keys
        for version, keys in catalogue.keys_by_version.items()
        if keys
    }
    return max(
        held,
        key=lambda version: (held[version], version),
        default=None,
    )


def plan_ranges(
    catalogue: Catalogue,
    version: IndexVersion,
    wanted: Sequence[KeyRange],
    may_ask: Callable[[ServerName, int, int], bool],
) -> tuple[SubRange, ...]:
    """Plan some key ranges of one index version again.

    Parameters
    ----------
    catalogue : Catalogue
        Holdings as they are known now.
    version : int
        Pinned version.
    wanted : sequence of (int, int)
        Disjoint ranges that are still missing.
    may_ask : callable
        Whether a backend server may be asked for ``start, end``.

    Returns
    -------
    tuple of SubRange
        Disjoint, inside `wanted`, in key order; ranges that nobody may be
        asked for are left out.
    """
    plan = catalogue.plans_by_version.get(version, ())
    planned: list[SubRange] = []
    for start, end in wanted:
        index = bisect_right(plan, start, key=_end_of)
        while index < len(plan) and plan[index].start < end:
            piece = _narrow(plan[index], (start, end), may_ask)
            index += 1
            if piece.replicas:
                planned.append(piece)
    return tuple(planned)


def _end_of(part: SubRange) -> int:
    return part.end


def _narrow(
    part: SubRange,
    wanted: KeyRange,
    may_ask: Callable[[ServerName, int, int], bool],
) -> SubRange:
    start, end = max(part.start, wanted[0]), min(part.end, wanted[1])
    replicas = tuple(
        server for server in part.replicas if may_ask(server, start, end)
    )
    return SubRange(start, end, replicas)
