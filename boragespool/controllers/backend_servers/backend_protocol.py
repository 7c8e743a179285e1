"""Protocol of the backend servers: requests and replies in HTTP and JSON."""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

import msgspec

from boragespool.http import ExchangeFailure, FailureKind, HttpRequest
from boragespool.messages import Item, WorkReply
from boragespool.results import Failure, ResultCode
from boragespool.types import (
    IndexVersion,
    Rank,
    RunState,
    Seconds,
    ServerState,
    WorkKind,
)

if TYPE_CHECKING:
    from boragespool.http import HttpResponse
    from boragespool.messages import WorkRequest
    from boragespool.types import AttemptId

_HTTP_OK: Final = 200
_HTTP_CONFLICT: Final = 409
_HTTP_SERVICE_UNAVAILABLE: Final = 503
_JSON_HEADERS: Final = MappingProxyType({'content-type': 'application/json'})
_CODE_BY_FAILURE: Final = MappingProxyType(
    {
        FailureKind.REFUSED: ResultCode.SERVER_UNREACHABLE,
        FailureKind.TIMEOUT: ResultCode.SERVER_SILENT,
        FailureKind.CLOSED: ResultCode.SERVER_CLOSED,
        FailureKind.MALFORMED: ResultCode.SERVER_REPLY_INVALID,
        FailureKind.TOO_LARGE: ResultCode.SERVER_REPLY_INVALID,
    }
)


#: Result codes by the reason in a reply with HTTP status 503.
_CODE_BY_REASON: Final = MappingProxyType(
    {
        'draining': ResultCode.SERVER_DRAINING,
        'cancelled': ResultCode.CANCELLED,
        'deadline': ResultCode.DEADLINE_PASSED,
    }
)


@dataclass(frozen=True, slots=True)
class _WorkBody:
    attempt_id: str
    request_id: str
    kind: WorkKind
    version: IndexVersion
    start: int
    end: int
    body: msgspec.Raw
    rank: Rank
    deadline_s: Seconds


@dataclass(frozen=True, slots=True)
class _ReplyBody:
    attempt_id: str = ''
    version: IndexVersion = 0
    start: int = 0
    end: int = 0
    items: tuple[Item, ...] = ()
    item_count: int = 0
    outcome: Any = None
    run: RunState = RunState.UNKNOWN
    reason: str = ''
    retry_after_s: Seconds = 0


@dataclass(frozen=True, slots=True)
class CancelReply:
    """Answer of a backend server to a cancellation.

    Attributes
    ----------
    cancelled : bool
        Whether the server cancelled the work.
    run : RunState
        Run state of the work at the server.
    """

    cancelled: bool = False
    run: RunState = RunState.UNKNOWN


@dataclass(frozen=True, slots=True)
class BackendStatus:
    """Answer of a backend server to ``GET /v1/status``.

    Attributes
    ----------
    server : str
        Name of the backend server.
    incarnation : int
        Incarnation of the backend server.
    service : str
        Service that the server belongs to.
    state : ServerState
        State that the server reports.
    holdings : dict of str to tuple
        Held key ranges ``[start, end)`` by index version in decimal digits.
    """

    server: str
    incarnation: int
    service: str = ''
    state: ServerState = ServerState.SERVING
    holdings: dict[str, tuple[tuple[int, int], ...]] = msgspec.field(
        default_factory=dict,
    )


_ENCODER: Final = msgspec.json.Encoder()
_REPLY_DECODER: Final = msgspec.json.Decoder(_ReplyBody)
_CANCEL_DECODER: Final = msgspec.json.Decoder(CancelReply)
_STATUS_DECODER: Final = msgspec.json.Decoder(BackendStatus)
STATUS_REQUEST: Final = HttpRequest('GET', '/v1/status')


def build_work_request(work: WorkRequest, deadline_s: Seconds) -> HttpRequest:
    """Build ``POST /v1/work``.

    `deadline_s` is the time that is left until the deadline, in seconds.
    """
    body = _WorkBody(
        attempt_id=work.attempt_id,
        request_id=work.request_id,
        kind=work.kind,
        version=work.version,
        start=work.start,
        end=work.end,
        body=msgspec.Raw(work.body or b'null'),
        rank=work.rank,
        deadline_s=deadline_s,
    )
    return _post('/v1/work', body)


def build_cancel_request(attempt_id: AttemptId) -> HttpRequest:
    """Build ``POST /v1/cancel``."""
    return _post('/v1/cancel', {'attempt_id': attempt_id})


def decode_status(
    response: HttpResponse | ExchangeFailure,
) -> BackendStatus | Failure:
    """Decode the answer to ``GET /v1/status``."""
    if isinstance(response, ExchangeFailure):
        return Failure(_CODE_BY_FAILURE[response.kind], response.reason)
    try:
        return _STATUS_DECODER.decode(response.body)
    except msgspec.DecodeError as error:
        return Failure(ResultCode.SERVER_REPLY_INVALID, f'status: {error}')


def decode_cancel(response: HttpResponse | ExchangeFailure) -> CancelReply:
    """Decode the answer to a cancellation.

    A failed exchange or an invalid answer counts as not cancelled.
    """
    if isinstance(response, ExchangeFailure):
        return CancelReply()
    try:
        return _CANCEL_DECODER.decode(response.body)
    except msgspec.DecodeError:
        return CancelReply()


def decode_reply(
    work: WorkRequest,
    response: HttpResponse | ExchangeFailure,
) -> WorkReply:
    """Validate the answer to work and convert it to a reply.

    Returns
    -------
    WorkReply
        The code is ``COMPLETE`` only if the attempt is that of the request and,
        for a query, also the version, the range and the number of items are
        right. The run state is ``NOT_RUN`` only if the backend server said so
        or if no byte was sent.
    """
    if isinstance(response, ExchangeFailure):
        return _failed_exchange_reply(work, response)
    try:
        body = _REPLY_DECODER.decode(response.body)
    except msgspec.DecodeError as error:
        return _invalid_reply(work, f'status {response.status}, {error}')
    if response.status == _HTTP_OK:
        return _completed_reply(work, body)
    if body.attempt_id not in {'', work.attempt_id}:
        return _invalid_reply(work, f'wrong attempt {body.attempt_id!r}')
    code = _refusal_code(response.status, body)
    if code == ResultCode.SERVER_REPLY_INVALID and _is_failed_claim(work, body):
        code = ResultCode.CLAIM_FAILED
    return WorkReply(
        work.attempt_id,
        int(code),
        body.run,
        outcome=body.outcome,
        reason=body.reason or f'status {response.status}',
        retry_after_s=body.retry_after_s,
    )


def _post(path: str, body: Any) -> HttpRequest:
    return HttpRequest('POST', path, _ENCODER.encode(body), _JSON_HEADERS)


def _failed_exchange_reply(
    work: WorkRequest, failure: ExchangeFailure
) -> WorkReply:
    code = ResultCode.SERVER_UNREACHABLE
    run = RunState.NOT_RUN
    if failure.sent:
        code = _CODE_BY_FAILURE[failure.kind]
        run = RunState.UNKNOWN
    return WorkReply(work.attempt_id, int(code), run, reason=failure.reason)


def _invalid_reply(work: WorkRequest, problem: str) -> WorkReply:
    return WorkReply(
        work.attempt_id,
        int(ResultCode.SERVER_REPLY_INVALID),
        RunState.UNKNOWN,
        reason=f'reply of {work.server!r} to {work.attempt_id!r}: {problem}',
    )


def _completed_reply(work: WorkRequest, body: _ReplyBody) -> WorkReply:
    if body.attempt_id != work.attempt_id:
        return _invalid_reply(work, f'wrong attempt {body.attempt_id!r}')
    if work.kind == WorkKind.CLAIM:
        return _claim_reply(work, body)
    searched = (body.version, body.start, body.end)
    if searched != (work.version, work.start, work.end):
        return _invalid_reply(work, f'wrong version or range {searched!r}')
    if body.item_count != len(body.items):
        return _invalid_reply(
            work,
            f'{len(body.items)} items, but {body.item_count} in item_count',
        )
    return WorkReply(
        work.attempt_id,
        int(ResultCode.COMPLETE),
        RunState.RUN,
        version=body.version,
        start=body.start,
        end=body.end,
        items=body.items,
    )


def _is_failed_claim(work: WorkRequest, body: _ReplyBody) -> bool:
    """Return whether the server states that the claim ran and failed."""
    return (
        work.kind == WorkKind.CLAIM
        and body.run == RunState.RUN
        and body.attempt_id == work.attempt_id
    )


def _claim_reply(work: WorkRequest, body: _ReplyBody) -> WorkReply:
    """Return the reply to a claim that ended.

    Without an ``outcome`` the items become the outcome.
    """
    outcome = body.outcome
    if outcome is None and body.items:
        outcome = msgspec.to_builtins(body.items)
    return WorkReply(
        work.attempt_id,
        int(ResultCode.COMPLETE),
        body.run,
        outcome=outcome,
    )


def _refusal_code(status: int, body: _ReplyBody) -> ResultCode:
    """Return the result code for an HTTP status other than 200."""
    if status == _HTTP_SERVICE_UNAVAILABLE:
        return _CODE_BY_REASON.get(body.reason, ResultCode.SERVER_SHED)
    if status == _HTTP_CONFLICT:
        return ResultCode.VERSION_NOT_HELD
    return ResultCode.SERVER_REPLY_INVALID
