"""Load balancing between the replicas of one service.

A request goes to the replica with the lowest expected latency, so that it
avoids servers that pause, are slow or fail. Replicas outside the daemon's data
centre are charged extra for their traffic, and are chosen only if the gain in
latency exceeds that cost.
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

#: Expected extra wait at a server whose oldest attempt is overdue, in seconds:
#: half of a typical pause of 300 ms.
_STALL_COST_S: Final = 0.15
#: Cost of traffic that leaves the region or the data centre, as the extra
#: latency, in seconds, that is accepted from a nearer server to avoid it.
#: Traffic between regions is four times as expensive as between data centres
#: of one region.
_REGION_COST_S: Final = 0.02
_DATA_CENTRE_COST_S: Final = 0.005
#: Cost of an attempt that is certain to fail, in seconds: the time that a
#: retry takes. It is scaled by the failure ratio of the server.
_FAILURE_COST_S: Final = 0.5
#: Cost of a server to which a connection recently failed, in seconds: higher
#: than that of any other replica, so that it is the last choice.
_SUSPECT_COST_S: Final = 2


class Locality(enum.Enum):
    """Locality of a backend server relative to the daemon."""

    DATA_CENTRE = 'data_centre'
    #: In another data centre of the daemon's region.
    REGION = 'region'
    ELSEWHERE = 'elsewhere'


_COST_S_BY_LOCALITY: Final = MappingProxyType(
    {
        Locality.DATA_CENTRE: 0,
        Locality.REGION: _DATA_CENTRE_COST_S,
        Locality.ELSEWHERE: _REGION_COST_S,
    },
)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may be chosen for a request.

    Attributes
    ----------
    locality : Locality
        Locality of the server relative to the daemon.
    has_capacity : bool
        Whether the server can take another request of this daemon now.
    connect_s : float
        Expected time to get a connection to the server, in seconds; 0 if one
        is idle.
    """

    server: ServerName
    load: ServerLoad
    locality: Locality
    has_capacity: bool
    connect_s: Seconds = 0


def choose_server(
    candidates: Iterable[Candidate],
    mean_service_s: Seconds,
    now_s: Seconds,
    random_fraction: float,
) -> Candidate | None:
    """Return the candidate with the lowest expected cost.

    Parameters
    ----------
    candidates : iterable of Candidate
        Servers that the request has not been sent to yet.
    mean_service_s : float
        Mean service time of such a request, in seconds.
    now_s : float
        Present time on the clock of the timer service.
    random_fraction : float
        Random number in ``[0, 1)`` that selects among servers of about equal
        cost, so that the daemons do not all choose the same one.

    Returns
    -------
    Candidate or None
        None if no candidate has capacity.
    """
    ranked = [
        (cost_s(candidate, mean_service_s, now_s), number, candidate)
        for number, candidate in enumerate(candidates)
        if candidate.has_capacity
    ]
    if not ranked:
        return None
    min_cost_s = min(ranked)[0]
    # Costs that differ by at most a tenth of the mean service time are
    # treated as equal.
    equal = [
        entry[2]
        for entry in ranked
        if entry[0] <= min_cost_s + mean_service_s / 10
    ]
    return equal[int(random_fraction * len(equal))]


def cost_s(
    candidate: Candidate,
    mean_service_s: Seconds,
    now_s: Seconds,
) -> Seconds:
    """Return the expected latency of a candidate plus penalties, in seconds.

    Penalties are added for failures, overdue attempts, recent connection
    failures and traffic that leaves the data centre.
    """
    load = candidate.load
    cost = load.expected_latency_s(mean_service_s, now_s)
    cost += _FAILURE_COST_S * load.failure_ratio
    if load.stalled_s(mean_service_s, now_s) > 0:
        cost += _STALL_COST_S
    if now_s < load.suspect_until_s:
        cost += _SUSPECT_COST_S
    return cost + candidate.connect_s + _COST_S_BY_LOCALITY[candidate.locality]
