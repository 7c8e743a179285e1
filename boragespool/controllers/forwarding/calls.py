"""Sends one request to the backend servers of one service.

A call consists of one or more attempts, each at a different server: the first
attempt, retries of failed attempts, and hedges of slow ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.controllers.forwarding.request_guard import (
    RequestGuard,
    blocked_failure,
)
from boragespool.controllers.forwarding.server_connections import (
    OutgoingRequest,
)
from boragespool.forwarding import (
    HedgeTimes,
    Reply,
    Verdict,
    WaitingCall,
    classify_reply,
    hedge_delay_s,
)
from boragespool.http import ExchangeFailure, FailureKind, HttpResponse
from boragespool.results import Failure, ResultCode
from boragespool.timers import RestartableTimer
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.forwarding.codec import MessageCodec
    from boragespool.controllers.forwarding.fleet import ServerFleet
    from boragespool.controllers.forwarding.server import Server
    from boragespool.controllers.forwarding.server_connections import Exchange
    from boragespool.forwarding import (
        Deadlines,
        ForwardRequest,
        ForwardRoute,
        RequestIdentity,
    )
    from boragespool.types import Seconds, ServerName, ServiceName

#: Time for which an attempt whose result is no longer needed may still finish,
#: in seconds. Cancelling it at once would cost a new connection; typical
#: pauses of a server last 0.3 s.
_ABANDON_GRACE_S: Final = 0.25
#: Minimum time left before the deadline for which another attempt is sent, in
#: seconds; a later one cannot succeed.
_MIN_TIME_LEFT_S: Final = 0.02
#: Minimum total rate that is assumed when all servers name limits, in requests
#: a second, so that expected waits are finite.
_MIN_RATE_PER_S: Final = 0.1
#: Minimum Retry-After value of a refused request, in seconds: about two mean
#: service times of the slowest route.
_RETRY_AFTER_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with the route that matched it and its deadlines.

    Attributes
    ----------
    identity : RequestIdentity
        What the request has in common with its repeats.
    """

    request: ForwardRequest
    route: ForwardRoute
    deadlines: Deadlines
    identity: RequestIdentity


@dataclass(slots=True)
class _Attempt:
    """An attempt in progress; `exchange` is None until it is sent."""

    server: Server
    exchange: Exchange | None = None


class ServiceCall:
    """One request to a service, with its retries and hedges.

    The call ends with the first successful reply, or once the last attempt
    has failed and no retry is allowed.

    Parameters
    ----------
    fleet : ServerFleet
        Backend servers by service, with their queues and retry budgets.
    codec : MessageCodec
        Encodes requests and decodes replies.
    routed_request : RoutedRequest
        Request to send.
    service : str
        Service whose servers may be used.
    on_end : callable
        Called once with the call and its outcome, unless the call is
        cancelled or abandoned before: a reply, or a failure whose run state
        tells whether an attempt may have run.

    Attributes
    ----------
    sent_count : int
        Number of attempts that reached a server or are in progress.
    was_queued : bool
        Whether the call ever waited in the queue of the service.
    no_retry_reason : str
        Why the last failed attempt was not retried, or a late one not hedged;
        empty if there was none, or each one was.
    """

    def __init__(
        self,
        fleet: ServerFleet,
        codec: MessageCodec,
        routed_request: RoutedRequest,
        service: ServiceName,
        on_end: Callable[[ServiceCall, Reply | Failure], None],
    ) -> None:
        """Prepare the call; `start` sends the first attempt."""
        self.service = service
        self.sent_count = 0
        self.was_queued = False
        self.no_retry_reason = ''
        self._fleet = fleet
        self._codec = codec
        self._routed_request = routed_request
        self._on_end = on_end
        self._ended = False
        self._may_have_run = False
        self._last_error_reply: Reply | None = None
        self._failure_reason = 'no backend server accepts requests'
        self._tried: set[str] = set()
        self._attempts_by_number: dict[int, _Attempt] = {}
        self._hedge_timer = RestartableTimer(fleet.timers)
        self._queue_number: int | None = None
        self._guard = RequestGuard(
            fleet.crash_guard,
            routed_request.request.request_id,
            routed_request.identity,
        )

    @property
    def may_succeed(self) -> bool:
        """Whether a server is expected to have capacity before the deadline."""
        if not self._fleet.servers_of(self.service):
            return False
        now_s = self._fleet.timers.now_s()
        wait_s = _expected_wait_s(
            self._fleet, self.service, self._routed_request.route
        )
        return now_s + wait_s < self._routed_request.deadlines.deadline_at_s

    @property
    def run_state(self) -> RunState:
        """Whether a backend server may have run the request."""
        is_sent = self._may_have_run or bool(self._attempts_by_number)
        return RunState.UNKNOWN if is_sent else RunState.NOT_RUN

    def start(self) -> None:
        """Send the first attempt, or queue it if no server has capacity."""
        now_s = self._fleet.timers.now_s()
        self._fleet.retry_budget(self.service).record_request(now_s)
        self._send_or_finish()

    def cancel(self) -> None:
        """Stop the call and cancel all attempts, closing their connections."""
        self.abandon(grace_s=0)

    def abandon(self, grace_s: Seconds = _ABANDON_GRACE_S) -> None:
        """Stop the call and give attempts in progress a short time to finish.

        They are cancelled at once if other calls wait for the connections.
        """
        self._ended = True
        self._hedge_timer.cancel()
        self._leave_queue()
        self._guard.stop_waiting()
        if not self._attempts_by_number:
            return
        if not grace_s or self._fleet.queues.has_waiting(self.service):
            self._cancel_attempts()
        else:
            self._fleet.timers.after(grace_s, self._cancel_attempts)

    def _send_or_wait(self) -> bool:
        """Send or queue an attempt, or wait for the trial of an equal request.

        Returns
        -------
        bool
            False if no server can take the request, or if it is blocked.
        """
        if self._guard.may_send:
            return self._send() or self._enqueue()
        if self._guard.is_blocked:
            return False
        self._guard.wait(
            self._fleet.next_attempt_number(), self._send_or_finish
        )
        return True

    def _send_or_finish(self) -> None:
        if not self._ended and not self._send_or_wait():
            self._finish_if_idle()

    def _leave_queue(self) -> None:
        if self._queue_number is not None:
            self._fleet.queues.remove(self.service, self._queue_number)
            self._queue_number = None

    def _enqueue(self) -> bool:
        """Queue the call until a server has capacity.

        Returns
        -------
        bool
            Whether the call is queued; False if no attempt or no server is
            left, or if its turn would come after the deadline.
        """
        if self._queue_number is not None:
            return True
        if self.sent_count >= self._routed_request.route.max_attempt_count:
            return False
        if not self._fleet.servers_of(self.service).keys() - self._tried:
            return False
        deadlines = self._routed_request.deadlines
        now_s = self._fleet.timers.now_s()
        mean_service_s = self._fleet.route_times.mean_service_s(
            self._routed_request.route.name
        )
        number = self._fleet.next_attempt_number()
        call = WaitingCall(
            number,
            self._routed_request.route.priority,
            deadlines.target_at_s - mean_service_s,
            deadlines.deadline_at_s,
        )
        rate_wait_s = _rate_wait_s(self._fleet, self.service)
        is_in_time = now_s + rate_wait_s < deadlines.deadline_at_s
        if not is_in_time or not self._fleet.queues.enqueue(
            self.service, call, self._send_from_queue
        ):
            self._failure_reason = (
                'no backend server has free capacity before the deadline'
            )
            return False
        self._queue_number = number
        self.was_queued = True
        return True

    def _cancel_attempts(self) -> None:
        now_s = self._fleet.timers.now_s()
        route = self._routed_request.route.name
        mean_service_s = self._fleet.route_times.mean_service_s(route)
        unloaded_s = self._fleet.route_times.unloaded_s(route)
        attempts_by_number = self._attempts_by_number
        self._attempts_by_number = {}
        for number, attempt in attempts_by_number.items():
            _mark_sent(number, attempt)
            waited_s = attempt.server.load.abandon_attempt(
                number, mean_service_s, now_s
            )
            attempt.server.record_abandoned(waited_s, unloaded_s, now_s)
            self._guard.end_attempt(number)
            if attempt.exchange is not None:
                attempt.exchange.cancel()

    def _send_from_queue(self) -> bool:
        """Send the queued call; return whether it was sent."""
        if self._guard.is_blocked:
            self._finish_if_idle()
            return False
        if not self._guard.may_send:
            self._leave_queue()
            self._send_or_finish()
            return False
        number = self._queue_number
        self._queue_number = None
        if self._send():
            return True
        self._queue_number = number
        return False

    def _send(self) -> bool:
        """Send the next attempt; return False if no server can take it."""
        deadlines = self._routed_request.deadlines
        now_s = self._fleet.timers.now_s()
        left_s = deadlines.caller_deadline_at_s - now_s
        route = self._routed_request.route
        if (
            self.sent_count >= route.max_attempt_count
            or deadlines.deadline_at_s - now_s < _MIN_TIME_LEFT_S
        ):
            return False
        server = _choose_server(
            self._fleet, self._routed_request, self.service, self._tried
        )
        if server is None:
            return False
        self._leave_queue()
        name = server.registration.server
        self._tried.add(name)
        self.sent_count += 1
        number = self._fleet.next_attempt_number()
        attempt = _Attempt(server)
        self._attempts_by_number[number] = attempt
        server.load.start_attempt(number, now_s)
        server.rate.record_sent()
        self._guard.start_attempt(number, name)
        attempt.exchange = server.connections.send(
            _outgoing_request(self._routed_request, self._codec, name, left_s),
            lambda result: self._handle_result(number, result),
        )
        self._schedule_hedge(server)
        return True

    def _schedule_hedge(self, server: Server) -> None:
        route = self._routed_request.route
        self._hedge_timer.cancel()
        if not route.idempotent or self.sent_count >= route.max_attempt_count:
            return
        route_times = self._fleet.route_times
        now_s = self._fleet.timers.now_s()
        delay_s = hedge_delay_s(
            route,
            HedgeTimes(
                route_times.quantile_s(route.name),
                route_times.unloaded_s(route.name),
                server.load.round_trip_s,
                self._fleet.min_round_trip_s(self.service, self._tried),
                self._routed_request.deadlines.target_at_s - now_s,
            ),
        )
        self._hedge_timer.restart(delay_s, self._send_hedge)

    def _send_hedge(self) -> None:
        if self._ended or not self._attempts_by_number:
            return
        if self._guard.is_suspect:
            self.no_retry_reason = 'may have crashed a server'
        elif not self._fleet.has_capacity(self.service, self._tried):
            self.no_retry_reason = 'no server for a hedge'
        elif self._fleet.spend_retry_budget(self.service, is_hedge=True):
            self._send()
        else:
            self.no_retry_reason = 'hedge budget used up'

    def _handle_result(
        self,
        number: int,
        result: HttpResponse | ExchangeFailure,
    ) -> None:
        """Finish the call, or retry, after the end of one attempt."""
        attempt = self._attempts_by_number.pop(number)
        _mark_sent(number, attempt)
        if isinstance(result, ExchangeFailure):
            self._handle_failure(number, attempt.server, result)
            return
        self._fleet.update_round_trip(attempt.server)
        reply = self._codec.read_reply(result)
        attempt.server.rate.observe(
            reply.rate_limit_per_s,
            attempt.server.load.started_at_s_by_attempt[number],
        )
        verdict = classify_reply(reply)
        if verdict is Verdict.SUCCESS:
            self._handle_success(number, attempt.server, reply)
            return
        self._guard.end_attempt(number)
        now_s = self._fleet.timers.now_s()
        attempt.server.load.fail_attempt(number, now_s, connection_failed=False)
        if verdict is Verdict.NOT_RUN:
            attempt.server.record_failure(now_s)
        if reply.is_other_server:
            self._fleet.discard(attempt.server)
        if verdict is not Verdict.NOT_RUN:
            self._may_have_run = True
        if verdict is Verdict.ERROR:
            self._last_error_reply = reply
        name = attempt.server.registration.server
        self._failure_reason = (
            f'{name!r} replied with status {reply.status}, '
            f'verdict {verdict.value}'
        )
        self._retry_or_finish(not_run=verdict is Verdict.NOT_RUN)

    def _handle_success(
        self, number: int, server: Server, reply: Reply
    ) -> None:
        route_times = self._fleet.route_times
        route = self._routed_request.route.name
        now_s = self._fleet.timers.now_s()
        service_s = server.load.complete_attempt(
            number, route_times.mean_service_s(route), now_s
        )
        if service_s is not None:
            route_times.record(route, service_s)
            server.record_reply(service_s, route_times.unloaded_s(route), now_s)
        self._guard.record_answer()
        self._guard.end_attempt(number)
        self._finish(reply)

    def _handle_failure(
        self,
        number: int,
        server: Server,
        failure: ExchangeFailure,
    ) -> None:
        now_s = self._fleet.timers.now_s()
        server.load.fail_attempt(number, now_s, connection_failed=True)
        server.record_failure(now_s)
        self._failure_reason = failure.reason
        if failure.sent and failure.kind is FailureKind.CLOSED:
            self._guard.record_interruption(number, server)
        else:
            self._guard.end_attempt(number)
        if failure.sent:
            self._may_have_run = True
        else:
            # The request was not sent, so the attempt does not count towards
            # the route's maximum.
            self.sent_count -= 1
        self._retry_or_finish(not_run=not failure.sent, is_counted=failure.sent)

    def _retry_or_finish(
        self, *, not_run: bool, is_counted: bool = True
    ) -> None:
        """Retry if allowed, else wait for the other attempts or finish.

        Parameters
        ----------
        not_run : bool
            Whether the failed attempt certainly did not run, so that a
            request that is not idempotent may be retried.
        is_counted : bool
            Whether the failed attempt reached a server, so that a retry is
            charged to the retry budget.
        """
        if self._ended:
            return
        self.no_retry_reason = self._retry(not_run=not_run, charge=is_counted)
        if self.no_retry_reason:
            self._finish_if_idle()

    def _finish_if_idle(self) -> None:
        """Finish with a failure unless other attempts are in progress."""
        if self._attempts_by_number:
            return
        outcome: Reply | Failure | None = self._last_error_reply
        if outcome is None and self._guard.is_blocked:
            outcome = blocked_failure(
                self._routed_request.identity, self.run_state
            )
        self._finish(
            outcome
            or _failure(
                f'{self.service!r}: {self._failure_reason}',
                self.run_state,
                _expected_wait_s(
                    self._fleet, self.service, self._routed_request.route
                ),
            )
        )

    def _retry(self, *, not_run: bool, charge: bool) -> str:
        """Send or queue another attempt; return the reason if it cannot be."""
        route = self._routed_request.route
        if not (route.idempotent or not_run):
            return 'not idempotent'
        if self.sent_count >= route.max_attempt_count:
            return 'attempts used up'
        if self._guard.is_blocked:
            return 'blocked'
        if charge and not self._fleet.spend_retry_budget(
            self.service, is_hedge=False
        ):
            return 'retry budget used up'
        return '' if self._send_or_wait() else 'no server'

    def _finish(self, outcome: Reply | Failure) -> None:
        if self._ended:
            return
        self.abandon()
        self._on_end(self, outcome)


def _choose_server(
    fleet: ServerFleet,
    routed_request: RoutedRequest,
    service: ServiceName,
    tried: set[str],
) -> Server | None:
    """Return a server without a trial if possible; None if none is left."""
    route = routed_request.route.name
    in_trial = fleet.crash_guard.turns.servers
    if in_trial:
        server = fleet.choose(service, route, tried | in_trial)
        if server is not None or fleet.crash_guard.is_suspect(
            routed_request.identity
        ):
            return server
    return fleet.choose(service, route, tried)


def _failure(
    reason: str, run_state: RunState, expected_wait_s: Seconds
) -> Failure:
    """Return the failure of a call without a reply."""
    if run_state is not RunState.NOT_RUN:
        return Failure(ResultCode.OUTCOME_UNKNOWN, reason, run_state)
    return Failure(
        ResultCode.NO_SERVER,
        reason,
        retry_after_s=max(_RETRY_AFTER_S, expected_wait_s),
    )


def _mark_sent(number: int, attempt: _Attempt) -> None:
    """Exclude the time to open a connection from the observed times."""
    exchange = attempt.exchange
    if exchange is not None and exchange.sent_at_s is not None:
        attempt.server.load.mark_sent(number, exchange.sent_at_s)


def _expected_wait_s(
    fleet: ServerFleet,
    service: ServiceName,
    route: ForwardRoute,
) -> Seconds:
    """Return the expected time in the queue of the service, in seconds."""
    return max(
        fleet.queues.expected_wait_s(service, route.priority),
        _rate_wait_s(fleet, service),
    )


def _rate_wait_s(fleet: ServerFleet, service: ServiceName) -> Seconds:
    """Return the wait of another call by the limits of all servers.

    In seconds; 0 if a server names no limit.
    """
    servers = fleet.servers_of(service).values()
    rate_per_s = max(
        _MIN_RATE_PER_S, sum(server.rate.rate_per_s for server in servers)
    )
    return fleet.queues.waiting_count(service) / rate_per_s if servers else 0


def _outgoing_request(
    routed_request: RoutedRequest,
    codec: MessageCodec,
    server: ServerName,
    left_s: Seconds,
) -> OutgoingRequest:
    """Return the request encoded for one server."""
    echo = None
    if routed_request.request.request_id is not None:
        echo = (codec.echo_header, routed_request.request.request_id)
    return OutgoingRequest(
        codec.write_request(routed_request.request, server, left_s),
        left_s,
        echo,
        needs_fresh_connection=not routed_request.route.idempotent,
    )
