"""Data that the modules of the query controller share."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import BLOCKED, SUSPECTS
from boragespool.types import Rank

if TYPE_CHECKING:
    from boragespool.controllers.context import Context
    from boragespool.controllers.queries.fleet_view import FleetView
    from boragespool.controllers.requests import QueryRequest
    from boragespool.routing import (
        LatencyTracker,
        ServerObservations,
        TokenBudget,
    )
    from boragespool.settings import RouteSettings, ServiceSettings
    from boragespool.snapshots import Catalogue, KeyRange
    from boragespool.types import (
        AttemptId,
        HostName,
        Seconds,
        ServerName,
    )

_RANKS: Final = tuple(Rank)


class KnownGoodFingerprints:
    """A bounded set of fingerprints that ran without harm, oldest dropped."""

    def __init__(self, limit: int) -> None:
        """Start empty."""
        self._limit = limit
        self._fingerprints: OrderedDict[int, None] = OrderedDict()

    def add(self, fingerprint: int) -> None:
        """Add a fingerprint or make it the newest."""
        self._fingerprints[fingerprint] = None
        self._fingerprints.move_to_end(fingerprint)
        if len(self._fingerprints) > self._limit:
            self._fingerprints.popitem(last=False)

    def __contains__(self, fingerprint: int) -> bool:
        """Return whether a fingerprint is in the set."""
        return fingerprint in self._fingerprints


@dataclass(frozen=True, slots=True)
class SharedQueryState:
    """State of the query controller that all queries of a daemon share."""

    context: Context
    fleet: FleetView
    observations: ServerObservations
    budget: TokenBudget
    known_good: KnownGoodFingerprints


@dataclass(frozen=True, slots=True)
class AcceptedQuery:
    """One accepted query.

    Attributes
    ----------
    answer_by_s : float
        Monotonic time at which the answer is given at the latest.
    tracker : LatencyTracker
        Attempt latencies of the route's service.
    """

    request: QueryRequest
    route: RouteSettings
    service: ServiceSettings
    fingerprint: int
    answer_by_s: Seconds
    tracker: LatencyTracker
    shared: SharedQueryState

    @property
    def rank(self) -> Rank:
        """Rank of the route, unless the caller lowered it."""
        return self.request.rank or self.route.rank

    @property
    def rank_index(self) -> int:
        """Position of the rank, most important first."""
        return _RANKS.index(self.rank)

    @property
    def suspect(self) -> bool:
        """Whether the request is suspected of crashing backend servers."""
        return self.fingerprint in self.shared.context.board.read(SUSPECTS)

    @property
    def blocked(self) -> bool:
        """Whether the request must not be sent any more."""
        return self.fingerprint in self.shared.context.board.read(BLOCKED)

    def catalogue(self) -> Catalogue:
        """Return the plans over the servers that may get work now."""
        return self.shared.fleet.catalogue(self.route.service, self.service)

    def time_left_s(self) -> Seconds:
        """Return the time until the answer is given at the latest."""
        return self.answer_by_s - self.shared.context.timers.now_s()


@dataclass(slots=True, eq=False)
class Part:
    """A sub-range with the attempts to get it.

    Attributes
    ----------
    tried : list of str
        Servers that were asked, losing attempts included.
    """

    key_range: KeyRange
    replicas: tuple[ServerName, ...]
    tried_servers: list[ServerName] = field(default_factory=list)
    open_attempts: dict[AttemptId, Attempt] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request to one backend server."""

    attempt_id: AttemptId
    server: ServerName
    dispatcher: HostName
    part: Part
    sent_at_s: Seconds
