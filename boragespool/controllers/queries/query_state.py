"""State of queries that the modules of the query controller share."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import (
    BLOCKED_FINGERPRINTS,
    SUSPECT_FINGERPRINTS,
)
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
    """Bounded set of fingerprints of requests that did not crash a server.

    These requests are sent without a canary, also on routes that use one,
    unless they are suspected of crashing servers later.

    Parameters
    ----------
    limit : int
        Maximum number of fingerprints; the oldest is dropped first.
    """

    def __init__(self, limit: int) -> None:
        """Initialize an empty set."""
        self._limit = limit
        self._fingerprints: OrderedDict[int, None] = OrderedDict()

    def add(self, fingerprint: int) -> None:
        """Add a fingerprint, or mark it as the newest."""
        self._fingerprints[fingerprint] = None
        self._fingerprints.move_to_end(fingerprint)
        if len(self._fingerprints) > self._limit:
            self._fingerprints.popitem(last=False)

    def __contains__(self, fingerprint: int) -> bool:
        """Return whether a fingerprint is in the set."""
        return fingerprint in self._fingerprints


@dataclass(frozen=True, slots=True)
class SharedQueryState:
    """State that all queries of a daemon share."""

    context: Context
    fleet: FleetView
    observations: ServerObservations
    budget: TokenBudget
    known_good: KnownGoodFingerprints


@dataclass(frozen=True, slots=True)
class AcceptedQuery:
    """Query that passed the checks, with the settings that apply to it.

    Attributes
    ----------
    fingerprint : int
        Identifies the route and body of the request in crash detection.
    answer_by_s : float
        Monotonic time by which the query must be answered, in seconds.
    tracker : LatencyTracker
        Latencies of attempts at the service of the route.
    shared : SharedQueryState
        State that all queries share.
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
        """Position of the rank, where 0 is the most important one."""
        return _RANKS.index(self.rank)

    @property
    def suspect(self) -> bool:
        """Whether the request is suspected of crashing backend servers."""
        return self.fingerprint in self.shared.context.board.read(
            SUSPECT_FINGERPRINTS
        )

    @property
    def blocked(self) -> bool:
        """Whether the request must no longer be sent to backend servers."""
        return self.fingerprint in self.shared.context.board.read(
            BLOCKED_FINGERPRINTS
        )

    def catalogue(self) -> Catalogue:
        """Return the plans over the servers that may get new work."""
        return self.shared.fleet.catalogue(self.route.service, self.service)

    def time_left_s(self) -> Seconds:
        """Return the time until the query must be answered, in seconds."""
        return self.answer_by_s - self.shared.context.timers.now_s()


@dataclass(slots=True, eq=False)
class Part:
    """Key range that one sub-request covers, with its attempts.

    Attributes
    ----------
    key_range : tuple of (int, int)
        Range ``[start, end)`` to request.
    replicas : tuple of str
        Backend servers that hold the whole range.
    tried_servers : list of str
        Servers that an attempt was sent to, including cancelled attempts.
    open_attempts : dict of str to Attempt
        Attempts without a result, by attempt ID.
    """

    key_range: KeyRange
    replicas: tuple[ServerName, ...]
    tried_servers: list[ServerName] = field(default_factory=list)
    open_attempts: dict[AttemptId, Attempt] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request for a part, sent to one backend server.

    Attributes
    ----------
    dispatcher : str
        Host of the daemon that the request is sent to, which dispatches it to
        the server; empty if there is none.
    sent_at_s : float
        Monotonic time at which the attempt was sent, in seconds.
    """

    attempt_id: AttemptId
    server: ServerName
    dispatcher: HostName
    part: Part
    sent_at_s: Seconds
