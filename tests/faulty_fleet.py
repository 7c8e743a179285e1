"""Daemons with injected faults, for the tests of the client library.

The daemons serve real HTTP. Issuer and witness are replaced by the sets of run
and sealed tickets, which all daemons share.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import replace

import msgspec

from boragespool.client import Client, ClientOptions
from boragespool.controllers.requests import ClaimAnswer
from boragespool.http import HttpLimits, HttpServer
from boragespool.results import Failure, ResultCode
from boragespool.settings import AddressSettings
from boragespool.types import Rank, RunState
from tests.caller_fakes import SETTINGS, FakeControllers, make_api

TICKET_SEALED = Failure(ResultCode.NOT_RUN_SEALED, 'the ticket is sealed')
QUEUE_FULL = Failure(ResultCode.QUEUE_FULL, 'the queue is full')
OUTCOME_UNKNOWN = Failure(
    ResultCode.OUTCOME_UNKNOWN, 'no outcome', RunState.UNKNOWN
)
REFUSALS_BY_FAULT = {'refuse': QUEUE_FULL, 'unknown_unrun': OUTCOME_UNKNOWN}
LATE_DELAY_S = 0.25


class Daemon(FakeControllers):
    """HTTP server of one daemon, whose claims fail as the fleet says.

    A fault is one of the following; without one, the claim runs.

    * ``die_before``, ``die_after``: the daemon crashes before or after the run.
    * ``refuse``: the claim is refused because the queue is full.
    * ``late``: the claim runs after a delay of `LATE_DELAY_S`.
    * ``lose_answer``: the claim runs, and the connection is closed unanswered.
    * ``unknown``: the claim runs, and its outcome is reported as unknown.
    * ``unknown_unrun``: as ``unknown``, although the claim does not run.
    """

    def __init__(self, fleet: FaultyFleet, number: int) -> None:
        super().__init__(prefix=f'd{number}')
        self.fleet = fleet
        settings = replace(SETTINGS, addresses=AddressSettings(fleet.keep_s))
        self.api, self.board = make_api(self, settings=settings)
        self.server = HttpServer('127.0.0.1:0', HttpLimits(), self.handle)
        self.drop_next_response = False
        self.requested_paths: list[str] = []

    def addresses(self, data_centre, count):
        return tuple(
            daemon.server.address for daemon in self.fleet.live_daemons()
        )

    async def handle(self, request):
        self.requested_paths.append(request.path)
        response = await self.api.handle(request)
        if self.drop_next_response:
            self.drop_next_response = False
            raise asyncio.CancelledError
        return response

    async def run(self, request):
        fleet = self.fleet
        name = msgspec.json.decode(request.body)['name']
        fleet.sent_tickets.add((name, request.ticket))
        fault = fleet.faults.pop(0) if fleet.faults else ''
        if fault == 'die_before':
            await self.crash()
        if fault in REFUSALS_BY_FAULT:
            return REFUSALS_BY_FAULT[fault]
        if fault == 'late':
            await asyncio.sleep(LATE_DELAY_S)
        if not self.record_run(name, request.ticket):
            return TICKET_SEALED
        if fault == 'die_after':
            await self.crash()
        self.drop_next_response = fault == 'lose_answer'
        if fault == 'unknown':
            return OUTCOME_UNKNOWN
        return make_claim_answer(request.ticket, request.request_id)

    def record_run(self, name, ticket):
        """Run a claim at most once; return False if its ticket is sealed."""
        fleet = self.fleet
        if ticket in fleet.run_tickets:
            return True
        if fleet.issuer(ticket) not in fleet.live_daemons():
            fleet.sealed_tickets.add(ticket)
        if ticket in fleet.sealed_tickets:
            return False
        fleet.run_tickets.add(ticket)
        fleet.runs_by_name[name] += 1
        return True

    async def outcome(self, ticket, request_id):
        if ticket in self.fleet.run_tickets:
            return make_claim_answer(ticket, request_id)
        self.fleet.sealed_tickets.add(ticket)
        return TICKET_SEALED

    async def crash(self):
        """Close the server without an answer, unless it is the last daemon."""
        if len(self.fleet.live_daemons()) > 1:
            self.fleet.dead_daemons.add(self)
            closing = asyncio.create_task(self.server.__aexit__())
            self.fleet.closing_tasks.append(closing)
            await asyncio.sleep(60)

    def __hash__(self):
        return id(self)

    def __eq__(self, other):
        return self is other


def make_claim_answer(ticket, request_id):
    """Return the answer to a claim that ran."""
    return ClaimAnswer(
        request_id,
        ResultCode.CLAIM_RUN,
        RunState.RUN,
        Rank.URGENT,
        {'ticket': ticket},
    )


class FaultyFleet:
    """Daemons and a record of the claims that ran, an async context manager.

    Parameters
    ----------
    count : int
        Number of daemons.
    faults : tuple of str
        Faults of the first claims that arrive at any daemon, in order.
    keep_s : float
        How long clients may cache addresses, in seconds.

    Attributes
    ----------
    sent_tickets : set of (str, str)
        Name and ticket of each claim that arrived.
    runs_by_name : Counter
        Number of runs by the name in the body of the claim.
    """

    def __init__(
        self,
        count: int,
        faults: tuple[str, ...] = (),
        keep_s: float = 5,
    ) -> None:
        self.keep_s = keep_s
        self.faults = list(faults)
        self.run_tickets: set[str] = set()
        self.sealed_tickets: set[str] = set()
        self.sent_tickets: set[tuple[str, str]] = set()
        self.runs_by_name: Counter[str] = Counter()
        self.dead_daemons: set[Daemon] = set()
        self.closing_tasks: list[asyncio.Task] = []
        self.daemons = [Daemon(self, number) for number in range(count)]

    async def __aenter__(self):
        for daemon in self.daemons:
            await daemon.server.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        for daemon in self.daemons:
            await daemon.server.__aexit__()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self.closing_tasks)

    def live_daemons(self):
        return [
            daemon for daemon in self.daemons if daemon not in self.dead_daemons
        ]

    def issuer(self, ticket):
        """Return the daemon that issued a ticket such as ``d0-7``."""
        return self.daemons[int(ticket.partition('-')[0][1:])]

    def client(self, draw=lambda: 0.0, **options) -> Client:
        """Return a client with the addresses of all daemons."""
        addresses = tuple(daemon.server.address for daemon in self.daemons)
        return Client(ClientOptions('till', addresses, **options), draw)
