"""Answers callers: finds the route, asks backend servers, logs the outcome."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.forwarding_topics import REGISTERED, ROUTES
from boragespool.controllers.forwarding.calls import Job, ServiceCall
from boragespool.controllers.forwarding.dialect import Gathered
from boragespool.controllers.forwarding.gathers import Gather
from boragespool.events import Event, log_event
from boragespool.forwarding import Reply, WeightedRoundRobin, plan_deadlines
from boragespool.metrics import FORWARD_LATENCY, FORWARDED
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from boragespool.controllers.forwarding.dialect import Dialect
    from boragespool.controllers.forwarding.fleet import ServerFleet
    from boragespool.forwarding import (
        ForwardRequest,
        ForwardRoute,
    )
    from boragespool.http import HttpRequest, HttpResponse
    from boragespool.types import RouteName, ServiceName

#: A daemon that knows nothing yet waits for the store, whose outages last some
#: seconds; callers have few retries.
_NOT_READY_S: Final = 2


class Gateway:
    """Forwards the requests of callers.

    Parameters
    ----------
    fleet : ServerFleet
        Backend servers.
    dialect : Dialect
        Translations.

    Attributes
    ----------
    in_flight : int
        Requests that are not answered yet.
    """

    def __init__(self, fleet: ServerFleet, dialect: Dialect) -> None:
        """Start without requests."""
        self.in_flight = 0
        self._fleet = fleet
        self._dialect = dialect
        self._splits_by_route: dict[RouteName, WeightedRoundRobin] = {}

    async def handle(self, message: HttpRequest) -> HttpResponse:
        """Answer one request of a caller."""
        self.in_flight += 1
        try:
            return await self._handle(message)
        finally:
            self.in_flight -= 1

    async def _handle(self, message: HttpRequest) -> HttpResponse:
        request = self._dialect.read_request(message)
        if isinstance(request, Failure):
            _log_refusal('', request, None)
            return self._dialect.write_failure(request)
        board = self._fleet.board
        routes = board.read(ROUTES)
        if routes is None or board.read(REGISTERED) is None:
            failure = Failure(
                ResultCode.NOT_READY,
                'the daemon has no configuration yet',
                retry_after_s=_NOT_READY_S,
            )
            _log_refusal(request.request_id, failure, None)
            return self._dialect.write_failure(failure)
        route = routes.find(request.domain, request.path)
        if route is None:
            failure = Failure(
                ResultCode.UNKNOWN_ROUTE,
                f'no route for {request.domain!r} and {request.path!r} in '
                f'version {routes.version}',
            )
            _log_refusal(request.request_id, failure, routes.version)
            return self._dialect.write_failure(failure)
        return await self._forward(request, route, routes.version)

    async def _forward(
        self,
        request: ForwardRequest,
        route: ForwardRoute,
        version: int,
    ) -> HttpResponse:
        began_s = self._fleet.timers.now_s()
        self._fleet.times.expect(route.name, route.target_latency_s)
        job = Job(
            request,
            route,
            plan_deadlines(route, request.timeout_s, began_s),
        )
        outcome: Gathered | Reply | Failure
        if route.shards:
            outcome, calls = await self._gather(job)
        else:
            outcome, calls = await self._relay(job)
        self._log(job, outcome, calls, version, began_s)
        if isinstance(outcome, Gathered):
            return self._dialect.write_gathered(outcome)
        if isinstance(outcome, Reply):
            return self._dialect.write_reply(outcome)
        return self._dialect.write_failure(outcome)

    async def _gather(
        self,
        job: Job,
    ) -> tuple[Gathered | Failure, tuple[ServiceCall, ...]]:
        result: asyncio.Future[Gathered | Failure]
        result = asyncio.get_running_loop().create_future()
        gather = Gather(self._fleet, self._dialect, job, result)
        gather.start()
        try:
            return await result, gather.calls
        except asyncio.CancelledError:
            gather.cancel()
            _log_gone(job)
            raise

    async def _relay(
        self,
        job: Job,
    ) -> tuple[Reply | Failure, tuple[ServiceCall, ...]]:
        result: asyncio.Future[Reply | Failure]
        result = asyncio.get_running_loop().create_future()

        def end(_: ServiceCall, outcome: Reply | Failure) -> None:
            if not result.done():
                result.set_result(outcome)

        def give_up() -> None:
            if not result.done():
                run = call.run_state
                call.abandon()
                result.set_result(
                    Failure(
                        ResultCode.DEADLINE_PASSED,
                        f'{call.service!r} did not answer in time',
                        run,
                    ),
                )

        call = ServiceCall(
            self._fleet,
            self._dialect,
            job,
            self._service_of(job.route),
            end,
        )
        now_s = self._fleet.timers.now_s()
        wait = self._fleet.timers.after(
            max(0, job.deadlines.deadline_at_s - now_s),
            give_up,
        )
        call.start()
        try:
            return await result, (call,)
        except asyncio.CancelledError:
            call.cancel()
            _log_gone(job)
            raise
        finally:
            wait.cancel()

    def _service_of(self, route: ForwardRoute) -> ServiceName:
        """Return the service of a route, in turn if it is split."""
        if len(route.services) == 1:
            return route.services[0].service
        turns = self._splits_by_route.get(route.name)
        if turns is None or turns.services != route.services:
            turns = WeightedRoundRobin(route.services)
            self._splits_by_route[route.name] = turns
        return turns.next_service()

    def _log(
        self,
        job: Job,
        outcome: Gathered | Reply | Failure,
        calls: tuple[ServiceCall, ...],
        version: int,
        began_s: float,
    ) -> None:
        took_s = self._fleet.timers.now_s() - began_s
        kind = _kind_of(outcome)
        priority = str(job.route.priority)
        FORWARDED.labels(priority, kind).inc()
        FORWARD_LATENCY.labels(priority).observe(took_s)
        is_plain = kind == 'complete' and not any(
            call.sent_count > 1 for call in calls
        )
        log_event(
            Event.REQUEST_FORWARDED,
            _reason_of(outcome),
            level=logging.DEBUG if is_plain else logging.INFO,
            request=job.request.request_id,
            route=job.route.name,
            version=version,
            outcome=kind,
            took_ms=round(took_s * 1_000),
            repeats={
                call.service: call.sent_count
                for call in calls
                if call.sent_count != 1
            },
            waited=[call.service for call in calls if call.has_waited],
        )


def _kind_of(outcome: Gathered | Reply | Failure) -> str:
    if isinstance(outcome, Failure):
        return 'refused' if outcome.run is RunState.NOT_RUN else 'failed'
    if isinstance(outcome, Gathered) and outcome.missing_count:
        return 'partial'
    return 'complete'


def _reason_of(outcome: Gathered | Reply | Failure) -> str:
    if isinstance(outcome, Failure):
        return outcome.reason
    if isinstance(outcome, Gathered):
        return f'answered without {outcome.missing_count} shards'
    return f'answered with status {outcome.status}'


def _log_refusal(
    request_id: str | None,
    failure: Failure,
    version: int | None,
) -> None:
    FORWARDED.labels('', 'refused').inc()
    log_event(
        Event.REQUEST_FORWARDED,
        failure.reason,
        request=request_id,
        version=version,
        code=int(failure.code),
        outcome='refused',
    )


def _log_gone(job: Job) -> None:
    FORWARDED.labels(str(job.route.priority), 'abandoned').inc()
    log_event(
        Event.REQUEST_FORWARDED,
        'the caller closed the connection before its answer',
        request=job.request.request_id,
        route=job.route.name,
        outcome='abandoned',
    )
