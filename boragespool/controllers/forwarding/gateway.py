"""Handles the requests of callers.

The gateway matches a request to a route, forwards it to one service or to all
shards of the route, and logs the outcome.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.forwarding_topics import REGISTRATIONS, ROUTES
from boragespool.controllers.forwarding.calls import RoutedRequest, ServiceCall
from boragespool.controllers.forwarding.codec import MergedReply
from boragespool.controllers.forwarding.request_guard import blocked_failure
from boragespool.controllers.forwarding.scatter_gather import ScatterGather
from boragespool.events import Event, log_event
from boragespool.forwarding import (
    Reply,
    WeightedRoundRobin,
    can_finish_before_stop,
    plan_deadlines,
    request_identity,
)
from boragespool.metrics import FORWARD_LATENCY, FORWARDED_REQUESTS
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.forwarding.codec import MessageCodec
    from boragespool.controllers.forwarding.fleet import ServerFleet
    from boragespool.forwarding import (
        ForwardRequest,
        ForwardRoute,
    )
    from boragespool.http import HttpRequest, HttpResponse
    from boragespool.types import RouteName, Seconds, ServiceName

#: Retry-After value until the daemon has read configuration and registrations,
#: in seconds. Outages of the store last some seconds, and callers have few
#: retries.
_NOT_READY_RETRY_AFTER_S: Final = 2
#: Retry-After value of a daemon that is stopping, in seconds: other daemons
#: are ready, and callers connect anew for a retry.
_STOPPING_RETRY_AFTER_S: Final = 0.02


class Gateway:
    """Forwards requests of callers to backend servers.

    Parameters
    ----------
    fleet : ServerFleet
        Backend servers by service.
    codec : MessageCodec
        Decodes requests and encodes responses.

    Attributes
    ----------
    in_flight : int
        Number of requests without a response so far.
    """

    def __init__(self, fleet: ServerFleet, codec: MessageCodec) -> None:
        """Set up a gateway without requests in flight."""
        self.in_flight = 0
        self._fleet = fleet
        self._codec = codec
        self._splits_by_route: dict[RouteName, WeightedRoundRobin] = {}
        self._stop_at_s: Seconds | None = None
        self._expire_callbacks: set[Callable[[], None]] = set()

    def stop_at(self, at_s: Seconds) -> None:
        """Refuse new requests that would not end before the daemon does.

        Whatever has no response at `at_s` gets its final one then: what is
        in, or a failure that states whether it may have run.
        """
        self._stop_at_s = at_s
        left_s = max(0, at_s - self._fleet.timers.now_s())
        self._fleet.timers.after(left_s, self._expire_all)

    async def handle(self, message: HttpRequest) -> HttpResponse:
        """Return the response to one request of a caller."""
        self.in_flight += 1
        try:
            return await self._handle_request(message)
        finally:
            self.in_flight -= 1

    async def _handle_request(self, message: HttpRequest) -> HttpResponse:
        request = self._codec.read_request(message)
        if isinstance(request, Failure):
            _log_refusal('', request, None)
            return self._codec.write_failure(request)
        board = self._fleet.board
        routes = board.read(ROUTES)
        if routes is None or board.read(REGISTRATIONS) is None:
            failure = Failure(
                ResultCode.NOT_READY,
                'the daemon has not finished reading the configuration and '
                'the registrations',
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )
            _log_refusal(request.request_id, failure, None)
            return self._codec.write_failure(failure)
        route = routes.find(request.domain, request.path)
        if route is None:
            failure = Failure(
                ResultCode.UNKNOWN_ROUTE,
                f'no route matches host {request.domain!r} and path '
                f'{request.path!r} in configuration version {routes.version}',
            )
            _log_refusal(request.request_id, failure, routes.version)
            return self._codec.write_failure(failure)
        if not self._may_accept(route):
            failure = Failure(
                ResultCode.LEAVING,
                'the daemon is stopping and would end before this request',
                retry_after_s=_STOPPING_RETRY_AFTER_S,
            )
            _log_refusal(request.request_id, failure, routes.version)
            return self._codec.write_failure(failure)
        return await self._forward(request, route, routes.version)

    def _may_accept(self, route: ForwardRoute) -> bool:
        if self._stop_at_s is None:
            return True
        return can_finish_before_stop(
            route,
            self._fleet.route_times.quantile_s(route.name),
            self._stop_at_s - self._fleet.timers.now_s(),
        )

    def _expire_all(self) -> None:
        for expire in tuple(self._expire_callbacks):
            expire()

    async def _forward(
        self,
        request: ForwardRequest,
        route: ForwardRoute,
        version: int,
    ) -> HttpResponse:
        arrived_at_s = self._fleet.timers.now_s()
        identity = request_identity(request, self._codec.echo_header)
        if self._fleet.crash_guard.is_blocked(identity):
            failure = blocked_failure(identity)
            _log_refusal(request.request_id, failure, version)
            return self._codec.write_failure(failure)
        self._fleet.route_times.set_initial(route.name, route.target_latency_s)
        routed_request = RoutedRequest(
            request,
            route,
            plan_deadlines(route, request.timeout_s, arrived_at_s),
            identity,
        )
        outcome: MergedReply | Reply | Failure
        if route.shards:
            outcome, calls = await self._call_all_shards(routed_request)
        else:
            outcome, calls = await self._call_one_service(routed_request)
        self._log_outcome(routed_request, outcome, calls, version, arrived_at_s)
        if isinstance(outcome, MergedReply):
            return self._codec.write_merged_reply(outcome)
        if isinstance(outcome, Reply):
            return self._codec.write_reply(outcome)
        return self._codec.write_failure(outcome)

    async def _call_all_shards(
        self,
        routed_request: RoutedRequest,
    ) -> tuple[MergedReply | Failure, tuple[ServiceCall, ...]]:
        result: asyncio.Future[MergedReply | Failure]
        result = asyncio.get_running_loop().create_future()
        scatter_gather = ScatterGather(
            self._fleet, self._codec, routed_request, result
        )
        self._expire_callbacks.add(scatter_gather.expire)
        scatter_gather.start()
        try:
            return await result, scatter_gather.calls
        except asyncio.CancelledError:
            scatter_gather.cancel()
            _log_abandoned(routed_request)
            raise
        finally:
            self._expire_callbacks.discard(scatter_gather.expire)

    async def _call_one_service(
        self,
        routed_request: RoutedRequest,
    ) -> tuple[Reply | Failure, tuple[ServiceCall, ...]]:
        result: asyncio.Future[Reply | Failure]
        result = asyncio.get_running_loop().create_future()

        def on_end(_: ServiceCall, outcome: Reply | Failure) -> None:
            if not result.done():
                result.set_result(outcome)

        def on_deadline() -> None:
            if not result.done():
                run = call.run_state
                call.abandon()
                result.set_result(
                    Failure(
                        ResultCode.DEADLINE_PASSED,
                        f'{call.service!r} did not reply before the deadline',
                        run,
                    ),
                )

        call = ServiceCall(
            self._fleet,
            self._codec,
            routed_request,
            self._choose_service(routed_request.route),
            on_end,
        )
        now_s = self._fleet.timers.now_s()
        deadline_timer = self._fleet.timers.after(
            max(0, routed_request.deadlines.deadline_at_s - now_s),
            on_deadline,
        )
        self._expire_callbacks.add(on_deadline)
        call.start()
        try:
            return await result, (call,)
        except asyncio.CancelledError:
            call.cancel()
            _log_abandoned(routed_request)
            raise
        finally:
            deadline_timer.cancel()
            self._expire_callbacks.discard(on_deadline)

    def _choose_service(self, route: ForwardRoute) -> ServiceName:
        """Return the service for one request, by the weights of a split."""
        if len(route.services) == 1:
            return route.services[0].service
        split = self._splits_by_route.get(route.name)
        if split is None or split.services != route.services:
            split = WeightedRoundRobin(route.services)
            self._splits_by_route[route.name] = split
        return split.next_service()

    def _log_outcome(
        self,
        routed_request: RoutedRequest,
        outcome: MergedReply | Reply | Failure,
        calls: tuple[ServiceCall, ...],
        version: int,
        arrived_at_s: float,
    ) -> None:
        took_s = self._fleet.timers.now_s() - arrived_at_s
        outcome_label = _outcome_label(outcome)
        priority = str(routed_request.route.priority)
        FORWARDED_REQUESTS.labels(priority, outcome_label).inc()
        FORWARD_LATENCY.labels(priority).observe(took_s)
        is_ordinary = outcome_label == 'complete' and not any(
            call.sent_count > 1 for call in calls
        )
        log_event(
            Event.REQUEST_FORWARDED,
            _outcome_message(outcome),
            level=logging.DEBUG if is_ordinary else logging.INFO,
            request=routed_request.request.request_id,
            route=routed_request.route.name,
            version=version,
            outcome=outcome_label,
            took_ms=round(took_s * 1_000),
            repeats={
                call.service: call.sent_count
                for call in calls
                if call.sent_count != 1
            },
            waited=[call.service for call in calls if call.was_queued],
            no_retry={
                call.service: call.no_retry_reason
                for call in calls
                if call.no_retry_reason
            },
        )


def _outcome_label(outcome: MergedReply | Reply | Failure) -> str:
    if isinstance(outcome, Failure):
        return 'refused' if outcome.run is RunState.NOT_RUN else 'failed'
    if isinstance(outcome, MergedReply) and outcome.missing_count:
        return 'partial'
    return 'complete'


def _outcome_message(outcome: MergedReply | Reply | Failure) -> str:
    if isinstance(outcome, Failure):
        return outcome.reason
    if isinstance(outcome, MergedReply):
        return f'replied with {outcome.missing_count} shards missing'
    return f'replied with status {outcome.status}'


def _log_refusal(
    request_id: str | None,
    failure: Failure,
    version: int | None,
) -> None:
    FORWARDED_REQUESTS.labels('', 'refused').inc()
    log_event(
        Event.REQUEST_FORWARDED,
        failure.reason,
        request=request_id,
        version=version,
        code=int(failure.code),
        outcome='refused',
    )


def _log_abandoned(routed_request: RoutedRequest) -> None:
    FORWARDED_REQUESTS.labels(
        str(routed_request.route.priority), 'abandoned'
    ).inc()
    log_event(
        Event.REQUEST_FORWARDED,
        'the caller closed the connection before the response was sent',
        request=routed_request.request.request_id,
        route=routed_request.route.name,
        outcome='abandoned',
    )
