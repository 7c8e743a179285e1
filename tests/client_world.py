"""Daemons that share claim records and fail on demand."""

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

SEALED = Failure(ResultCode.NOT_RUN_SEALED, 'the ticket is sealed')
FULL = Failure(ResultCode.QUEUE_FULL, 'the queue is full')
UNKNOWN = Failure(ResultCode.OUTCOME_UNKNOWN, 'no outcome', RunState.UNKNOWN)
REFUSALS = {'refuse': FULL, 'unknown_unrun': UNKNOWN}
LATE_S = 0.25


class Daemon(FakeControllers):
    """One daemon; the world holds what issuer and witness would record."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__(prefix=f'd{number}')
        self.world = world
        settings = replace(SETTINGS, addresses=AddressSettings(world.keep_s))
        self.api, self.board = make_api(self, settings=settings)
        self.server = HttpServer('127.0.0.1:0', HttpLimits(), self.handle)
        self.drop_next = False
        self.seen: list[str] = []

    def addresses(self, data_centre, count):
        return tuple(daemon.server.address for daemon in self.world.alive())

    async def handle(self, request):
        self.seen.append(request.path)
        response = await self.api.handle(request)
        if self.drop_next:
            self.drop_next = False
            raise asyncio.CancelledError
        return response

    async def run(self, request):
        world = self.world
        name = msgspec.json.decode(request.body)['name']
        world.sent_tickets.add((name, request.ticket))
        fault = world.faults.pop(0) if world.faults else ''
        if fault == 'die_before':
            await self.die()
        if fault in REFUSALS:
            return REFUSALS[fault]
        if fault == 'late':
            await asyncio.sleep(LATE_S)
        if not self.record_run(name, request.ticket):
            return SEALED
        if fault == 'die_after':
            await self.die()
        self.drop_next = fault == 'lose_answer'
        if fault == 'unknown':
            return UNKNOWN
        return answered(request.ticket, request.request_id)

    def record_run(self, name, ticket):
        """Run the claim unless it ran; False if the ticket is sealed."""
        world = self.world
        if ticket in world.ran:
            return True
        if world.issuer(ticket) not in world.alive():
            world.sealed.add(ticket)
        if ticket in world.sealed:
            return False
        world.ran.add(ticket)
        world.runs_by_name[name] += 1
        return True

    async def outcome(self, ticket, request_id):
        if ticket in self.world.ran:
            return answered(ticket, request_id)
        self.world.sealed.add(ticket)
        return SEALED

    async def die(self):
        """Close everything abruptly, unless this is the last daemon."""
        if len(self.world.alive()) > 1:
            self.world.dead.add(self)
            closing = asyncio.create_task(self.server.__aexit__())
            self.world.closing.append(closing)
            await asyncio.sleep(60)

    def __hash__(self):
        return id(self)

    def __eq__(self, other):
        return self is other


def answered(ticket, request_id):
    """Return the outcome of a claim that ran."""
    return ClaimAnswer(
        request_id,
        ResultCode.CLAIM_RUN,
        RunState.RUN,
        Rank.URGENT,
        {'ticket': ticket},
    )


class World:
    """Some daemons, an async context manager, and the truth about claims."""

    def __init__(
        self,
        count: int,
        faults: tuple[str, ...] = (),
        keep_s: float = 5,
    ) -> None:
        self.keep_s = keep_s
        self.faults = list(faults)
        self.ran: set[str] = set()
        self.sealed: set[str] = set()
        self.sent_tickets: set[tuple[str, str]] = set()
        self.runs_by_name: Counter[str] = Counter()
        self.dead: set[Daemon] = set()
        self.closing: list[asyncio.Task] = []
        self.daemons = [Daemon(self, number) for number in range(count)]

    async def __aenter__(self):
        for daemon in self.daemons:
            await daemon.server.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        for daemon in self.daemons:
            await daemon.server.__aexit__()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self.closing)

    def alive(self):
        return [daemon for daemon in self.daemons if daemon not in self.dead]

    def issuer(self, ticket):
        return self.daemons[int(ticket.partition('-')[0][1:])]

    def client(self, draw=lambda: 0.0, **options) -> Client:
        """Return a client that knows all daemons."""
        addresses = tuple(daemon.server.address for daemon in self.daemons)
        return Client(ClientOptions('till', addresses, **options), draw)
