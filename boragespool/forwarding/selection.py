"""Choice of a backend server among the replicas of one service.

Answers the load of pauses, slow phases and failures of single servers: work
goes where it is expected back first, and bytes stay in the data centre unless
another one gains more than they cost.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.forwarding.loads import ServerLoad
    from boragespool.types import Seconds, ServerName

#: Expected wait at a server whose oldest work is overdue, in seconds: half of
#: a usual pause (300 ms on the sites of the milestone).
_STALL_COST_S: Final = 0.15
#: Latency that a nearer server may cost more, in seconds. Traffic between
#: regions costs four times that between data centres of one region.
_REGION_COST_S: Final = 0.02
_DATA_CENTRE_COST_S: Final = 0.005
#: Cost of a failure that is certain, in seconds: the time of a retry.
_FAILURE_COST_S: Final = 0.5
#: Cost of a server that broke connections just now, in seconds: more than any
#: other replica costs.
_SUSPECT_COST_S: Final = 2


class Place(enum.Enum):
    """Where a backend server runs, seen from a daemon."""

    DATA_CENTRE = 'data_centre'
    REGION = 'region'
    ELSEWHERE = 'elsewhere'


_COST_S_BY_PLACE: Final = MappingProxyType(
    {
        Place.DATA_CENTRE: 0,
        Place.REGION: _DATA_CENTRE_COST_S,
        Place.ELSEWHERE: _REGION_COST_S,
    },
)


@dataclass(frozen=True, slots=True)
class Candidate:
    """One backend server that may get the request.

    Attributes
    ----------
    place : Place
        Where it runs, seen from the daemon.
    has_room : bool
        Whether a connection to it is free or may be opened.
    """

    server: ServerName
    load: ServerLoad
    place: Place
    has_room: bool


def choose_server(
    candidates: Iterable[Candidate],
    usual_s: Seconds,
    now_s: Seconds,
    draw: float,
) -> Candidate | None:
    """Return the candidate with the least expected cost.

    Parameters
    ----------
    candidates : iterable of Candidate
        Servers that the request has not been sent to.
    usual_s : float
        Usual service time of such a request, in seconds.
    draw : float
        Random number in ``[0, 1)``; it spreads daemons over equal servers.
    """
    ranked = [
        (cost_s(candidate, usual_s, now_s), number, candidate)
        for number, candidate in enumerate(candidates)
        if candidate.has_room
    ]
    if not ranked:
        return None
    least_s = min(ranked)[0]
    # Costs within a tenth of the usual time are not told apart.
    equal = [entry[2] for entry in ranked if entry[0] <= least_s + usual_s / 10]
    return equal[int(draw * len(equal))]


def cost_s(
    candidate: Candidate,
    usual_s: Seconds,
    now_s: Seconds,
) -> Seconds:
    """Return the expected latency with the cost of risks, in seconds."""
    load = candidate.load
    cost = load.expected_s(usual_s, now_s)
    cost += _FAILURE_COST_S * load.failure_ratio
    if load.stalled_s(usual_s, now_s) > 0:
        cost += _STALL_COST_S
    if now_s < load.suspect_until_s:
        cost += _SUSPECT_COST_S
    return cost + _COST_S_BY_PLACE[candidate.place]
