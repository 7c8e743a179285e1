"""Seeded interleavings of claims over daemons that fail.

Real claim controllers run over a fake network that loses, delays and reorders
messages, pauses daemons and replaces them by new incarnations.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, MEMBERS, SERVERS
from boragespool.claims import parse_ticket
from boragespool.controllers.claims.claims import ClaimController
from boragespool.controllers.context import Context, Identity
from boragespool.controllers.requests import ClaimRequest
from boragespool.messages import (
    MemberRecord,
    ServerRecord,
    WorkReply,
    WorkRequest,
)
from boragespool.results import Failure, ResultCode
from boragespool.revisions import RevisionDocument
from boragespool.settings import (
    ClaimSettings,
    RouteSettings,
    ServerSettings,
    ServiceSettings,
    Settings,
)
from boragespool.timers import VirtualTimers
from boragespool.types import (
    MemberStatus,
    Rank,
    RunState,
    ServerState,
    WorkKind,
)

HOSTS = ('a', 'b', 'c', 'd')
SERVER_NAMES = ('s1', 's2', 's3')
SETTINGS = Settings(
    services={
        'ledger': ServiceSettings(
            slots=4,
            connections=10,
            servers={
                name: ServerSettings('127.0.0.1:1', f'dc-{name}')
                for name in SERVER_NAMES
            },
        ),
    },
    routes={
        'claim': RouteSettings('ledger', Rank.URGENT, WorkKind.CLAIM, 1000),
    },
    claims=ClaimSettings(witness_timeout_s=1),
)


class FakePeers:
    """One daemon's view of the fake network."""

    def __init__(self, world: ClaimSimulation, host: str) -> None:
        self.world = world
        self.host = host
        self.handlers = {}
        self.alive = True
        self.running = asyncio.Event()
        self.running.set()

    def on_request(self, kind, handler) -> None:
        self.handlers[kind] = handler

    def on_message(self, kind, handler) -> None:
        """No message without a reply matters for claims."""

    async def request(self, host, message, timeout_s):
        """Deliver a request with the faults of the world."""
        world = self.world
        reply = asyncio.ensure_future(
            world.deliver(self.host, host, message),
        )
        world.tasks.add(reply)
        if world.chance(world.fault_rate):
            await world.delay()
            result = no_answer()
        else:
            result = await asyncio.shield(reply)
        await self.running.wait()
        if not self.alive:
            await asyncio.Event().wait()
        return result


class ClaimSimulation:
    """Daemons, backend servers and the faults between them."""

    def __init__(
        self, seed: int, fault_rate: float, refusal_rate: float = 0
    ) -> None:
        self.random = random.Random(seed)
        self.refusal_rate = refusal_rate
        self.fault_rate = fault_rate
        self.runs: Counter[str] = Counter()
        self.answers: dict[str, list] = {}
        self.tasks: set[asyncio.Future] = set()
        self.timers = VirtualTimers()
        self.peers: dict[str, FakePeers] = {}
        self.boards: dict[str, Blackboard] = {}
        self.controllers: dict[str, ClaimController] = {}
        self.incarnations = dict.fromkeys(HOSTS, 0)
        self.successors: dict[str, str] = {}

    def chance(self, probability: float) -> bool:
        return self.random.random() < probability

    async def delay(self) -> None:
        for _ in range(self.random.randrange(6)):
            await asyncio.sleep(0)

    async def deliver(self, sender, host, message):
        """Carry a request to its handler and the reply back."""
        await self.delay()
        if self.chance(self.fault_rate / 2):
            return no_answer()
        peers = self.peers.get(host)
        if peers is None:
            return no_answer()
        await peers.running.wait()
        if not peers.alive or self.peers[host] is not peers:
            return no_answer()
        handler = peers.handlers.get(type(message))
        if handler is None:
            return Failure(ResultCode.PEER_REFUSED, 'not served')
        result = await handler(sender, message)
        await self.delay()
        if not peers.alive or self.chance(self.fault_rate / 2):
            return no_answer()
        return result

    async def start(self, host: str) -> None:
        """Start a new incarnation on a host."""
        self.incarnations[host] += 1
        self.peers[host] = FakePeers(self, host)
        self.boards[host] = Blackboard()
        self.boards[host].post(
            DOCUMENT_IN_FORCE,
            RevisionDocument(1, 'x', SETTINGS),
        )
        self.boards[host].post(SERVERS, self.server_records())
        context = Context(
            self.identity(host),
            self.boards[host],
            self.timers,
            self.peers[host],
            self.random.random,
        )
        self.controllers[host] = ClaimController(context)
        self.peers[host].on_request(WorkRequest, self.run_at_server)
        await self.controllers[host].__aenter__()
        self.tell_members()

    def identity(self, host: str) -> Identity:
        site = 'north' if host in 'ab' else 'south'
        return Identity(host, self.incarnations[host], site, site, '', '')

    def tell_members(self) -> None:
        """Post the member records; some daemons learn them late."""
        members = {
            host: MemberRecord(
                host,
                self.incarnations[host],
                0,
                MemberStatus.LEAVING
                if host in self.successors
                else MemberStatus.ALIVE,
                self.identity(host).data_centre,
                'r',
                '',
                '',
                successor=self.successors.get(host, ''),
            )
            for host in self.peers
        }
        for host in self.boards:
            if not self.chance(self.fault_rate):
                self.boards[host].post(MEMBERS, members)

    def server_records(self):
        return {
            name: ServerRecord(
                name,
                'ledger',
                '',
                '',
                1,
                1,
                1,
                ServerState.SERVING,
                4,
            )
            for name in SERVER_NAMES
        }

    async def run_at_server(self, sender, work: WorkRequest) -> WorkReply:
        """Run a claim, refuse it, or lose the reply."""
        await self.delay()
        if self.chance(0.2):
            return WorkReply(
                work.attempt_id,
                int(ResultCode.SERVER_SHED),
                RunState.NOT_RUN,
            )
        self.runs[work.request_id] += 1
        await self.delay()
        if self.chance(self.fault_rate / 2):
            return WorkReply(
                work.attempt_id,
                int(ResultCode.SERVER_CLOSED),
                RunState.UNKNOWN,
            )
        return WorkReply(
            work.attempt_id,
            int(ResultCode.COMPLETE),
            RunState.RUN,
            outcome=work.request_id,
        )

    async def call(self, ticket: str, body: bytes, host: str) -> None:
        """Send a claim or ask for its outcome; note the answer."""
        await self.delay()
        peers, controller = self.peers[host], self.controllers[host]
        if not peers.alive:
            return
        await peers.running.wait()
        answer = None
        if self.refusal_rate and self.chance(self.refusal_rate):
            answer = controller.refuse(ticket, OVERLOADED)
        if answer is not None:
            pass
        elif self.chance(0.2):
            answer = await controller.outcome(ticket, 'r')
        else:
            answer = await controller.run(
                ClaimRequest('r', 'claim', 'caller', ticket, body, 1000),
            )
        if peers.alive:
            self.answers.setdefault(ticket, []).append(answer)

    async def disturb(self) -> None:
        """Pause, kill and replace daemons, or stop one gracefully."""
        for _ in range(self.random.randrange(4)):
            await self.delay()
            host = self.random.choice(HOSTS)
            peers = self.peers[host]
            action = self.random.randrange(3)
            if action == 0:
                peers.running.clear()
                for _ in range(4):
                    await self.delay()
                peers.running.set()
            elif action == 1:
                peers.alive = False
                peers.running.set()
                await self.delay()
                self.successors.pop(host, None)
                await self.start(host)
            elif host not in self.successors and peers.alive:
                successor = await self.controllers[host].hand_over()
                if successor:
                    self.successors[host] = successor
                    self.tell_members()

    def plan_calls(self, claim_count: int) -> list:
        """Choose who sends which claim where, and how often."""
        work = []
        for number in range(claim_count):
            issuer = self.controllers[self.random.choice(HOSTS)]
            ticket = issuer.issue(1)[0]
            body = b'%d' % number
            work += [
                self.call(ticket, body, self.random.choice(HOSTS))
                for _ in range(self.random.randrange(1, 5))
            ]
        return work

    async def run(self, claim_count: int = 2) -> None:
        """Run callers and faults to the end."""
        for host in HOSTS:
            await self.start(host)
        work = self.plan_calls(claim_count)
        if self.fault_rate:
            work.append(self.disturb())
        calls = [asyncio.ensure_future(item) for item in work]
        for _ in range(120):
            await asyncio.sleep(0)
        for peers in self.peers.values():
            peers.running.set()
        for _ in range(80):
            await asyncio.sleep(0)
        for task in (*calls, *self.tasks):
            task.cancel()
        await asyncio.gather(*calls, *self.tasks, return_exceptions=True)
        for controller in self.controllers.values():
            await controller.__aexit__()

    def violations(self) -> list[str]:
        """Compare every answer with what really ran."""
        found = [
            f'{ticket} ran {count} times'
            for ticket, count in self.runs.items()
            if count > 1
        ]
        for text, answers in self.answers.items():
            count = self.runs[parse_ticket(text).ticket_id]
            for answer in answers:
                if answer.run is RunState.NOT_RUN and count:
                    found.append(f'{text}: {answer} but it ran')
                if answer.run is RunState.RUN and not count:
                    found.append(f'{text}: {answer} but it did not run')
        return found


OVERLOADED = Failure(ResultCode.OVERLOADED, 'overloaded')


def no_answer() -> Failure:
    return Failure(
        ResultCode.PEER_UNREACHABLE,
        'no answer',
        RunState.UNKNOWN,
    )


def run_simulations(
    seeds, fault_rate: float, refusal_rate: float = 0
) -> tuple[Counter, list[str]]:
    """Run many worlds; return run states of answers and violations."""
    states: Counter = Counter()
    violations = []
    for seed in seeds:
        world = ClaimSimulation(seed, fault_rate, refusal_rate)
        asyncio.run(world.run())
        violations += [f'seed {seed}: {text}' for text in world.violations()]
        for answers in world.answers.values():
            states.update(answer.run.value for answer in answers)
    return states, violations
