"""Fakes behind the API towards callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, PHASE
from boragespool.controllers.callers.caller_ports import CallerPorts
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
    """All controllers behind the API; records what they were given.

    `script` holds what the next claims answer: a `ResultCode` that ran, a
    `Failure`, or a callable that is called with the request.
    """

    addresses_given: list[str] = field(default_factory=list)
    requests: list = field(default_factory=list)
    script: list = field(default_factory=list)
    runs_by_ticket: dict[str, int] = field(default_factory=dict)
    prefix: str = 't'
    delay_s: float = 0
    issued: int = 0
    wrong_id: str = ''
    refusal: Failure | None = None
    waits_s: list = field(default_factory=list)

    def addresses(self, data_centre, count):
        return tuple(self.addresses_given[:count])

    def note_wait(self, waited_s):
        self.waits_s.append(waited_s)

    def refuse(self, *given):
        """Refuse by rank as an admitter, or by ticket as a claim runner."""
        return self.refusal if len(given) == 1 else given[1]

    def status(self):
        return {'lots-0': {'urgent': 3}}

    def issue(self, count):
        first, self.issued = self.issued, self.issued + count
        return tuple(
            f'{self.prefix}-{number}' for number in range(first, self.issued)
        )

    async def answer(self, request):
        self.requests.append(request)
        await asyncio.sleep(self.delay_s)
        return QueryAnswer(
            self.wrong_id or request.request_id,
            ResultCode.PARTIAL,
            snapshot=7,
            coverage=0.5,
            missing=((0, 2**31),),
            rank=request.rank or Rank.ROUTINE,
            items=(),
        )

    async def run(self, request):
        self.requests.append(request)
        step = self.script.pop(0) if self.script else ResultCode.CLAIM_RUN
        if callable(step):
            step = await step(request)
        if isinstance(step, Failure):
            return step
        ran = self.runs_by_ticket.setdefault(request.ticket, 0)
        self.runs_by_ticket[request.ticket] = max(ran, 1)
        return self._outcome(request.ticket, request.request_id)

    async def outcome(self, ticket, request_id):
        self.requests.append(ticket)
        if self.script:
            return self.script.pop(0)
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


def make_api(tier: FakeControllers, phase=Phase.READY, settings=SETTINGS):
    """Return the API of a daemon and its blackboard."""
    board = Blackboard()
    board.post(PHASE, phase)
    if settings is not None:
        board.post(DOCUMENT_IN_FORCE, RevisionDocument(3, 'c3', settings))
    identity = Identity('h1', 5, 'north', 'r', '127.0.0.1:1', '127.0.0.1:2')
    context = Context(identity, board, VirtualTimers(), None, lambda: 0.5)
    return CallerApi(context, CallerPorts(*[tier] * 5)), board
