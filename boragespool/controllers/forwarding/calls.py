"""One request to one service: attempts, retries and hedges."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.controllers.forwarding.links import Outgoing
from boragespool.forwarding import Reply, Verdict, hedge_after_s, judge
from boragespool.http import ExchangeFailure, HttpResponse
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.forwarding.dialect import Dialect
    from boragespool.controllers.forwarding.fleet import Server, ServerFleet
    from boragespool.controllers.forwarding.links import Exchange
    from boragespool.forwarding import (
        Deadlines,
        ForwardRequest,
        ForwardRoute,
    )
    from boragespool.timers import Subscription
    from boragespool.types import Seconds, ServiceName

#: Time for which an attempt that is no longer needed may still finish, in
#: seconds. Closing its connection would cost a new one; a pause lasts 0.3 s.
_ABANDON_S: Final = 0.25
#: Least time left in which another attempt may still succeed, in seconds.
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

    @property
    def is_possible(self) -> bool:
        """Whether a backend server is there to ask."""
        return bool(self._fleet.servers_of(self.service))

    def start(self) -> None:
        """Send the first attempt."""
        now_s = self._fleet.timers.now_s()
        self._fleet.budget(self.service).note_request(now_s)
        if not self._send():
            self._finish(self._failure())

    def cancel(self) -> None:
        """Close the connections of all attempts at once."""
        self._ended = True
        self._stop_hedging()
        self._close_attempts()

    def abandon(self) -> None:
        """Let attempts finish for a moment, as nobody waits for them."""
        self._ended = True
        self._stop_hedging()
        if self._open_by_attempt:
            self._fleet.timers.after(_ABANDON_S, self._close_attempts)

    def _close_attempts(self) -> None:
        now_s = self._fleet.timers.now_s()
        usual_s = self._fleet.times.usual_s(self._job.route.name)
        for number, attempt in self._open_by_attempt.items():
            attempt.server.load.abandoned(number, usual_s, now_s)
            if attempt.exchange is not None:
                attempt.exchange.cancel()
        self._open_by_attempt.clear()

    def _left_s(self) -> Seconds:
        return self._job.deadlines.caller_at_s - self._fleet.timers.now_s()

    def _send(self) -> bool:
        """Send one more attempt; False if no server can take it."""
        route = self._job.route
        left_s = self._left_s()
        if self.sent_count >= route.attempt_count or left_s < _LEAST_LEFT_S:
            return False
        server = self._fleet.choose(self.service, route.name, self._tried)
        if server is None:
            return False
        name = server.registration.server
        self._tried.add(name)
        self.sent_count += 1
        number = self._fleet.next_attempt()
        attempt = _Attempt(server)
        self._open_by_attempt[number] = attempt
        server.load.begin(number, self._fleet.timers.now_s())
        request = self._job.request
        echo = None
        if request.request_id is not None:
            echo = (self._dialect.echo_field, request.request_id)
        attempt.exchange = server.link.send(
            Outgoing(
                self._dialect.write_request(request, name, left_s),
                left_s,
                echo,
                fresh_only=not route.idempotent,
            ),
            lambda result: self._take(number, result),
        )
        self._plan_hedge(server)
        return True

    def _plan_hedge(self, server: Server) -> None:
        route = self._job.route
        self._stop_hedging()
        if not route.idempotent or self.sent_count >= route.attempt_count:
            return
        delay_s = hedge_after_s(
            route,
            self._fleet.times.quantile_s(route.name),
            server.load.distance_s,
        )
        self._hedge = self._fleet.timers.after(delay_s, self._try_hedge)

    def _try_hedge(self) -> None:
        if self._ended or not self._open_by_attempt:
            return
        others = self._fleet.servers_of(self.service).keys() - self._tried
        if others and self._fleet.may_repeat(self.service, is_hedge=True):
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
        verdict = judge(reply)
        if verdict is Verdict.SUCCESS:
            self._take_success(number, attempt.server, reply)
            return
        now_s = self._fleet.timers.now_s()
        attempt.server.load.failed(number, now_s, refused=False)
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
        fleet = self._fleet
        route = self._job.route.name
        service_s = server.load.answered(
            number,
            fleet.times.usual_s(route),
            fleet.timers.now_s(),
        )
        if service_s is not None:
            fleet.times.record(route, service_s)
        self._finish(reply)

    def _take_failure(
        self,
        number: int,
        server: Server,
        failure: ExchangeFailure,
    ) -> None:
        now_s = self._fleet.timers.now_s()
        server.load.failed(number, now_s, refused=True)
        self._reason = failure.reason
        if failure.sent:
            self._may_have_run = True
        else:
            # The attempt reached no server, so that it does not count.
            self.sent_count -= 1
        self._go_on(not_run=not failure.sent, counts=failure.sent)

    def _go_on(self, *, not_run: bool, counts: bool = True) -> None:
        """Send again if that is allowed, or wait for the other attempts."""
        if self._ended:
            return
        may_send = self._job.route.idempotent or not_run
        if may_send and self._may_retry(counts=counts) and self._send():
            return
        if self._open_by_attempt:
            return
        self._finish(self._error_reply or self._failure())

    def _may_retry(self, *, counts: bool) -> bool:
        """Take a retry from the budget if the attempt reached a server."""
        if not counts:
            return True
        return self._fleet.may_repeat(self.service, is_hedge=False)

    def _failure(self) -> Failure:
        if self._may_have_run:
            return Failure(
                ResultCode.OUTCOME_UNKNOWN,
                f'{self.service!r}: {self._reason}',
                RunState.UNKNOWN,
            )
        return Failure(
            ResultCode.NO_SERVER,
            f'{self.service!r}: {self._reason}',
            retry_after_s=_BACKOFF_S,
        )

    def _finish(self, outcome: Reply | Failure) -> None:
        if self._ended:
            return
        self.abandon()
        self._on_end(self, outcome)
