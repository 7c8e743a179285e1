"""Simulation of claims on several daemons with random, seeded faults.

Real claim controllers run on a fake peer network, which loses, delays and
reorders messages. Daemons are paused, restarted with a new incarnation, or
stopped gracefully.
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
    """Peer network of one daemon.

    Attributes
    ----------
    alive : bool
        False once the daemon was killed.
    resumed : asyncio.Event
        Set unless the daemon is paused.
    """

    def __init__(self, simulation: ClaimSimulation, host: str) -> None:
        self.simulation = simulation
        self.host = host
        self.handlers = {}
        self.alive = True
        self.resumed = asyncio.Event()
        self.resumed.set()

    def on_request(self, kind, handler) -> None:
        self.handlers[kind] = handler

    def on_message(self, kind, handler) -> None:
        """Ignore the handler; claims only use messages with a reply."""

    async def request(self, host, message, timeout_s):
        """Send a request, which may be delivered although its reply is lost."""
        simulation = self.simulation
        reply = asyncio.ensure_future(
            simulation.deliver(self.host, host, message),
        )
        simulation.tasks.add(reply)
        if simulation.happens(simulation.fault_rate):
            await simulation.delay()
            result = peer_unreachable()
        else:
            result = await asyncio.shield(reply)
        await self.resumed.wait()
        if not self.alive:
            await asyncio.Event().wait()
        return result


class ClaimSimulation:
    """Daemons and backend servers in one event loop, with random faults.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    fault_rate : float
        Base of the probabilities with which messages are lost, outcomes stay
        unknown and updates of the members are missed.
    refusal_rate : float
        Probability that a daemon refuses a claim because of overload.

    Attributes
    ----------
    successors_by_host : dict
        Host that took over the records of a daemon that stopped gracefully.
    run_counts_by_ticket : Counter
        How often backend servers ran the claim of each ticket.
    answers_by_ticket : dict
        Answers that callers received.
    """

    def __init__(
        self, seed: int, fault_rate: float, refusal_rate: float = 0
    ) -> None:
        self.rng = random.Random(seed)
        self.refusal_rate = refusal_rate
        self.fault_rate = fault_rate
        self.run_counts_by_ticket: Counter[str] = Counter()
        self.answers_by_ticket: dict[str, list] = {}
        self.tasks: set[asyncio.Future] = set()
        self.timers = VirtualTimers()
        self.peers_by_host: dict[str, FakePeers] = {}
        self.boards_by_host: dict[str, Blackboard] = {}
        self.controllers_by_host: dict[str, ClaimController] = {}
        self.incarnations_by_host = dict.fromkeys(HOSTS, 0)
        self.successors_by_host: dict[str, str] = {}

    def happens(self, probability: float) -> bool:
        """Return True with the given probability."""
        return self.rng.random() < probability

    async def delay(self) -> None:
        """Let other tasks run for up to 5 steps of the event loop."""
        for _ in range(self.rng.randrange(6)):
            await asyncio.sleep(0)

    async def deliver(self, sender, host, message):
        """Call the handler of a request at its host and return the reply."""
        await self.delay()
        if self.happens(self.fault_rate / 2):
            return peer_unreachable()
        peers = self.peers_by_host.get(host)
        if peers is None:
            return peer_unreachable()
        await peers.resumed.wait()
        if not peers.alive or self.peers_by_host[host] is not peers:
            return peer_unreachable()
        handler = peers.handlers.get(type(message))
        if handler is None:
            return Failure(ResultCode.PEER_REFUSED, 'not served')
        result = await handler(sender, message)
        await self.delay()
        if not peers.alive or self.happens(self.fault_rate / 2):
            return peer_unreachable()
        return result

    async def start(self, host: str) -> None:
        """Start a new incarnation of the daemon on a host."""
        self.incarnations_by_host[host] += 1
        self.peers_by_host[host] = FakePeers(self, host)
        self.boards_by_host[host] = Blackboard()
        self.boards_by_host[host].post(
            DOCUMENT_IN_FORCE,
            RevisionDocument(1, 'x', SETTINGS),
        )
        self.boards_by_host[host].post(SERVERS, self.server_records())
        context = Context(
            self.identity(host),
            self.boards_by_host[host],
            self.timers,
            self.peers_by_host[host],
            self.rng.random,
        )
        self.controllers_by_host[host] = ClaimController(context)
        self.peers_by_host[host].on_request(WorkRequest, self.run_at_server)
        await self.controllers_by_host[host].__aenter__()
        self.post_members()

    def identity(self, host: str) -> Identity:
        data_centre = 'north' if host in 'ab' else 'south'
        return Identity(
            host,
            self.incarnations_by_host[host],
            data_centre,
            data_centre,
            '',
            '',
        )

    def post_members(self) -> None:
        """Post the member records; some daemons miss the update."""
        members = {
            host: MemberRecord(
                host,
                self.incarnations_by_host[host],
                0,
                MemberStatus.LEAVING
                if host in self.successors_by_host
                else MemberStatus.ALIVE,
                self.identity(host).data_centre,
                'r',
                '',
                '',
                successor=self.successors_by_host.get(host, ''),
            )
            for host in self.peers_by_host
        }
        for host in self.boards_by_host:
            if not self.happens(self.fault_rate):
                self.boards_by_host[host].post(MEMBERS, members)

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
        """Run a claim at a server, which may refuse it or lose the reply."""
        await self.delay()
        if self.happens(0.2):
            return WorkReply(
                work.attempt_id,
                int(ResultCode.SERVER_SHED),
                RunState.NOT_RUN,
            )
        self.run_counts_by_ticket[work.request_id] += 1
        await self.delay()
        if self.happens(self.fault_rate / 2):
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

    async def send_claim(self, ticket: str, body: bytes, host: str) -> None:
        """Send a claim, ask for its outcome or refuse it; record the answer."""
        await self.delay()
        peers, controller = (
            self.peers_by_host[host],
            self.controllers_by_host[host],
        )
        if not peers.alive:
            return
        await peers.resumed.wait()
        answer = None
        if self.refusal_rate and self.happens(self.refusal_rate):
            answer = controller.refuse(ticket, OVERLOADED)
        if answer is not None:
            pass
        elif self.happens(0.2):
            answer = await controller.outcome(ticket, 'r')
        else:
            answer = await controller.run(
                ClaimRequest('r', 'claim', 'caller', ticket, body, 1000),
            )
        if peers.alive:
            self.answers_by_ticket.setdefault(ticket, []).append(answer)

    async def inject_faults(self) -> None:
        """Pause, restart or gracefully stop up to three random daemons."""
        for _ in range(self.rng.randrange(4)):
            await self.delay()
            host = self.rng.choice(HOSTS)
            peers = self.peers_by_host[host]
            action = self.rng.randrange(3)
            if action == 0:
                peers.resumed.clear()
                for _ in range(4):
                    await self.delay()
                peers.resumed.set()
            elif action == 1:
                peers.alive = False
                peers.resumed.set()
                await self.delay()
                self.successors_by_host.pop(host, None)
                await self.start(host)
            elif host not in self.successors_by_host and peers.alive:
                successor = await self.controllers_by_host[host].hand_over()
                if successor:
                    self.successors_by_host[host] = successor
                    self.post_members()

    def plan_calls(self, claim_count: int) -> list:
        """Return the calls of each claim: 1 to 4, each to a random daemon."""
        work = []
        for number in range(claim_count):
            issuer = self.controllers_by_host[self.rng.choice(HOSTS)]
            ticket = issuer.issue(1)[0]
            body = b'%d' % number
            work += [
                self.send_claim(ticket, body, self.rng.choice(HOSTS))
                for _ in range(self.rng.randrange(1, 5))
            ]
        return work

    async def run(self, claim_count: int = 2) -> None:
        """Run all calls and faults; cancel those that do not end."""
        for host in HOSTS:
            await self.start(host)
        work = self.plan_calls(claim_count)
        if self.fault_rate:
            work.append(self.inject_faults())
        calls = [asyncio.ensure_future(item) for item in work]
        for _ in range(120):
            await asyncio.sleep(0)
        for peers in self.peers_by_host.values():
            peers.resumed.set()
        for _ in range(80):
            await asyncio.sleep(0)
        for task in (*calls, *self.tasks):
            task.cancel()
        await asyncio.gather(*calls, *self.tasks, return_exceptions=True)
        for controller in self.controllers_by_host.values():
            await controller.__aexit__()

    def violations(self) -> list[str]:
        """Return the claims that ran twice, and the answers that are false."""
        found = [
            f'{ticket} ran {count} times'
            for ticket, count in self.run_counts_by_ticket.items()
            if count > 1
        ]
        for ticket, answers in self.answers_by_ticket.items():
            count = self.run_counts_by_ticket[parse_ticket(ticket).ticket_id]
            for answer in answers:
                if answer.run is RunState.NOT_RUN and count:
                    found.append(f'{ticket}: {answer} but it ran')
                if answer.run is RunState.RUN and not count:
                    found.append(f'{ticket}: {answer} but it did not run')
        return found


OVERLOADED = Failure(ResultCode.OVERLOADED, 'overloaded')


def peer_unreachable() -> Failure:
    return Failure(
        ResultCode.PEER_UNREACHABLE,
        'no answer',
        RunState.UNKNOWN,
    )


def run_simulations(
    seeds, fault_rate: float, refusal_rate: float = 0
) -> tuple[Counter, list[str]]:
    """Run one simulation per seed.

    Returns
    -------
    tuple of Counter and list of str
        Number of answers by run state, and the violations of all simulations.
    """
    states: Counter = Counter()
    violations = []
    for seed in seeds:
        simulation = ClaimSimulation(seed, fault_rate, refusal_rate)
        asyncio.run(simulation.run())
        violations += [
            f'seed {seed}: {violation}' for violation in simulation.violations()
        ]
        for answers in simulation.answers_by_ticket.values():
            states.update(answer.run.value for answer in answers)
    return states, violations
