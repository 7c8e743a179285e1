"""Sends the attempts of one query and observes how they end."""

from __future__ import annotations

import itertools
from functools import partial
from typing import TYPE_CHECKING, Final

from boragespool.controllers.queries.observing import observe_result
from boragespool.controllers.queries.query_parts import Attempt, Part
from boragespool.messages import CancelWork, WorkReply, WorkRequest
from boragespool.metrics import ATTEMPTS
from boragespool.results import Failure, ResultCode
from boragespool.routing import choose_replica
from boragespool.types import RunState, WorkKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.queries.query_parts import QueryWork
    from boragespool.types import AttemptId, IndexVersion, ServerName

_CRASH_CODES: Final = frozenset(
    (ResultCode.SERVER_CLOSED, ResultCode.SERVER_UNREACHABLE)
)
_NUMBERS: Final = itertools.count(1)


class AttemptSender:
    """All attempts of one query.

    Parameters
    ----------
    work : QueryWork
        The query.
    receive : callable
        Called with each attempt that ended by itself and its result.
    """

    def __init__(
        self,
        work: QueryWork,
        receive: Callable[[Attempt, WorkReply | Failure], None],
    ) -> None:
        """Start without attempts."""
        self.sent = 0
        #: Whether any attempt ran or may have run.
        self.may_have_run = False
        self.open_by_id: dict[AttemptId, Attempt] = {}
        self._work = work
        self._receive = receive
        self._crashes = 0
        self._answered = 0
        self._overdue_ids: set[AttemptId] = set()
        self._abandon_by_id: dict[AttemptId, Callable[[], None]] = {}

    @property
    def careful(self) -> bool:
        """Whether the request may have crashed a backend server.

        One lost server is ordinary. A crashing request loses most of the
        servers that it was sent to.
        """
        return self._work.suspect or self._crashes * 2 > self._answered

    def choose(self, part: Part) -> ServerName | None:
        """Choose a replica that was not tried for a part.

        A replica of another dispatcher is preferred, because a dispatcher
        that is lost or slow delays all its servers.
        """
        context = self._work.merger.context
        replicas = part.replicas
        if part.tried:
            hosts = set(map(self._work.merger.fleet.dispatcher, part.tried))
            replicas = tuple(
                server
                for server in replicas
                if self._work.merger.fleet.dispatcher(server) not in hosts
            )
        choose = partial(
            choose_replica,
            tried=part.tried,
            observations=self._work.merger.observations,
            draws=(context.draw(), context.draw()),
            now_s=context.timers.now_s(),
            rank_index=self._work.rank_index,
        )
        return choose(replicas) or choose(part.replicas)

    def send(
        self,
        part: Part,
        server: ServerName,
        version: IndexVersion,
        kind: str,
    ) -> Attempt:
        """Send one attempt; its result is received later."""
        merger = self._work.merger
        identity = merger.context.identity
        number = next(_NUMBERS)
        attempt = Attempt(
            f'{identity.host}.{identity.incarnation:x}.{number:x}',
            server,
            merger.fleet.dispatcher(server) or '',
            part,
            merger.context.timers.now_s(),
        )
        part.tried.append(server)
        part.open_attempts[attempt.attempt_id] = attempt
        self.open_by_id[attempt.attempt_id] = attempt
        self.sent += 1
        ATTEMPTS.labels(kind).inc()
        merger.observations.record_sent(server)
        # The deadline of the query ends the wait for a reply.
        self._abandon_by_id[attempt.attempt_id] = (
            merger.context.peers.request_with_callback(
                attempt.host,
                self._message(attempt, version),
                partial(self._finish, attempt),
            )
        )
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Withdraw an attempt whose result is of no more use."""
        self.may_have_run = True
        self._forget(attempt)
        self._abandon_by_id.pop(attempt.attempt_id)()
        context = self._work.merger.context
        context.peers.send(attempt.host, CancelWork(attempt.attempt_id))
        waited_s = context.timers.now_s() - attempt.started_s
        self._work.merger.observations.record_refusal(attempt.server)
        if waited_s >= (self._work.tracker.quantile_s or 0):
            self.note_overdue(attempt)
            self._work.tracker.record(waited_s)

    def note_overdue(self, attempt: Attempt) -> None:
        """Tell the observations once that an attempt is slower than most."""
        if attempt.attempt_id in self._overdue_ids:
            return
        self._overdue_ids.add(attempt.attempt_id)
        now_s = self._work.merger.context.timers.now_s()
        self._work.merger.observations.record_overdue(attempt.server, now_s)

    def _message(self, attempt: Attempt, version: IndexVersion) -> WorkRequest:
        request = self._work.request
        start, end = attempt.part.asked
        return WorkRequest(
            attempt_id=attempt.attempt_id,
            request_id=request.request_id,
            kind=WorkKind.QUERY,
            route=request.route,
            server=attempt.server,
            rank=self._work.rank,
            caller=request.caller,
            deadline_s=self._work.time_left_s(),
            body=request.body,
            fingerprint=self._work.fingerprint,
            version=version,
            start=start,
            end=end,
            solo=self.careful,
        )

    def _finish(self, attempt: Attempt, reply: object) -> None:
        """Take the result of an attempt that was not cancelled."""
        if self._abandon_by_id.pop(attempt.attempt_id, None) is None:
            return
        self._forget(attempt)
        result = _result_of(reply)
        if _may_have_run(result):
            self.may_have_run = True
            if result.code in _CRASH_CODES:
                self._crashes += 1
        self._observe(attempt, result)
        self._receive(attempt, result)

    def _forget(self, attempt: Attempt) -> None:
        self.open_by_id.pop(attempt.attempt_id, None)
        attempt.part.open_attempts.pop(attempt.attempt_id, None)

    def _observe(self, attempt: Attempt, result: WorkReply | Failure) -> None:
        """Tell the observations how an attempt ended."""
        now_s = self._work.merger.context.timers.now_s()
        latency_s = now_s - attempt.started_s
        observe_result(
            self._work.merger.observations,
            attempt.server,
            result,
            latency_s,
            now_s,
        )
        if result.code == ResultCode.COMPLETE:
            self._answered += 1
            self._work.tracker.record(latency_s)


def _result_of(reply: object) -> WorkReply | Failure:
    """Return a reply or a failure, whatever the peer answered."""
    if isinstance(reply, (WorkReply, Failure)):
        return reply
    return _unusable(f'{type(reply).__name__!r} is not a work reply')


def _may_have_run(result: WorkReply | Failure) -> bool:
    complete = result.code == ResultCode.COMPLETE
    return complete or result.run != RunState.NOT_RUN


def _unusable(reason: str) -> Failure:
    return Failure(ResultCode.PEER_REFUSED, reason, RunState.UNKNOWN)
