"""HTTP API for callers, described in docs/api.md."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, Final, Self, TypeVar
from urllib.parse import unquote

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, LOAD, PHASE
from boragespool.controllers.callers.caller_admission import CallerAdmission
from boragespool.controllers.callers.caller_input import (
    CLAIM_PREFIX,
    check_method,
    check_parameter,
    check_ticket,
)
from boragespool.controllers.callers.caller_status import (
    check_ready,
    describe_health,
    describe_status,
)
from boragespool.controllers.requests import ClaimRequest, QueryRequest
from boragespool.http import HttpResponse, failure_response, json_response
from boragespool.metrics import REQUEST_LATENCY, REQUESTS
from boragespool.results import Failure, ResultCode, http_status
from boragespool.settings import Settings
from boragespool.types import Phase, RunState, WorkKind

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from boragespool.controllers.callers.caller_controllers import (
        CallerControllers,
    )
    from boragespool.controllers.context import Context
    from boragespool.controllers.requests import ClaimAnswer, QueryAnswer
    from boragespool.http import HttpRequest
    from boragespool.types import RequestId

    _AnswerT = TypeVar('_AnswerT', QueryAnswer, ClaimAnswer)

#: Maximum number of addresses, and of tickets, in one response.
_MAX_COUNT: Final = 64


class CallerApi:
    """Routes HTTP requests of callers to the controllers that answer them.

    It is an async context manager and posts the number of requests in flight
    as `LOAD`.

    Parameters
    ----------
    context : Context
        Identity, blackboard and timers of the daemon.
    controllers : CallerControllers
        Controllers that answer the requests.
    """

    def __init__(
        self, context: Context, controllers: CallerControllers
    ) -> None:
        """Start without requests in flight."""
        self._context = context
        self._controllers = controllers
        self._admission = CallerAdmission(context.board, controllers)
        self._in_flight = 0
        self._request_numbers = itertools.count(1)

    async def __aenter__(self) -> Self:
        """Return the API."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Post a load of 0."""
        self._context.board.post(LOAD, 0)

    @property
    def in_flight(self) -> int:
        """Number of queries, claims and outcome requests in flight."""
        return self._in_flight

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request.

        The response to invalid input has a result code in its body.
        """
        path = request.path
        if path.startswith(CLAIM_PREFIX):
            path = CLAIM_PREFIX
        refused = check_method(path, request)
        if refused is not None:
            return failure_response(refused)
        match path:
            case '/v1/query':
                return await self._serve_query(request)
            case '/v1/claim':
                return await self._serve_claim(request)
            case '/v1/claim/':
                return await self._serve_outcome(request)
            case '/v1/addresses':
                return self._serve_addresses(request)
        return self._serve_report(path)

    def _serve_report(self, path: str) -> HttpResponse:
        if path == '/metrics':
            return HttpResponse(200, generate_latest(), CONTENT_TYPE_LATEST)
        if path == '/v1/status':
            queues = self._controllers.dispatch.status()
            return json_response(
                describe_status(self._context, self._in_flight, queues),
            )
        failure = check_ready(self._context) if path == '/v1/ready' else None
        if failure is not None:
            return failure_response(failure)
        return json_response(describe_health(self._context))

    def _serve_addresses(self, request: HttpRequest) -> HttpResponse:
        document = self._context.board.read(DOCUMENT_IN_FORCE)
        settings = (document.settings if document else Settings()).addresses
        parameters = request.query
        address_count = check_parameter(
            'count',
            parameters.get('count'),
            settings.count,
            _MAX_COUNT,
        )
        ticket_count = check_parameter(
            'tickets',
            parameters.get('tickets'),
            0,
            _MAX_COUNT,
        )
        if isinstance(address_count, Failure):
            return failure_response(address_count)
        if isinstance(ticket_count, Failure):
            return failure_response(ticket_count)
        data_centre = parameters.get(
            'data_centre',
            self._context.identity.data_centre,
        )
        addresses = self._controllers.members.addresses(
            data_centre, max(1, address_count)
        )
        if not addresses:
            return failure_response(
                Failure(
                    ResultCode.NOT_READY,
                    'no known daemon accepts new callers',
                    retry_after_s=1,
                ),
            )
        return json_response(
            {
                'addresses': addresses,
                'keep_s': settings.keep_s,
                'tickets': self._issue_tickets(ticket_count),
            },
        )

    def _issue_tickets(self, count: int) -> tuple[str, ...]:
        """Issue tickets, unless this daemon is leaving.

        Callers would use the tickets after it has left.
        """
        if count and self._context.board.read(PHASE) is not Phase.LEAVING:
            return self._controllers.claims.issue(count)
        return ()

    async def _serve_query(self, request: HttpRequest) -> HttpResponse:
        checked = self._admission.check(request, WorkKind.QUERY)
        if isinstance(checked, HttpResponse):
            return checked
        given = checked.given
        query = QueryRequest(
            given.request_id or self._new_request_id(),
            given.route,
            given.caller,
            bytes(given.body),
            checked.deadline_s,
            checked.lowered,
        )
        return await self._answer(
            query.request_id,
            (WorkKind.QUERY, checked.rank),
            self._controllers.query.answer(query),
        )

    async def _serve_claim(self, request: HttpRequest) -> HttpResponse:
        checked = self._admission.check(request, WorkKind.CLAIM)
        if isinstance(checked, HttpResponse):
            return checked
        given = checked.given
        claim = ClaimRequest(
            given.request_id or self._new_request_id(),
            given.route,
            given.caller,
            given.ticket,
            bytes(given.body),
            checked.deadline_s,
            checked.lowered,
        )
        return await self._answer(
            claim.request_id,
            (WorkKind.CLAIM, checked.rank),
            self._controllers.claims.run(claim),
        )

    async def _serve_outcome(self, request: HttpRequest) -> HttpResponse:
        ticket = unquote(request.path.removeprefix(CLAIM_PREFIX))
        failure = check_ticket(ticket)
        if failure is not None:
            return failure_response(failure)
        request_id = self._new_request_id()
        return await self._answer(
            request_id,
            ('outcome', ''),
            self._controllers.claims.outcome(ticket, request_id),
        )

    def _new_request_id(self) -> RequestId:
        identity = self._context.identity
        number = next(self._request_numbers)
        return f'{identity.host}.{identity.incarnation}.{number}'

    async def _answer(
        self,
        request_id: RequestId,
        labels: tuple[str, str],
        pending_answer: Awaitable[_AnswerT | Failure],
    ) -> HttpResponse:
        """Await the answer of a controller and encode it as a response."""
        started_s = self._context.timers.now_s()
        self._count_in_flight(1)
        try:
            answer = await pending_answer
        finally:
            self._count_in_flight(-1)
        elapsed_s = self._context.timers.now_s() - started_s
        REQUEST_LATENCY.labels(*labels).observe(elapsed_s)
        if not isinstance(answer, Failure) and answer.request_id != request_id:
            answer = _mismatched_answer(request_id, answer.request_id)
        REQUESTS.labels(*labels, int(answer.code)).inc()
        if isinstance(answer, Failure):
            return _refusal_response(answer, request_id)
        body: dict[str, Any] = msgspec.to_builtins(answer)
        body['name'] = answer.code.name.lower()
        return json_response(body, http_status(answer.code))

    def _count_in_flight(self, change: int) -> None:
        self._in_flight += change
        self._context.board.post(LOAD, self._in_flight)


def _mismatched_answer(request_id: RequestId, other: RequestId) -> Failure:
    """Return the failure for an answer that belongs to another request."""
    return Failure(
        ResultCode.INTERNAL_ERROR,
        f'request {request_id!r} got the answer to request {other!r}',
        RunState.UNKNOWN,
    )


def _refusal_response(failure: Failure, request_id: RequestId) -> HttpResponse:
    refused = failure_response(failure)
    body: dict[str, Any] = msgspec.json.decode(refused.body)
    return json_response(body | {'request_id': request_id}, refused.status)
