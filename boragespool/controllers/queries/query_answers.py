"""Builds the answers and failures of queries and logs query events."""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.controllers.requests import QueryAnswer
from boragespool.events import Event, log_event
from boragespool.metrics import COVERAGE
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from boragespool.controllers.queries.query_state import (
        AcceptedQuery,
        Attempt,
    )
    from boragespool.messages import WorkReply
    from boragespool.snapshots import MergeState
    from boragespool.types import IndexVersion

#: Result codes for callers by internal code.
_CALLER_CODES: Final = MappingProxyType(
    {
        ResultCode.SERVER_SHED: ResultCode.QUEUE_FULL,
        ResultCode.VERSION_NOT_HELD: ResultCode.NO_SNAPSHOT,
    }
)
#: Codes from here on are used only between daemons and servers.
_FIRST_INTERNAL_CODE: Final = 3000


@dataclass(frozen=True, slots=True)
class Ending:
    """Final state of a query.

    Attributes
    ----------
    state : MergeState
        Merged replies to answer with.
    attempts : int
        Number of attempts that were sent.
    last_refusal : WorkReply, Failure or None
        Result of the last attempt that failed.
    may_have_run : bool
        Whether any attempt ran or may have run.
    """

    state: MergeState
    attempts: int
    last_refusal: WorkReply | Failure | None
    may_have_run: bool


def build_answer(query: AcceptedQuery, ending: Ending) -> QueryAnswer | Failure:
    """Return the answer with its coverage, or a failure.

    Parameters
    ----------
    query : AcceptedQuery
        Query to answer.
    ending : Ending
        Its final state.

    Returns
    -------
    QueryAnswer or Failure
        A failure only if nothing was merged, and the request is blocked or
        no attempt can have run.
    """
    state = ending.state
    if not state.coverage:
        if query.blocked:
            return blocked_failure(
                query.fingerprint, may_have_run=ending.may_have_run
            )
        if not ending.may_have_run:
            return _refusal_for_caller(ending.last_refusal)
    COVERAGE.observe(state.coverage)
    code = ResultCode.COMPLETE if state.complete else ResultCode.PARTIAL
    missing = state.missing()
    if missing:
        log_event(
            Event.QUERY_PARTIAL,
            f'{len(missing)!r} key ranges are missing from the answer',
            request_id=query.request.request_id,
            snapshot=state.version,
            coverage=state.coverage,
        )
    return QueryAnswer(
        request_id=query.request.request_id,
        code=code,
        snapshot=state.version,
        coverage=state.coverage,
        missing=missing,
        rank=query.rank,
        items=state.merged_items(),
        attempts=ending.attempts,
    )


def blocked_failure(fingerprint: int, *, may_have_run: bool = False) -> Failure:
    """Return the failure for a request that crashes backend servers."""
    return Failure(
        ResultCode.REQUEST_BLOCKED,
        f'requests with fingerprint {fingerprint:#x} are blocked because '
        'backend servers were lost while running one',
        RunState.UNKNOWN if may_have_run else RunState.NOT_RUN,
    )


def log_rejected_reply(attempt: Attempt, failure: Failure) -> None:
    """Log a reply that could not be merged."""
    log_event(
        Event.SERVER_REPLY_REJECTED,
        failure.reason,
        attempt_id=attempt.attempt_id,
        server=attempt.server,
    )


def log_restarted_query(
    query: AcceptedQuery,
    replaced: IndexVersion,
    version: IndexVersion,
) -> None:
    """Log the restart of a query on a newer index version."""
    log_event(
        Event.QUERY_RESTARTED,
        f'query restarted on index version {version!r}: too few backend '
        f'servers hold {replaced!r}',
        request_id=query.request.request_id,
    )


def _refusal_for_caller(last: WorkReply | Failure | None) -> Failure:
    """Return the failure for callers, from that of the last attempt."""
    if last is None:
        return Failure(ResultCode.NO_SERVER, 'no eligible backend server')
    code = ResultCode(last.code)
    if code >= _FIRST_INTERNAL_CODE:
        code = _CALLER_CODES.get(code, ResultCode.NO_SERVER)
    reason = last.reason or code.name
    return Failure(
        code,
        f'no backend server ran the query: {reason}',
        RunState.NOT_RUN,
        last.retry_after_s,
    )
