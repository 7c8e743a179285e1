"""Fake controllers behind the caller API."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, PHASE
from boragespool.controllers.callers.caller_controllers import CallerControllers
from boragespool.controllers.callers.callers import CallerApi
from boragespool.controllers.context import Context, Identity
from boragespool.controllers.requests import ClaimAnswer, QueryAnswer
from boragespool.results import Failure, ResultCode
from boragespool.revisions import RevisionDocument
from boragespool.settings import RouteSettings, Settings
from boragespool.timers import VirtualTimers
from boragespool.types import Phase, Rank, RunState, WorkKind

SETTINGS = Settings(
    routes={
        'lookup': RouteSettings(
            'lots',
            Rank.ROUTINE,
            WorkKind.QUERY,
            deadline_ms=800,
        ),
        'unlock': RouteSettings(
            'codes',
            Rank.URGENT,
            WorkKind.CLAIM,
            deadline_ms=500,
        ),
    },
)


@dataclass
class FakeControllers:
    """Stands in for all controllers behind the API and records its calls.

    Attributes
    ----------
    known_addresses : list of str
        Daemon addresses to return.
    requests : list
        Requests, and tickets of outcome queries, in order.
    claim_results : list
        Results of the next claims: a `ResultCode` for one that ran, a
        `Failure`, or a coroutine function of the request that returns either.
    runs_by_ticket : dict of str to int
        Number of runs of each claim, by ticket.
    prefix : str
        Prefix of the issued tickets.
    wrong_request_id : str
        Request id to put into answers instead of the right one, if not empty.
    refusal : Failure or None
        Reason to refuse every request at admission, if any.
    waits_s : list of float
        Reported waiting times.
    """

    known_addresses: list[str] = field(default_factory=list)
    requests: list = field(default_factory=list)
    claim_results: list = field(default_factory=list)
    runs_by_ticket: dict[str, int] = field(default_factory=dict)
    prefix: str = 't'
    delay_s: float = 0
    issued_count: int = 0
    wrong_request_id: str = ''
    refusal: Failure | None = None
    waits_s: list = field(default_factory=list)

    def addresses(self, data_centre, count):
        return tuple(self.known_addresses[:count])

    def record_wait(self, waited_s):
        self.waits_s.append(waited_s)

    def refuse(self, *arguments):
        """Refuse by rank (admission) or by ticket and failure (claims)."""
        return self.refusal if len(arguments) == 1 else arguments[1]

    def status(self):
        return {'lots-0': {'urgent': 3}}

    def issue(self, count):
        first, self.issued_count = self.issued_count, self.issued_count + count
        return tuple(
            f'{self.prefix}-{number}'
            for number in range(first, self.issued_count)
        )

    async def answer(self, request):
        self.requests.append(request)
        await asyncio.sleep(self.delay_s)
        return QueryAnswer(
            self.wrong_request_id or request.request_id,
            ResultCode.PARTIAL,
            snapshot=7,
            coverage=0.5,
            missing=((0, 2**31),),
            rank=request.rank or Rank.ROUTINE,
            items=(),
        )

    async def run(self, request):
        self.requests.append(request)
        result = (
            self.claim_results.pop(0)
            if self.claim_results
            else ResultCode.CLAIM_RUN
        )
        if callable(result):
            result = await result(request)
        if isinstance(result, Failure):
            return result
        run_count = self.runs_by_ticket.setdefault(request.ticket, 0)
        self.runs_by_ticket[request.ticket] = max(run_count, 1)
        return self._outcome(request.ticket, request.request_id)

    async def outcome(self, ticket, request_id):
        self.requests.append(ticket)
        if self.claim_results:
            return self.claim_results.pop(0)
        if ticket in self.runs_by_ticket:
            return self._outcome(ticket, request_id)
        return Failure(ResultCode.NOT_RUN_SEALED, 'sealed')

    def _outcome(self, ticket, request_id):
        return ClaimAnswer(
            request_id,
            ResultCode.CLAIM_RUN,
            RunState.RUN,
            Rank.URGENT,
            {'ticket': ticket},
        )


def make_api(
    controllers: FakeControllers, phase=Phase.READY, settings=SETTINGS
):
    """Return the API of a daemon and its blackboard."""
    board = Blackboard()
    board.post(PHASE, phase)
    if settings is not None:
        board.post(DOCUMENT_IN_FORCE, RevisionDocument(3, 'c3', settings))
    identity = Identity('h1', 5, 'north', 'r', '127.0.0.1:1', '127.0.0.1:2')
    context = Context(identity, board, VirtualTimers(), None, lambda: 0.5)
    return CallerApi(context, CallerControllers(*[controllers] * 5)), board
