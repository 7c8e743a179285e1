"""Records of backend servers: polls, announcements, signs of leaving."""

from __future__ import annotations

import asyncio
import dataclasses
from contextlib import asynccontextmanager

from boragespool.bench.ports import free_address
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
from boragespool.http import ExchangeFailure, FailureKind
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

FAST = PollOptions(0.05, 0.2, ExchangeOptions(0.1, 0.3))
#: Polls only once, so that only other signs can change a state.
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
    """Start two daemons that know each other, with their controllers."""
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
    """Return the server states in the view of a daemon."""
    records = context.board.read(SERVERS)
    return {name: record.state for name, record in records.items()}


async def until(condition, timeout_s=3):
    """Wait until a condition is true."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def three_servers(options):
    """Start three servers and two daemons; wait until all are serving."""
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
    """Run a scenario with three servers and two daemons, for up to 20 s."""

    async def bounded():
        async with three_servers(options) as (backends, both):
            await scenario(backends, both)

    asyncio.run(asyncio.wait_for(bounded(), 20))


def test_each_server_is_polled_by_one_daemon_and_known_to_all():
    """Guards against servers that all daemons poll, or that some don't know.

    Polls by every daemon would not scale, and a daemon sends no work to a
    server without a record.
    """

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
    """Guards against a server change that only its dispatcher knows.

    A drain, a restart or a loss must reach all daemons within 1 s.
    """

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
    """Guards against a sign of leaving that only works with other signs.

    The host list, a drained server in the settings and the removal of a
    server must each stop new work.
    """

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
        # A server that is configured again must not keep its old holdings.
        await until(lambda: states(context) == {'y': LOST}, 0.5)
        assert not context.board.read(SERVERS)['y'].holdings

    run(scenario, SLOW)


def test_observations_reach_all_daemons():
    """Guards against a draining or refusing server that keeps getting work.

    What a reply or a refused connection shows must reach all daemons before
    the next poll.
    """

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
    """Guards against mergers that use an outdated concurrency limit.

    They weight servers by the limit that the dispatcher has estimated.
    """

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
    """Guards against servers that nobody polls after their dispatcher died."""

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
    """Guards against a serving server that is lost because one poll hangs.

    A silent connection must be replaced; it doesn't show that the server is
    lost.
    """

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
    """Guards against new work for a leaving server after three seconds.

    The default options must meet this goal.
    """

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
    """Guards against an old announcement that replaces a newer record.

    It has a lower sequence number, a dispatcher that is not a member, or a
    server that is not configured.
    """

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
    """Guards against needless polls of servers that do not change.

    They were half of the load of an idle daemon. The longer interval must
    still notice a leaving server within 3 s.
    """
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


def test_connect_timeouts_of_a_removed_server_are_forgotten():
    """Guards against a new server that counts as lost after one timeout.

    The timeouts of an earlier server of that name were still counted.
    """
    lost = []
    polls = ServerPolls(VirtualTimers(), 1, PollHooks(None, lost.append))
    polls.poll = lambda server: None
    timeout = ExchangeFailure(FailureKind.TIMEOUT, sent=False, reason='')

    def fail_polls(count):
        for _ in range(count):
            polls._handle_failed_poll('x', timeout)

    polls.add('x', 'a:1')
    fail_polls(2)
    polls.add('x', 'b:1')
    fail_polls(2)
    assert not lost
    fail_polls(1)
    assert lost == ['x']


def test_change_and_failure_of_a_steady_server_are_polled_fast():
    """Guards against a loss that is noticed twice as late.

    A change or a failed poll must reset a server to the short interval.
    """

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
                    # Each further failed poll resets the interval too.
                    ticks['x'] = 1_000
                    await until(lambda: ticks['x'] < 1_000)

    asyncio.run(asyncio.wait_for(scenario(), 20))
