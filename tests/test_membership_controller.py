"""The membership controller over real peer links."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import replace

from boragespool.bench.ports import free_address
from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, MEMBERS
from boragespool.controllers.context import Context, Identity
from boragespool.controllers.membership.membership import MembershipController
from boragespool.membership import MembershipOptions
from boragespool.peers import PeerNetwork, PeerOptions
from boragespool.revisions import RevisionDocument
from boragespool.settings import Settings
from boragespool.timers import LoopTimers
from boragespool.types import MemberStatus

OPTIONS = MembershipOptions(
    ping_interval_s=0.1,
    ping_timeout_s=0.1,
    suspicion_s=0.3,
    seed_interval_s=0.3,
)


class Fleet:
    """Membership controllers of several daemons in one event loop."""

    def __init__(self, *hosts: str) -> None:
        self.addresses = {host: free_address() for host in hosts}
        self.seeds = {'a': self.addresses['a']}
        self.controllers = {}
        self.contexts = {}
        self.stacks = {}

    async def __aenter__(self):
        for host in self.addresses:
            await self.start(host, 1)
        return self

    async def __aexit__(self, *exc_info):
        for stack in self.stacks.values():
            await stack.aclose()

    async def start(self, host: str, incarnation: int) -> None:
        stack = self.stacks[host] = AsyncExitStack()
        address = self.addresses[host]
        timers = LoopTimers()
        network = await stack.enter_async_context(
            PeerNetwork(PeerOptions(host, incarnation, address), timers),
        )
        context = self.contexts[host] = Context(
            Identity(host, incarnation, 'north', 'east', address, address),
            Blackboard(),
            timers,
            network,
            random.Random(host).random,
        )
        self.controllers[host] = await stack.enter_async_context(
            MembershipController(context, lambda: self.seeds, OPTIONS),
        )

    def member(self, observer: str, host: str):
        return self.contexts[observer].board.read(MEMBERS).get(host)

    async def wait_until(self, condition, limit_s: float = 5) -> None:
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_all_alive(self) -> None:
        await self.wait_until(
            lambda: all(
                (known := self.member(observer, host)) is not None
                and known.status == MemberStatus.ALIVE
                for observer in self.stacks
                for host in self.stacks
            ),
        )


def test_members_find_each_other_and_a_death():
    """Guards against a crashed daemon that its peers keep as alive.

    It must be found dead by all, and be known again after its restart with a
    higher incarnation.
    """

    async def run() -> None:
        async with Fleet('a', 'b', 'c', 'd') as fleet:
            await fleet.wait_all_alive()
            await fleet.stacks.pop('d').aclose()
            await fleet.wait_until(
                lambda: all(
                    fleet.member(host, 'd').status == MemberStatus.DEAD
                    for host in fleet.stacks
                ),
            )
            await fleet.start('d', 2)
            await fleet.wait_all_alive()
            assert fleet.member('b', 'd').incarnation == 2

    asyncio.run(run())


def test_false_death_is_refuted():
    """Guards against a live daemon that stays dead at its peers.

    Peers that wrongly hold it as dead must receive its refutation, a record
    with a higher beat.
    """

    async def run() -> None:
        async with Fleet('a', 'b', 'c') as fleet:
            await fleet.wait_all_alive()
            dead = replace(fleet.member('a', 'b'), status=MemberStatus.DEAD)
            for host in ('a', 'c'):
                fleet.controllers[host]._state.receive((dead,), 'x')
            assert fleet.member('a', 'b').status == MemberStatus.DEAD
            await fleet.wait_all_alive()
            assert fleet.member('a', 'b').beat == 1

    asyncio.run(run())


def test_sides_of_a_partition_join_without_seeds():
    """Guards against sides of a partition that never join again.

    All seed addresses can be gone by the end of a partition, so daemons must
    also ping the members that they hold as dead.
    """

    async def run() -> None:
        async with Fleet('a', 'b') as fleet:
            await fleet.wait_all_alive()
            fleet.seeds.clear()
            for observer, host in (('a', 'b'), ('b', 'a')):
                known = fleet.member(observer, host)
                dead = replace(known, status=MemberStatus.DEAD)
                fleet.controllers[observer]._state.receive((dead,), 'x')
                assert fleet.member(observer, host) == dead
            await fleet.wait_all_alive()

    asyncio.run(run())


def test_suspected_daemon_doubles_its_suspicion_timeout():
    """Guards against a slow daemon that declares its healthy peers dead.

    Peers that suspect a daemon show that it is slow itself, so it doubles its
    suspicion timeout.
    """

    async def run() -> None:
        async with Fleet('a', 'b') as fleet:
            await fleet.wait_all_alive()
            state = fleet.controllers['a']._state
            state.health = 0
            suspected = replace(state.own, status=MemberStatus.SUSPECT)
            state.receive((suspected,), 'b')
            assert state.scaled_options.suspicion_s == 2 * OPTIONS.suspicion_s

    asyncio.run(run())


def test_leaving_daemon_is_in_no_address_answer():
    """Guards against address answers with a leaving daemon.

    Peers must learn of the leaving status and the successor before the next
    ping, and of the end of the daemon without a failure detection.
    """

    async def run() -> None:
        async with Fleet('a', 'b', 'c') as fleet:
            await fleet.wait_all_alive()
            fleet.controllers['c'].leave()
            fleet.controllers['c'].set_successor('b')
            await fleet.wait_until(
                lambda: all(
                    fleet.member(host, 'c').successor == 'b' for host in 'ab'
                ),
                limit_s=0.09,
            )
            for controller in fleet.controllers.values():
                answer = controller.addresses('north', 3)
                assert fleet.addresses['c'] not in answer
                assert len(answer) == 2
            gone = fleet.stacks.pop('c')
            closing = asyncio.create_task(gone.aclose())
            await fleet.wait_until(
                lambda: fleet.member('a', 'c').status == MemberStatus.DEAD,
                limit_s=0.3,
            )
            await closing
            assert fleet.member('a', 'c').successor == 'b'

    asyncio.run(run())


def test_revision_is_announced_at_once():
    """Guards against revisions that spread only with the ping interval.

    The 0.09 s limit is below the ping interval of 0.1 s.
    """

    async def run() -> None:
        async with Fleet('a', 'b') as fleet:
            await fleet.wait_all_alive()
            document = RevisionDocument(7, 'change', Settings())
            fleet.contexts['b'].board.post(DOCUMENT_IN_FORCE, document)
            await fleet.wait_until(
                lambda: fleet.member('a', 'b').revision == 7, 0.09
            )

    asyncio.run(run())


def test_probes_of_an_unused_link_end():
    """Guards against probes that two daemons without traffic send for ever.

    If the answer to a probe caused a probe, an unused link would use up the
    budget for control messages.
    """

    async def run() -> None:
        async with Fleet('a', 'b') as fleet:
            await fleet.wait_all_alive()
            for controller in fleet.controllers.values():
                await controller.__aexit__()
            await asyncio.sleep(1.5)
            networks = [c.peers for c in fleet.contexts.values()]
            before = [network.traffic() for network in networks]
            await asyncio.sleep(1.2)
            assert [network.traffic() for network in networks] == before

    asyncio.run(run())
