"""Controller that runs the queries of callers against the backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Self

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, SERVERS
from boragespool.controllers.queries.fleet_view import FleetView
from boragespool.controllers.queries.query_answers import blocked_failure
from boragespool.controllers.queries.query_run import QueryRun
from boragespool.controllers.queries.query_state import (
    AcceptedQuery,
    KnownGoodFingerprints,
    SharedQueryState,
)
from boragespool.results import Failure, ResultCode
from boragespool.routing import (
    LatencyTracker,
    ServerObservations,
    TokenBudget,
    fingerprint_of,
    refusal_wait_s,
)
from boragespool.settings import HedgingSettings
from boragespool.snapshots import choose_version
from boragespool.types import WorkKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.context import Context
    from boragespool.controllers.requests import QueryAnswer, QueryRequest
    from boragespool.revisions import RevisionDocument
    from boragespool.settings import RouteSettings, ServiceSettings, Settings
    from boragespool.types import IndexVersion, ServiceName

#: An entry is a 64-bit fingerprint and takes about 100 bytes of memory.
_MAX_KNOWN_GOOD_COUNT: Final = 8_192
#: Fraction of the deadline that is reserved for sending the answer.
_REPLY_MARGIN_RATIO: Final = 0.05
_MAX_REPLY_MARGIN_S: Final = 0.005
_MS_PER_S: Final = 1_000


class QueryController:
    """Checks and runs queries; an async context manager.

    Parameters
    ----------
    context : Context
        Services that the controllers of the daemon share.
    observations : ServerObservations, optional
        Observations by which replicas are chosen.
    create_tracker : callable, optional
        Called with the hedging quantile and the service settings that the
        latencies depend on; returns the latency tracker of a service.
    """

    def __init__(
        self,
        context: Context,
        observations: ServerObservations | None = None,
        create_tracker: Callable[
            [float, object], LatencyTracker
        ] = LatencyTracker,
    ) -> None:
        """Set up the state without running queries."""
        self._context = context
        self._create_tracker = create_tracker
        self._shared = SharedQueryState(
            context,
            FleetView(context.board),
            observations or ServerObservations(),
            TokenBudget(HedgingSettings()),
            KnownGoodFingerprints(_MAX_KNOWN_GOOD_COUNT),
        )
        self._tracker_by_service: dict[ServiceName, LatencyTracker] = {}
        self._runs: set[QueryRun] = set()
        self._unsubscribe: list[Callable[[], None]] = []

    async def __aenter__(self) -> Self:
        """Subscribe to the settings and the backend server records."""
        board = self._context.board
        self._unsubscribe = [
            board.subscribe(SERVERS, self._on_servers_changed),
            board.subscribe(DOCUMENT_IN_FORCE, self._on_revision_changed),
        ]
        self._on_revision_changed(board.read(DOCUMENT_IN_FORCE))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Unsubscribe; running queries end by their deadline."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()

    @property
    def in_flight(self) -> int:
        """Number of queries that are not answered yet."""
        return len(self._runs)

    async def answer(self, request: QueryRequest) -> QueryAnswer | Failure:
        """Run a query and return its answer.

        Parameters
        ----------
        request : QueryRequest
            Query from the caller API.

        Returns
        -------
        QueryAnswer or Failure
            Returned at the deadline at the latest. All items of an answer
            come from one index version. A failure with run state ``NOT_RUN``
            guarantees that no backend server ran any part of the query.
        """
        query = self._check_request(request)
        if isinstance(query, Failure):
            return query
        version = self._pin_version(query)
        if isinstance(version, Failure):
            return version
        run = QueryRun(query, version)
        self._runs.add(run)
        unseen = query.fingerprint not in self._shared.known_good
        try:
            return await run.answer(
                canary=query.suspect or (query.route.canary and unseen),
            )
        finally:
            self._runs.discard(run)

    def _check_request(self, request: QueryRequest) -> AcceptedQuery | Failure:
        """Check a request against the settings."""
        document = self._context.board.read(DOCUMENT_IN_FORCE)
        if document is None:
            return Failure(
                ResultCode.NOT_READY,
                'this daemon has not received its configuration yet',
            )
        settings = document.settings
        route = settings.routes.get(request.route)
        if route is None or route.service not in settings.services:
            return _unknown_route(request, settings)
        if route.form is not WorkKind.QUERY:
            return Failure(
                ResultCode.WRONG_FORM,
                f'route {request.route!r} accepts claims, not queries',
            )
        deadline_s = min(request.deadline_s, route.deadline_ms / _MS_PER_S)
        margin_s = min(deadline_s * _REPLY_MARGIN_RATIO, _MAX_REPLY_MARGIN_S)
        if deadline_s <= 0:
            return Failure(
                ResultCode.DEADLINE_PASSED,
                f'deadline must be above 0 s, got {request.deadline_s!r} s',
            )
        service = settings.services[route.service]
        return AcceptedQuery(
            request,
            route,
            service,
            fingerprint_of(request.route, request.body),
            self._context.timers.now_s() + deadline_s - margin_s,
            self._tracker(route, service, settings.hedging),
            self._shared,
        )

    def _pin_version(self, query: AcceptedQuery) -> IndexVersion | Failure:
        """Choose the index version, or refuse a query that cannot succeed."""
        if query.blocked:
            return blocked_failure(query.fingerprint)
        catalogue = query.catalogue()
        version = choose_version(catalogue)
        if version is None:
            return Failure(
                ResultCode.NO_SNAPSHOT,
                'no eligible backend server holds an index version',
            )
        wait_s = refusal_wait_s(
            (
                (part.end - part.start, part.replicas)
                for part in catalogue.plans_by_version[version]
            ),
            self._shared.observations,
            query.rank_index,
            self._context.timers.now_s(),
            query.time_left_s(),
        )
        if wait_s:
            rank = query.rank
            return Failure(
                ResultCode.DEADLINE_UNREACHABLE,
                f'expected queueing time of rank {rank!r} exceeds the deadline',
                retry_after_s=wait_s,
            )
        return version

    def _tracker(
        self,
        route: RouteSettings,
        service: ServiceSettings,
        hedging: HedgingSettings,
    ) -> LatencyTracker:
        """Return the latency tracker of a service.

        Creates a new one when the settings that latencies depend on change.
        """
        tracker_settings = (
            service.slots,
            service.connections,
            hedging.quantile,
        )
        tracker = self._tracker_by_service.get(route.service)
        if tracker is None or tracker.settings != tracker_settings:
            tracker = self._create_tracker(hedging.quantile, tracker_settings)
            self._tracker_by_service[route.service] = tracker
        return tracker

    def _on_servers_changed(self, servers: object) -> None:
        for run in tuple(self._runs):
            run.on_holdings_changed()

    def _on_revision_changed(self, document: RevisionDocument | None) -> None:
        """Apply the hedging budget; drop observations of removed servers."""
        if document is None:
            return
        settings = document.settings
        self._shared.budget.configure(settings.hedging)
        self._shared.observations.keep_only(
            frozenset(
                server
                for service in settings.services.values()
                for server in service.servers
            )
        )


def _unknown_route(request: QueryRequest, settings: Settings) -> Failure:
    return Failure(
        ResultCode.UNKNOWN_ROUTE,
        f'unknown route {request.route!r}; expected one of '
        f'{sorted(settings.routes)}',
    )
