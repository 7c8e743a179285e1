"""Records of backend servers: polls, announcements, signs of leaving."""

from __future__ import annotations

import asyncio
import dataclasses
from contextlib import asynccontextmanager

from boragespool.blackboard.topics import (
    DOCUMENT_IN_FORCE,
    LEAVING_HOSTS,
    MEMBERS,
    SERVER_OBSERVATIONS,
    SERVERS,
    ServerObservation,
)
from boragespool.controllers.backend_servers.dispatch import DispatchController
from boragespool.controllers.backend_servers.record_exchange import (
    ExchangeOptions,
)
from boragespool.controllers.backend_servers.server_polls import (
    STEADY_INTERVAL_TICKS,
    TICKS_UNTIL_STEADY,
    PollHooks,
    ServerPolls,
)
from boragespool.controllers.backend_servers.servers import (
    PollOptions,
    ServerController,
)
from boragespool.messages import (
    Holding,
    MemberRecord,
    ServerAnnouncement,
)
from boragespool.results import ResultCode
from boragespool.timers import VirtualTimers
from boragespool.types import MemberStatus, ServerState
from tests.fake_backend import (
    FakeBackend,
    daemon_context,
    document,
    work_request,
)
from tests.relay import Relay
from tests.test_peers import free_address

FAST = PollOptions(0.05, 0.2, ExchangeOptions(0.1, 0.3))
#: Polls once, so that other signs are seen alone.
SLOW = PollOptions(60, 0.2, ExchangeOptions(60, 60))
SERVING, DRAINING = ServerState.SERVING, ServerState.DRAINING
LOST = ServerState.LOST


def members(*contexts, **statuses):
    """Build the members of the given daemons."""
    return {
        context.identity.host: MemberRecord(
            host=context.identity.host,
            incarnation=1,
            beat=1,
            status=statuses.get(context.identity.host, MemberStatus.ALIVE),
            data_centre='north',
            region='r',
            peer_address=context.identity.peer_address,
            caller_address='',
        )
        for context in contexts
    }


@asynccontextmanager
async def two_daemons(revision, options):
    """Two daemons that know each other, with their controllers."""
    async with (
        daemon_context(revision, 'a') as first,
        daemon_context(revision, 'b') as second,
    ):
        first.peers.set_address('b', second.identity.peer_address)
        second.peers.set_address('a', first.identity.peer_address)
        both = (first, second)
        for context in both:
            context.board.post(MEMBERS, members(*both))
        async with (
            ServerController(first, options),
            ServerController(second, options),
        ):
            yield both


def states(context):
    """Return the states that a daemon sees."""
    records = context.board.read(SERVERS)
    return {name: record.state for name, record in records.items()}


async def until(condition, timeout_s=3):
    """Wait for a condition."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def three_servers(options):
    """Three backend servers and two daemons that see them serving."""
    async with FakeBackend('x') as x, FakeBackend('y') as y:
        async with FakeBackend('z') as z:
            backends = {'x': x, 'y': y, 'z': z}
            addresses = {name: each.address for name, each in backends.items()}
            async with two_daemons(document(addresses), options) as both:
                for context in both:
                    await until(
                        lambda context=context: (
                            states(context) == dict.fromkeys('xyz', SERVING)
                        ),
                    )
                yield backends, both


def run(scenario, options=FAST):
    """Run a scenario on three servers and two daemons."""

    async def bounded():
        async with three_servers(options) as (backends, both):
            await scenario(backends, both)

    asyncio.run(asyncio.wait_for(bounded(), 20))


def test_each_server_is_polled_by_one_daemon_and_known_to_all():
    """Polls by all daemons would not scale; unknown servers get no work."""

    async def scenario(backends, both):
        for context in both:
            record = context.board.read(SERVERS)['x']
            assert record.holdings == (Holding(7, ((0, 100),)),)
            assert record.service == 'v'
            assert record.limit == 1
        views = [context.board.read(SERVERS) for context in both]
        assert views[0] == views[1]
        assert {r.dispatcher for r in views[0].values()} == {'a', 'b'}
        before = {name: each.polls for name, each in backends.items()}
        await asyncio.sleep(0.5)
        for name, each in backends.items():
            assert 4 <= each.polls - before[name] <= 11

    run(scenario)


def test_polled_status_reaches_all_daemons():
    """A draining or restarted server must be known everywhere in time."""

    async def scenario(backends, both):
        backends['x'].state = 'draining'
        for context in both:
            await until(lambda c=context: states(c)['x'] == DRAINING, 1)
        backends['x'].incarnation, backends['x'].state = 2, 'serving'
        for context in both:
            await until(lambda c=context: states(c)['x'] == SERVING, 1)
            assert context.board.read(SERVERS)['x'].incarnation == 2
        await backends['y'].__aexit__()
        for context in both:
            await until(lambda c=context: states(c)['y'] == LOST, 1)
        async with FakeBackend('y', 3, backends['y'].address):
            for context in both:
                await until(lambda c=context: states(c)['y'] == SERVING, 1)

    run(scenario)


def test_other_signs_stop_new_work():
    """Each sign of leaving must count without the others."""

    async def scenario(_backends, both):
        context = both[0]
        context.board.post(LEAVING_HOSTS, frozenset({'host-y'}))
        await until(lambda: states(context)['y'] == DRAINING, 0.5)
        assert states(context)['x'] == SERVING
        context.board.post(LEAVING_HOSTS, frozenset())
        revision = context.board.read(DOCUMENT_IN_FORCE)
        addresses = {
            name: server.address
            for name, server in revision.settings.services['v'].servers.items()
        }
        context.board.post(
            DOCUMENT_IN_FORCE, document(addresses, z={'drained': True})
        )
        await until(lambda: states(context)['z'] == DRAINING, 0.5)
        context.board.post(DOCUMENT_IN_FORCE, document({'x': addresses['x']}))
        await until(lambda: set(states(context)) == {'x'}, 0.5)
        for other in both:
            other.board.post(DOCUMENT_IN_FORCE, document({'y': free_address()}))
        # A server that comes back must not have the holdings of before.
        await until(lambda: states(context) == {'y': LOST}, 0.5)
        assert not context.board.read(SERVERS)['y'].holdings

    run(scenario, SLOW)


def test_observations_reach_all_daemons():
    """A draining reply must count before the next poll, everywhere."""

    async def scenario(backends, both):
        owner = next(
            context
            for context in both
            if context.board.read(SERVERS)['x'].dispatcher
            == context.identity.host
        )
        polls = backends['x'].polls
        seen = ServerObservation(3, draining_at_s=owner.timers.now_s())
        owner.board.post(SERVER_OBSERVATIONS, {'x': seen})
        for context in both:
            await until(lambda c=context: states(c)['x'] == DRAINING, 1)
        assert backends['x'].polls == polls
        await backends['y'].__aexit__()
        seen = ServerObservation(1, refused_at_s=1)
        for context in both:
            context.board.post(SERVER_OBSERVATIONS, {'y': seen})
        for context in both:
            await until(lambda c=context: states(c)['y'] == LOST, 1)

    run(scenario, SLOW)


def test_own_limit_is_announced():
    """Mergers weigh servers by the limit that the dispatcher found."""

    async def scenario(_backends, both):
        for context in both:
            context.board.post(SERVER_OBSERVATIONS, {'x': ServerObservation(3)})
        for context in both:
            await until(
                lambda c=context: c.board.read(SERVERS)['x'].limit == 3,
                1,
            )

    run(scenario)


def test_servers_move_with_the_members():
    """The servers of a dead dispatcher must be polled by another daemon."""

    async def scenario(backends, both):
        first, second = both
        dead = members(first, second, b=MemberStatus.DEAD)
        first.board.post(MEMBERS, dead)
        second.board.post(MEMBERS, dead)
        for context in both:
            await until(
                lambda c=context: (
                    {
                        record.dispatcher
                        for record in c.board.read(SERVERS).values()
                    }
                    == {'a'}
                ),
            )
        backends['x'].state = 'draining'
        await until(lambda: states(second)['x'] == DRAINING, 1)

    run(scenario)


def test_silent_poll_connection_does_not_lose_the_server():
    """A poll that hangs must not take the server out of use."""

    async def scenario():
        async with FakeBackend('x') as backend, Relay(backend.address) as relay:
            async with daemon_context(
                document({'x': relay.address})
            ) as context:
                context.board.post(MEMBERS, members(context))
                async with ServerController(context, FAST):
                    await until(lambda: states(context) == {'x': SERVING})
                    relay.silence()
                    polls = backend.polls
                    seen = []
                    context.board.subscribe(SERVERS, seen.append)
                    await until(lambda: backend.polls > polls + 2)
                    assert not seen

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_leaving_server_gets_no_work_within_three_seconds():
    """The goal for a leaving server must hold with the usual options."""

    async def scenario():
        async with FakeBackend('s') as s, FakeBackend('t') as t:
            revision = document({'s': s.address, 't': t.address})
            async with daemon_context(revision) as context:
                context.board.post(MEMBERS, members(context))
                async with (
                    ServerController(context),
                    DispatchController(context),
                ):
                    await until(lambda: states(context).get('s') == SERVING)
                    s.state = 'draining'
                    last_s = started_s = context.timers.now_s()
                    while context.timers.now_s() < started_s + 3:
                        reply = await context.peers.request(
                            'a', work_request(), 2
                        )
                        if reply.code == ResultCode.COMPLETE:
                            last_s = context.timers.now_s()
                        else:
                            assert reply.code == ResultCode.SERVER_DRAINING
                        await asyncio.sleep(0.05)
                    assert last_s - started_s < 2

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_stale_announcement_is_ignored():
    """A dispatcher of the past must not overwrite the present one."""

    async def scenario(_backends, both):
        record = both[0].board.read(SERVERS)['x']
        stale = dataclasses.replace(record, sequence=0, state=DRAINING)
        other = dataclasses.replace(
            stale,
            dispatcher='c',
            dispatcher_incarnation=99,
        )
        unknown = dataclasses.replace(record, server='other')
        both[0].peers.send('a', ServerAnnouncement((stale, other, unknown)))
        await asyncio.sleep(0.2)
        assert states(both[0]) == dict.fromkeys('xyz', SERVING)

    run(scenario)


def test_steady_server_is_polled_less_often_and_leaves_in_time():
    """Polls of servers that do not change were half of an idle daemon."""
    usual = PollOptions()
    longest_s = usual.poll_interval_s * STEADY_INTERVAL_TICKS
    assert longest_s + usual.poll_timeout_s < 3
    polls = ServerPolls(VirtualTimers(), 1, PollHooks(None, None))
    polled = []
    polls.poll = polled.append
    polls.add('x', 'a:1')

    def polls_in(ticks):
        polled.clear()
        for _ in range(ticks):
            polls.tick()
        return len(polled)

    assert polls_in(TICKS_UNTIL_STEADY - 1) == TICKS_UNTIL_STEADY - 1
    assert polls_in(6 * STEADY_INTERVAL_TICKS) == 6
    polls.reset_interval('x')
    assert polls_in(TICKS_UNTIL_STEADY - 1) == TICKS_UNTIL_STEADY - 1
    polls.remove('x')
    assert not polls_in(1)


def test_change_and_failure_of_a_steady_server_are_polled_fast():
    """Otherwise a lost server would be noticed twice as late."""

    async def scenario():
        async with FakeBackend('x') as backend:
            async with daemon_context(
                document({'x': backend.address})
            ) as context:
                context.board.post(MEMBERS, members(context))
                async with ServerController(context, FAST) as controller:
                    await until(lambda: states(context) == {'x': SERVING})
                    ticks = controller._polls._steady_ticks_by_server
                    ticks['x'] = 1_000
                    backend.incarnation = 2
                    await until(lambda: ticks['x'] < 1_000)
                    ticks['x'] = 1_000
                    await backend.__aexit__()
                    await until(lambda: ticks['x'] < 1_000)
                    await until(lambda: states(context) == {'x': LOST})
                    # A lost server that stays lost does not change.
                    ticks['x'] = 1_000
                    await until(lambda: ticks['x'] < 1_000)

    asyncio.run(asyncio.wait_for(scenario(), 20))
