"""Sends the attempts of one query and observes how they end."""

from __future__ import annotations

import itertools
from functools import partial
from typing import TYPE_CHECKING, Final

from boragespool.controllers.queries.attempt_results import (
    record_attempt_result,
)
from boragespool.controllers.queries.query_state import Attempt, Part
from boragespool.messages import CancelWork, WorkReply, WorkRequest
from boragespool.metrics import ATTEMPTS
from boragespool.results import Failure, ResultCode
from boragespool.routing import choose_replica
from boragespool.types import RunState, WorkKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.queries.query_state import AcceptedQuery
    from boragespool.types import AttemptId, IndexVersion, ServerName

_CRASH_CODES: Final = frozenset(
    (ResultCode.SERVER_CLOSED, ResultCode.SERVER_UNREACHABLE)
)
_ATTEMPT_NUMBERS: Final = itertools.count(1)


class AttemptSender:
    """All attempts of one query.

    Parameters
    ----------
    work : AcceptedQuery
        The query.
    receive : callable
        Called with each attempt that ended by itself and its result.
    """

    def __init__(
        self,
        query: AcceptedQuery,
        on_result: Callable[[Attempt, WorkReply | Failure], None],
    ) -> None:
        """Start without attempts."""
        self.sent_count = 0
        #: Whether any attempt ran or may have run.
        self.may_have_run = False
        self.open_attempt_by_id: dict[AttemptId, Attempt] = {}
        self._query = query
        self._on_result = on_result
        self._crash_count = 0
        self._completed_count = 0
        self._overdue_attempt_ids: set[AttemptId] = set()
        self._abandon_call_by_id: dict[AttemptId, Callable[[], None]] = {}

    @property
    def crash_suspected(self) -> bool:
        """Whether the request may have crashed a backend server.

        One lost server is ordinary. A crashing request loses most of the
        servers that it was sent to.
        """
        return (
            self._query.suspect or self._crash_count * 2 > self._completed_count
        )

    def choose_server(self, part: Part) -> ServerName | None:
        """Choose a replica that was not tried for a part.

        A replica of another dispatcher is preferred, because a dispatcher
        that is lost or slow delays all its servers.
        """
        context = self._query.shared.context
        replicas = part.replicas
        if part.tried_servers:
            tried_dispatchers = set(
                map(self._query.shared.fleet.dispatcher, part.tried_servers)
            )
            replicas = tuple(
                server
                for server in replicas
                if self._query.shared.fleet.dispatcher(server)
                not in tried_dispatchers
            )
        choose_from = partial(
            choose_replica,
            tried=part.tried_servers,
            observations=self._query.shared.observations,
            draws=(context.draw(), context.draw()),
            now_s=context.timers.now_s(),
            rank_index=self._query.rank_index,
        )
        return choose_from(replicas) or choose_from(part.replicas)

    def send(
        self,
        part: Part,
        server: ServerName,
        version: IndexVersion,
        kind: str,
    ) -> Attempt:
        """Send one attempt; its result is received later."""
        shared = self._query.shared
        identity = shared.context.identity
        attempt_number = next(_ATTEMPT_NUMBERS)
        attempt = Attempt(
            f'{identity.host}.{identity.incarnation:x}.{attempt_number:x}',
            server,
            shared.fleet.dispatcher(server) or '',
            part,
            shared.context.timers.now_s(),
        )
        part.tried_servers.append(server)
        part.open_attempts[attempt.attempt_id] = attempt
        self.open_attempt_by_id[attempt.attempt_id] = attempt
        self.sent_count += 1
        ATTEMPTS.labels(kind).inc()
        shared.observations.record_sent(server)
        # The deadline of the query ends the wait for a reply.
        self._abandon_call_by_id[attempt.attempt_id] = (
            shared.context.peers.call(
                attempt.dispatcher,
                self._work_request(attempt, version),
                partial(self._finish, attempt),
            )
        )
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Withdraw an attempt whose result is of no more use."""
        self.may_have_run = True
        self._remove_open_attempt(attempt)
        self._abandon_call_by_id.pop(attempt.attempt_id)()
        context = self._query.shared.context
        context.peers.send(attempt.dispatcher, CancelWork(attempt.attempt_id))
        waited_s = context.timers.now_s() - attempt.sent_at_s
        self._query.shared.observations.record_refusal(attempt.server)
        if waited_s >= (self._query.tracker.quantile_s or 0):
            self.record_overdue(attempt)
            self._query.tracker.record(waited_s)

    def record_overdue(self, attempt: Attempt) -> None:
        """Tell the observations once that an attempt is slower than most."""
        if attempt.attempt_id in self._overdue_attempt_ids:
            return
        self._overdue_attempt_ids.add(attempt.attempt_id)
        now_s = self._query.shared.context.timers.now_s()
        self._query.shared.observations.record_overdue(attempt.server, now_s)

    def _work_request(
        self, attempt: Attempt, version: IndexVersion
    ) -> WorkRequest:
        request = self._query.request
        start, end = attempt.part.key_range
        return WorkRequest(
            attempt_id=attempt.attempt_id,
            request_id=request.request_id,
            kind=WorkKind.QUERY,
            route=request.route,
            server=attempt.server,
            rank=self._query.rank,
            caller=request.caller,
            deadline_s=self._query.time_left_s(),
            body=request.body,
            fingerprint=self._query.fingerprint,
            version=version,
            start=start,
            end=end,
            solo=self.crash_suspected,
        )

    def _finish(self, attempt: Attempt, reply: object) -> None:
        """Take the result of an attempt that was not cancelled."""
        if self._abandon_call_by_id.pop(attempt.attempt_id, None) is None:
            return
        self._remove_open_attempt(attempt)
        result = _to_result(reply)
        if _may_have_run(result):
            self.may_have_run = True
            if result.code in _CRASH_CODES:
                self._crash_count += 1
        self._record_result(attempt, result)
        self._on_result(attempt, result)

    def _remove_open_attempt(self, attempt: Attempt) -> None:
        self.open_attempt_by_id.pop(attempt.attempt_id, None)
        attempt.part.open_attempts.pop(attempt.attempt_id, None)

    def _record_result(
        self, attempt: Attempt, result: WorkReply | Failure
    ) -> None:
        """Tell the observations how an attempt ended."""
        now_s = self._query.shared.context.timers.now_s()
        latency_s = now_s - attempt.sent_at_s
        record_attempt_result(
            self._query.shared.observations,
            attempt.server,
            result,
            latency_s,
            now_s,
        )
        if result.code == ResultCode.COMPLETE:
            self._completed_count += 1
            self._query.tracker.record(latency_s)


def _to_result(reply: object) -> WorkReply | Failure:
    """Return a reply or a failure, whatever the peer answered."""
    if isinstance(reply, (WorkReply, Failure)):
        return reply
    return _invalid_reply_failure(
        f'{type(reply).__name__!r} is not a work reply'
    )


def _may_have_run(result: WorkReply | Failure) -> bool:
    complete = result.code == ResultCode.COMPLETE
    return complete or result.run != RunState.NOT_RUN


def _invalid_reply_failure(reason: str) -> Failure:
    return Failure(ResultCode.PEER_REFUSED, reason, RunState.UNKNOWN)
