"""One request to one service: attempts, retries and hedges."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.controllers.forwarding.links import Outgoing
from boragespool.forwarding import (
    Reply,
    Verdict,
    WaitingCall,
    classify_reply,
    hedge_delay_s,
)
from boragespool.http import ExchangeFailure, HttpResponse
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.forwarding.dialect import Dialect
    from boragespool.controllers.forwarding.fleet import ServerFleet
    from boragespool.controllers.forwarding.links import Exchange
    from boragespool.controllers.forwarding.server import Server
    from boragespool.forwarding import (
        Deadlines,
        ForwardRequest,
        ForwardRoute,
    )
    from boragespool.timers import Subscription
    from boragespool.types import Seconds, ServerName, ServiceName

#: Time for which an attempt that is no longer needed may still finish, in
#: seconds. Closing its connection would cost a new one; a pause lasts 0.3 s.
_ABANDON_S: Final = 0.25
#: Least time until the final answer in which another attempt may still
#: succeed, in seconds.
_LEAST_LEFT_S: Final = 0.02
#: Time after which refused callers may return, in seconds: about two usual
#: service times of the slowest route.
_BACKOFF_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class Job:
    """A request on its route with its deadlines."""

    request: ForwardRequest
    route: ForwardRoute
    deadlines: Deadlines


@dataclass(slots=True)
class _Attempt:
    server: Server
    exchange: Exchange | None = None


class ServiceCall:
    """Attempts of one request at the servers of one service.

    Parameters
    ----------
    fleet : ServerFleet
        Backend servers.
    dialect : Dialect
        Encodes requests and decodes replies.
    job : Job
        Request.
    service : str
        Service to ask.
    on_end : callable
        Called once with the call and its outcome: a reply, or a failure whose
        run state tells whether an attempt may have run.
    """

    def __init__(
        self,
        fleet: ServerFleet,
        dialect: Dialect,
        job: Job,
        service: ServiceName,
        on_end: Callable[[ServiceCall, Reply | Failure], None],
    ) -> None:
        """Send nothing yet."""
        self.service = service
        self.sent_count = 0
        self.has_waited = False
        self._fleet = fleet
        self._dialect = dialect
        self._job = job
        self._on_end = on_end
        self._ended = False
        self._may_have_run = False
        self._error_reply: Reply | None = None
        self._reason = 'no backend server takes work'
        self._tried: set[str] = set()
        self._open_by_attempt: dict[int, _Attempt] = {}
        self._hedge: Subscription | None = None
        self._waiting: int | None = None

    @property
    def is_possible(self) -> bool:
        """Whether a backend server is there and will have room in time."""
        if not self._fleet.servers_of(self.service):
            return False
        now_s = self._fleet.timers.now_s()
        wait_s = _wait_s(self._fleet, self.service, self._job.route)
        return now_s + wait_s < self._job.deadlines.deadline_at_s

    @property
    def run_state(self) -> RunState:
        """Whether a backend server may have run the request."""
        is_sent = self._may_have_run or bool(self._open_by_attempt)
        return RunState.UNKNOWN if is_sent else RunState.NOT_RUN

    def start(self) -> None:
        """Send the first attempt."""
        now_s = self._fleet.timers.now_s()
        self._fleet.budget(self.service).record_request(now_s)
        if not self._send() and not self._wait():
            self._finish(self._failure())

    def cancel(self) -> None:
        """Close the connections of all attempts at once."""
        self._end()
        self._close_attempts()

    def abandon(self) -> None:
        """Let attempts finish for a moment, as nobody waits for them."""
        self._end()
        if not self._open_by_attempt:
            return
        if self._fleet.waiting.is_waiting(self.service):
            self._close_attempts()
        else:
            self._fleet.timers.after(_ABANDON_S, self._close_attempts)

    def _end(self) -> None:
        self._ended = True
        self._stop_hedging()
        self._stop_waiting()

    def _stop_waiting(self) -> None:
        if self._waiting is not None:
            self._fleet.waiting.leave(self.service, self._waiting)
            self._waiting = None

    def _wait(self) -> bool:
        """Wait for room at a server; False if that cannot help in time."""
        if self._waiting is not None:
            return True
        if self.sent_count >= self._job.route.max_attempt_count:
            return False
        if not self._fleet.servers_of(self.service).keys() - self._tried:
            return False
        deadlines = self._job.deadlines
        usual_s = self._fleet.times.usual_s(self._job.route.name)
        number = self._fleet.next_attempt()
        call = WaitingCall(
            number,
            self._job.route.priority,
            deadlines.target_at_s - usual_s,
            deadlines.deadline_at_s,
        )
        if not self._fleet.waiting.join(self.service, call, self._resume):
            self._reason = 'its backend servers have no room in time'
            return False
        self._waiting = number
        self.has_waited = True
        return True

    def _close_attempts(self) -> None:
        now_s = self._fleet.timers.now_s()
        route = self._job.route.name
        usual_s = self._fleet.times.usual_s(route)
        unloaded_s = self._fleet.times.unloaded_s(route)
        for number, attempt in self._open_by_attempt.items():
            waited_s = attempt.server.load.abandon_attempt(
                number, usual_s, now_s
            )
            attempt.server.note_abandoned(waited_s, unloaded_s, now_s)
            if attempt.exchange is not None:
                attempt.exchange.cancel()
        self._open_by_attempt.clear()

    def _resume(self) -> bool:
        """Send when it is this call's turn; False if no server has room."""
        number = self._waiting
        self._waiting = None
        if self._send():
            return True
        self._waiting = number
        return False

    def _choose(self) -> Server | None:
        """Choose a server for one more attempt; None if there is none."""
        left_s = self._job.deadlines.deadline_at_s - self._fleet.timers.now_s()
        route = self._job.route
        if self.sent_count >= route.max_attempt_count or left_s < _LEAST_LEFT_S:
            return None
        return self._fleet.choose(self.service, route.name, self._tried)

    def _send(self) -> bool:
        """Send one more attempt; False if no server can take it."""
        server = self._choose()
        if server is None:
            return False
        self._stop_waiting()
        name = server.registration.server
        self._tried.add(name)
        self.sent_count += 1
        number = self._fleet.next_attempt()
        attempt = _Attempt(server)
        self._open_by_attempt[number] = attempt
        now_s = self._fleet.timers.now_s()
        server.load.start_attempt(number, now_s)
        left_s = self._job.deadlines.caller_deadline_at_s - now_s
        attempt.exchange = server.link.send(
            _outgoing(self._job, self._dialect, name, left_s),
            lambda result: self._take(number, result),
        )
        self._plan_hedge(server)
        return True

    def _plan_hedge(self, server: Server) -> None:
        route = self._job.route
        self._stop_hedging()
        if not route.idempotent or self.sent_count >= route.max_attempt_count:
            return
        delay_s = hedge_delay_s(
            route,
            self._fleet.times.quantile_s(route.name),
            server.load.round_trip_s,
        )
        self._hedge = self._fleet.timers.after(delay_s, self._try_hedge)

    def _try_hedge(self) -> None:
        if self._ended or not self._open_by_attempt:
            return
        has_room = self._fleet.has_room(self.service, self._tried)
        if has_room and self._fleet.may_repeat(self.service, is_hedge=True):
            self._send()

    def _stop_hedging(self) -> None:
        if self._hedge is not None:
            self._hedge.cancel()
            self._hedge = None

    def _take(
        self,
        number: int,
        result: HttpResponse | ExchangeFailure,
    ) -> None:
        """Take the end of one attempt."""
        attempt = self._open_by_attempt.pop(number)
        if isinstance(result, ExchangeFailure):
            self._take_failure(number, attempt.server, result)
            return
        self._fleet.note_handshake(attempt.server)
        reply = self._dialect.read_reply(result)
        verdict = classify_reply(reply)
        if verdict is Verdict.SUCCESS:
            self._take_success(number, attempt.server, reply)
            return
        now_s = self._fleet.timers.now_s()
        attempt.server.load.fail_attempt(number, now_s, refused=False)
        if verdict is Verdict.NOT_RUN:
            attempt.server.note_refusal(now_s)
        if reply.is_other_server:
            self._fleet.drop(attempt.server)
        if verdict is not Verdict.NOT_RUN:
            self._may_have_run = True
        if verdict is Verdict.ERROR:
            self._error_reply = reply
        name = attempt.server.registration.server
        self._reason = f'{name!r} answered {reply.status}, {verdict.value}'
        self._go_on(not_run=verdict is Verdict.NOT_RUN)

    def _take_success(self, number: int, server: Server, reply: Reply) -> None:
        times = self._fleet.times
        route = self._job.route.name
        now_s = self._fleet.timers.now_s()
        service_s = server.load.complete_attempt(
            number, times.usual_s(route), now_s
        )
        if service_s is not None:
            times.record(route, service_s)
            server.note_answer(service_s, times.unloaded_s(route), now_s)
        self._finish(reply)

    def _take_failure(
        self,
        number: int,
        server: Server,
        failure: ExchangeFailure,
    ) -> None:
        now_s = self._fleet.timers.now_s()
        server.load.fail_attempt(number, now_s, refused=True)
        server.note_refusal(now_s)
        self._reason = failure.reason
        if failure.sent:
            self._may_have_run = True
        else:
            # The attempt reached no server, so that it does not count.
            self.sent_count -= 1
        self._go_on(not_run=not failure.sent, counts=failure.sent)

    def _go_on(self, *, not_run: bool, counts: bool = True) -> None:
        """Send again if that is allowed, or wait for the other attempts.

        Parameters
        ----------
        counts : bool
            Whether a server got the attempt that failed, so that another one
            is taken from the budget.
        """
        if self._ended:
            return
        may_send = self._job.route.idempotent or not_run
        if may_send and counts:
            may_send = self._fleet.may_repeat(self.service, is_hedge=False)
        if may_send and (self._send() or self._wait()):
            return
        if self._open_by_attempt:
            return
        self._finish(self._error_reply or self._failure())

    def _failure(self) -> Failure:
        if self._may_have_run:
            return Failure(
                ResultCode.OUTCOME_UNKNOWN,
                f'{self.service!r}: {self._reason}',
                RunState.UNKNOWN,
            )
        wait_s = _wait_s(self._fleet, self.service, self._job.route)
        return Failure(
            ResultCode.NO_SERVER,
            f'{self.service!r}: {self._reason}',
            retry_after_s=max(_BACKOFF_S, wait_s),
        )

    def _finish(self, outcome: Reply | Failure) -> None:
        if self._ended:
            return
        self.abandon()
        self._on_end(self, outcome)


def _wait_s(
    fleet: ServerFleet,
    service: ServiceName,
    route: ForwardRoute,
) -> Seconds:
    """Return the expected wait for room at a server, in seconds."""
    return fleet.waiting.wait_s(service, route.priority)


def _outgoing(
    job: Job,
    dialect: Dialect,
    server: ServerName,
    left_s: Seconds,
) -> Outgoing:
    """Return the request as it is sent to one server."""
    echo = None
    if job.request.request_id is not None:
        echo = (dialect.echo_field, job.request.request_id)
    return Outgoing(
        dialect.write_request(job.request, server, left_s),
        left_s,
        echo,
        fresh_only=not job.route.idempotent,
    )
