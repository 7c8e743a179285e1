"""Sends the attempts of one query and records their results."""

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

#: Results of attempts during which the backend server may have crashed.
_CRASH_CODES: Final = frozenset(
    (ResultCode.SERVER_CLOSED, ResultCode.SERVER_UNREACHABLE)
)
_ATTEMPT_NUMBERS: Final = itertools.count(1)


class AttemptSender:
    """Sends and cancels the attempts of one query, and keeps the open ones.

    Parameters
    ----------
    query : AcceptedQuery
        Query that the attempts belong to.
    on_result : callable
        Called with an attempt and its result, unless the attempt was
        cancelled.

    Attributes
    ----------
    sent_count : int
        Number of attempts sent so far.
    may_have_run : bool
        Whether any attempt ran or may have run.
    open_attempt_by_id : dict of str to Attempt
        Attempts without a result, in the order in which they were sent.
    """

    def __init__(
        self,
        query: AcceptedQuery,
        on_result: Callable[[Attempt, WorkReply | Failure], None],
    ) -> None:
        """Set up the state without attempts."""
        self.sent_count = 0
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
        """Whether the request is suspected of crashing backend servers.

        True if its fingerprint is posted as a suspect, or if the number of
        attempts that may have crashed a server exceeds half the number of
        completed ones. A single lost server is common, while a request that
        crashes servers loses most of the servers that it was sent to.
        """
        return (
            self._query.suspect or self._crash_count * 2 > self._completed_count
        )

    def choose_server(self, part: Part) -> ServerName | None:
        """Return a replica that was not tried for a part, or None.

        Prefers replicas behind a dispatcher that was not tried either,
        because a lost or slow dispatcher delays all its servers.
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
        """Send one attempt; `on_result` is called later with its result.

        Parameters
        ----------
        part : Part
            Part whose key range is requested.
        server : str
            Replica that the attempt is sent to.
        version : int
            Pinned index version.
        kind : str
            Label of the attempts metric: ``first``, ``hedge``, ``retry`` or
            ``restart``.

        Returns
        -------
        Attempt
            The open attempt.
        """
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
        # Needs no timeout: open attempts are cancelled at the query deadline.
        self._abandon_call_by_id[attempt.attempt_id] = (
            shared.context.peers.request_with_callback(
                attempt.dispatcher,
                self._work_request(attempt, version),
                partial(self._finish, attempt),
            )
        )
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an open attempt whose result is no longer needed.

        A cancelled attempt counts as one that may have run. If it took at
        least the tracked latency quantile, or if the quantile is unknown, its
        time is recorded as a latency sample and the attempt as overdue.
        """
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
        """Record, once per attempt, that it takes longer than most."""
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
        """Handle the result of an attempt unless it was cancelled."""
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
        """Record the result for replica choice and for the latency quantile."""
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
    """Return the reply, or a failure if it has an unexpected type."""
    if isinstance(reply, (WorkReply, Failure)):
        return reply
    return _invalid_reply_failure(
        f'{type(reply).__name__!r} is not a WorkReply'
    )


def _may_have_run(result: WorkReply | Failure) -> bool:
    complete = result.code == ResultCode.COMPLETE
    return complete or result.run != RunState.NOT_RUN


def _invalid_reply_failure(reason: str) -> Failure:
    return Failure(ResultCode.PEER_REFUSED, reason, RunState.UNKNOWN)
