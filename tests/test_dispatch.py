"""Dispatch of work to backend servers over HTTP."""

from __future__ import annotations

import asyncio
import logging
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from boragespool.blackboard.topics import (
    BLOCKED_FINGERPRINTS,
    DOCUMENT_IN_FORCE,
    MEMBERS,
    SERVER_OBSERVATIONS,
    SERVERS,
    SUSPECT_FINGERPRINTS,
)
from boragespool.controllers.backend_servers.dispatch import DispatchController
from boragespool.events import Event
from boragespool.messages import (
    CancelWork,
    ServerRecord,
    SuspectNotice,
    SuspectNoticeAck,
    WorkRequest,
)
from boragespool.peers import PeerNetwork, PeerOptions
from boragespool.results import ResultCode
from boragespool.revisions.document import Clearance
from boragespool.standins.backend import BackendServer, BackendSpec
from boragespool.standins.switches import BackendSwitches
from boragespool.timers import LoopTimers
from boragespool.types import (
    MemberStatus,
    Rank,
    RunState,
    ServerState,
    WorkKind,
)
from tests.fake_backend import (
    FakeBackend,
    daemon_context,
    document,
    work_request,
)
from tests.member_records import record
from tests.relay import Relay
from tests.test_peers import free_address

CLAIM = {'kind': WorkKind.CLAIM}
DEAD = MemberStatus.DEAD


class Setup:
    """One dispatcher and one backend server."""

    def __init__(self, backend, context, controller):
        self.backend, self.context = backend, context
        self.controller = controller

    async def send(self, request):
        return await self.context.peers.request('a', request, 5)

    def start(self, request):
        return asyncio.create_task(self.send(request))

    async def warm(self):
        """Raise the limit to all five slots."""
        await asyncio.gather(*(self.send(work_request()) for _ in range(40)))
        assert self.controller.status()['s']['limit'] == 5

    async def running(self, count):
        while len(self.backend.running) < count:
            await asyncio.sleep(0.005)


@asynccontextmanager
async def dispatching(address=None):
    async with FakeBackend() as backend:
        revision = document({'s': address or backend.address})
        async with daemon_context(revision) as context:
            async with DispatchController(context) as controller:
                yield Setup(backend, context, controller)


def run(scenario):
    """Run a scenario on one dispatcher, within ten seconds."""

    async def bounded():
        async with dispatching() as setup:
            await scenario(setup)

    asyncio.run(asyncio.wait_for(bounded(), 10))


def test_reply_carries_results_and_times():
    """Mergers need the range, the items, and the backpressure."""

    async def scenario(setup):
        reply = await setup.send(work_request(delay_s=0.05, deadline_s=1))
        assert (reply.version, reply.start, reply.end) == (7, 0, 100)
        assert reply.items[0].key == 1
        assert reply.run == RunState.RUN
        assert 0.05 <= reply.service_time_s < 0.5
        assert len(reply.waits_s) == 3
        assert 0.9 < setup.backend.deadlines[-1] <= 1

    run(scenario)


@pytest.mark.parametrize(
    ('mode', 'code', 'run_state'),
    [
        ('shed', ResultCode.SERVER_SHED, RunState.NOT_RUN),
        ('draining', ResultCode.SERVER_DRAINING, RunState.NOT_RUN),
        ('deadline', ResultCode.DEADLINE_PASSED, RunState.NOT_RUN),
        ('not_held', ResultCode.VERSION_NOT_HELD, RunState.NOT_RUN),
        ('wrong', ResultCode.SERVER_REPLY_INVALID, RunState.UNKNOWN),
        ('short', ResultCode.SERVER_REPLY_INVALID, RunState.UNKNOWN),
    ],
)
def test_other_answers_are_told_apart(mode, code, run_state):
    """Another attempt's reply or a cut list must not reach a caller."""

    async def scenario(setup):
        reply = await setup.send(work_request(mode))
        assert (reply.code, reply.run) == (code, run_state)
        observed = setup.context.board.read(SERVER_OBSERVATIONS).get('s')
        is_draining = observed is not None and observed.draining_at_s > 0
        assert is_draining == (mode == 'draining')

    run(scenario)


def test_unknown_server_is_refused():
    """A message for a removed server must not raise."""

    async def scenario(setup):
        reply = await setup.send(work_request(server='other'))
        assert (reply.code, reply.run) == (ResultCode.NO_SERVER, 'not_run')

    run(scenario)


def test_limit_ramps_up_and_connections_are_reused():
    """A cold server must not get all slots; connections cost time."""

    async def scenario(setup):
        await setup.warm()
        assert setup.backend.peak_in_flight <= 5
        assert setup.backend.connection_count <= 5
        await setup.send(work_request('shed'))
        assert setup.controller.status()['s']['limit'] == 2

    run(scenario)


def test_first_work_after_a_start_runs_alone():
    """A server that just started must get one request at first."""

    async def scenario(setup):
        started = [setup.start(work_request(delay_s=0.05)) for _ in range(4)]
        await setup.running(1)
        await asyncio.sleep(0.02)
        assert len(setup.backend.running) == 1
        await asyncio.gather(*started)

    run(scenario)


@pytest.mark.parametrize('kind', WorkKind)
def test_attempt_runs_once(kind):
    """A repeated message must not run a claim again."""

    async def scenario(setup):
        request = work_request(delay_s=0.05, kind=kind)
        first, second = await asyncio.gather(
            setup.send(request),
            setup.send(request),
        )
        assert first == second
        late = await setup.send(request)
        assert late == first or kind == WorkKind.QUERY
        assert setup.backend.attempts.count(request.attempt_id) == 1

    run(scenario)


def test_waiting_work_is_cancelled_without_running():
    """A hedge that lost must not take a slot later."""

    async def scenario(setup):
        running = setup.start(work_request(delay_s=0.1))
        await setup.running(1)
        request = work_request()
        waiting = setup.start(request)
        await asyncio.sleep(0.01)
        setup.context.peers.send('a', CancelWork(request.attempt_id))
        reply = await waiting
        assert (reply.code, reply.run) == (ResultCode.CANCELLED, 'not_run')
        await running
        assert request.attempt_id not in setup.backend.attempts

    run(scenario)


def test_running_work_is_cancelled_at_the_server():
    """Cancelled work must free its slot and keep its connection."""

    async def scenario(setup):
        request = work_request(delay_s=3)
        running = setup.start(request)
        await setup.running(1)
        setup.context.peers.send('a', CancelWork(request.attempt_id))
        reply = await asyncio.wait_for(running, 1)
        assert (reply.code, reply.run) == (ResultCode.CANCELLED, 'not_run')
        assert setup.backend.cancelled == [request.attempt_id]
        assert (await setup.send(work_request())).code == ResultCode.COMPLETE
        assert setup.backend.connection_count == 2

    run(scenario)


def test_borrowed_slots_are_taken_back():
    """Urgent work must not wait for deferrable work above its cap."""

    async def scenario(setup):
        await setup.warm()
        slow = [
            setup.start(work_request(delay_s=1, rank=Rank.DEFERRABLE))
            for _ in range(5)
        ]
        await setup.running(5)
        reply = await asyncio.wait_for(setup.send(work_request()), 0.5)
        assert reply.code == ResultCode.COMPLETE
        codes = [each.code for each in await asyncio.gather(*slow)]
        assert codes.count(ResultCode.CANCELLED) == 1

    run(scenario)


def test_running_claim_is_not_preempted():
    """A claim that was cancelled half-way would be unknown."""

    async def scenario(setup):
        await setup.warm()
        slow = [
            setup.start(
                work_request(delay_s=0.2, rank=Rank.DEFERRABLE, **CLAIM)
            )
            for _ in range(5)
        ]
        await setup.running(5)
        await setup.send(work_request())
        replies = await asyncio.gather(*slow)
        assert {each.code for each in replies} == {ResultCode.COMPLETE}

    run(scenario)


def test_deadline_frees_the_slot_of_a_slow_server():
    """A straggler must not hold a slot after its deadline."""

    async def scenario(setup):
        reply = await setup.send(work_request(delay_s=3, deadline_s=0.1))
        assert reply.code == ResultCode.DEADLINE_PASSED
        assert not setup.backend.running
        assert (await setup.send(work_request())).code == ResultCode.COMPLETE

    run(scenario)


def test_silent_connection_is_replaced(caplog):
    """A connection that swallows data must not take the server down."""

    async def scenario():
        async with FakeBackend() as backend, Relay(backend.address) as relay:
            async with daemon_context(
                document({'s': relay.address})
            ) as context:
                async with DispatchController(context) as controller:
                    setup = Setup(backend, context, controller)
                    await setup.send(work_request())
                    relay.silence()
                    claim = work_request(deadline_s=0.2, **CLAIM)
                    reply = await setup.send(claim)
                    assert reply.code == ResultCode.SERVER_SILENT
                    assert reply.run == RunState.UNKNOWN
                    again = await setup.send(work_request())
                    assert again.code == ResultCode.COMPLETE
                    assert claim.attempt_id not in backend.attempts

    with caplog.at_level(logging.INFO, 'boragespool'):
        asyncio.run(asyncio.wait_for(scenario(), 10))
    events = [getattr(record, 'event', 0) for record in caplog.records]
    assert events.count(Event.CONNECTION_SILENT) == 1


def test_closed_idle_connection_is_replaced():
    """An idle connection that the server closed must not fail a claim."""

    async def scenario():
        async with FakeBackend() as backend, Relay(backend.address) as relay:
            async with daemon_context(
                document({'s': relay.address})
            ) as context:
                async with DispatchController(context) as controller:
                    setup = Setup(backend, context, controller)
                    await setup.send(work_request())
                    relay.cut()
                    await asyncio.sleep(0.02)
                    claim = work_request(**CLAIM)
                    reply = await setup.send(claim)
                    assert reply.code == ResultCode.COMPLETE
                    assert backend.attempts.count(claim.attempt_id) == 1

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_claim_on_a_cut_connection_is_unknown():
    """A claim whose bytes were sent must never be sent again."""

    async def scenario():
        async with FakeBackend() as backend, Relay(backend.address) as relay:
            async with daemon_context(
                document({'s': relay.address})
            ) as context:
                async with DispatchController(context) as controller:
                    setup = Setup(backend, context, controller)
                    claim = work_request(delay_s=0.2, **CLAIM)
                    running = setup.start(claim)
                    await setup.running(1)
                    relay.cut()
                    reply = await running
                    assert reply.code == ResultCode.SERVER_CLOSED
                    assert reply.run == RunState.UNKNOWN
                    assert backend.attempts.count(claim.attempt_id) == 1
                    # The server itself is there, so nothing is suspected.
                    assert not context.board.read(SUSPECT_FINGERPRINTS)

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_refused_connection_promises_not_run():
    """Work must not be unknown when no byte was sent."""

    async def scenario(setup):
        await setup.backend.__aexit__()
        reply = await setup.send(work_request(**CLAIM))
        code = ResultCode.SERVER_UNREACHABLE
        assert (reply.code, reply.run) == (code, RunState.NOT_RUN)

    run(scenario)


def test_solo_work_runs_alone():
    """A suspect must not take other requests with it."""

    async def scenario(setup):
        await setup.warm()
        before = setup.start(work_request(delay_s=0.1))
        await setup.running(1)
        solo = setup.start(work_request(delay_s=0.1, solo=True))
        after = setup.start(work_request(delay_s=0.1))
        await before
        await setup.running(1)
        setup.backend.peak_in_flight = 0
        await asyncio.gather(solo, after)
        assert setup.backend.peak_in_flight == 1

    run(scenario)


@asynccontextmanager
async def listening_peer(context, *, acknowledges=True):
    """Add a member ``b`` that collects notices."""
    options = PeerOptions('b', 1, free_address())
    async with PeerNetwork(options, LoopTimers()) as peer:
        notices = []

        async def acknowledge(_, told):
            notices.append(told)
            return SuspectNoticeAck()

        peer.on_message(SuspectNotice, lambda _, told: notices.append(told))
        if acknowledges:
            peer.on_request(SuspectNotice, acknowledge)
        context.peers.set_address('b', options.listen_address)
        context.board.post(
            MEMBERS,
            {'a': record('a'), 'b': record('b'), 'c': record('c', DEAD)},
        )
        yield notices


def test_crashing_request_is_blocked_after_the_second_loss():
    """A request that kills servers must not kill the whole fleet."""

    async def scenario(setup):
        address = setup.backend.address
        async with listening_peer(setup.context) as notices:
            first = work_request('crash', fingerprint=5)
            reply = await setup.send(first)
            assert (reply.code, reply.run) == (3105, RunState.UNKNOWN)
            assert setup.context.board.read(SUSPECT_FINGERPRINTS) == {5}
            assert [each.loss_id for each in notices] == ['s@1']
            async with FakeBackend('s', 2, address):
                reply = await setup.send(work_request('crash', fingerprint=5))
                assert reply.code == ResultCode.SERVER_CLOSED
                assert setup.context.board.read(BLOCKED_FINGERPRINTS) == {5}
            async with FakeBackend('s', 3, address) as third:
                reply = await setup.send(work_request('crash', fingerprint=5))
                assert reply.code == ResultCode.REQUEST_BLOCKED
                assert reply.run == RunState.NOT_RUN
                assert not third.attempts
                assert setup.controller.clear(5)
                assert not setup.context.board.read(BLOCKED_FINGERPRINTS)
            await asyncio.sleep(1.1)
        told = [(each.loss_id, each.alone, each.cleared) for each in notices]
        first, second = ('s@1', False, False), ('s@2', True, False)
        assert told == [first, first, second, *[('', False, True)] * 2]

    run(scenario)


def test_notice_without_acknowledgement_is_repeated():
    """A peer that missed the notice must still learn of the loss."""

    async def scenario(setup):
        peer = listening_peer(setup.context, acknowledges=False)
        async with peer as notices:
            await setup.send(work_request('crash', fingerprint=5))
            assert not notices
            await asyncio.sleep(1.1)
            assert [each.loss_id for each in notices] == ['s@1']

    run(scenario)


def test_verdicts_of_peers_hold_here():
    """Each daemon must know what crashed the servers of others."""

    async def scenario(setup):
        board, receive = setup.context.board, setup.context.peers.send
        receive('a', SuspectNotice(9, 'x@1'))
        receive('a', SuspectNotice(9, 'x@1'))
        await asyncio.sleep(0.01)
        assert board.read(SUSPECT_FINGERPRINTS) == {9}
        receive('a', SuspectNotice(9, 'y@1', alone=True))
        await asyncio.sleep(0.01)
        assert board.read(BLOCKED_FINGERPRINTS) == {9}
        receive('a', SuspectNotice(9, '', cleared=True))
        await asyncio.sleep(0.01)
        assert not board.read(BLOCKED_FINGERPRINTS)

    run(scenario)


def test_revision_clears_a_false_verdict():
    """An operator's clearance must reach every daemon with the revision."""

    async def scenario(setup):
        board, receive = setup.context.board, setup.context.peers.send
        receive('a', SuspectNotice(9, 'x@1'))
        receive('a', SuspectNotice(9, 'y@1', alone=True))
        await asyncio.sleep(0.01)
        assert board.read(BLOCKED_FINGERPRINTS) == {9}
        base = board.read(DOCUMENT_IN_FORCE)
        cleared = (Clearance(9, base.revision + 1),)
        board.post(
            DOCUMENT_IN_FORCE,
            replace(base, revision=base.revision + 1, cleared=cleared),
        )
        assert not board.read(BLOCKED_FINGERPRINTS)

    run(scenario)


def test_draining_server_gets_no_new_work():
    """Queued work must not be sent to a server that leaves."""

    async def scenario(setup):
        running = setup.start(work_request(delay_s=0.1))
        await setup.running(1)
        waiting = setup.start(work_request())
        await asyncio.sleep(0.01)
        state = ServerState.DRAINING
        record = ServerRecord('s', 'v', 'north', 'a', 1, 1, 1, state, 1)
        setup.context.board.post(SERVERS, {'s': record})
        for reply in (await waiting, await setup.send(work_request())):
            assert reply.code == ResultCode.SERVER_DRAINING
            assert reply.run == RunState.NOT_RUN
        assert (await running).code == ResultCode.COMPLETE

    run(scenario)


def test_drain_finishes_running_and_answers_queued_work():
    """A planned stop must interrupt nothing and leave nobody waiting."""

    async def scenario(setup):
        running = setup.start(work_request(delay_s=0.1))
        await setup.running(1)
        waiting = setup.start(work_request())
        await asyncio.sleep(0.01)
        assert setup.controller.in_flight == 2
        assert await setup.controller.drain(2)
        assert (await running).code == ResultCode.COMPLETE
        assert (await waiting).code == ResultCode.LEAVING
        assert (await setup.send(work_request())).code == ResultCode.LEAVING

    run(scenario)


def test_queued_work_is_answered_at_its_deadline():
    """A merger must not wait for work that can no longer be useful."""

    async def scenario(setup):
        running = setup.start(work_request(delay_s=0.4))
        await setup.running(1)
        started_s = asyncio.get_running_loop().time()
        reply = await setup.send(work_request(deadline_s=0.1))
        waited_s = asyncio.get_running_loop().time() - started_s
        assert reply.code == ResultCode.DEADLINE_UNREACHABLE
        assert waited_s < 0.2
        await running

    run(scenario)


def test_message_type_is_served():
    """The handler must be registered under the type that mergers send."""

    async def scenario(setup):
        assert isinstance(work_request(), WorkRequest)
        assert (await setup.send(work_request())).code == ResultCode.COMPLETE
        assert setup.controller.status()['s']['connections'] == 1

    run(scenario)


def test_stand_in_is_understood():
    """The dispatcher and the stand-in must agree on the protocol."""

    async def scenario():
        spec = BackendSpec('s', 'v', switches=BackendSwitches(slots=5))
        async with BackendServer(spec) as server:
            async with daemon_context(
                document({'s': server.address})
            ) as context:
                async with DispatchController(context) as controller:
                    setup = Setup(None, context, controller)
                    query = work_request(version=1, end=2**32)
                    reply = await setup.send(query)
                    assert (reply.code, len(reply.items)) == (1000, 200)
                    reply = await setup.send(work_request(version=2))
                    assert reply.code == ResultCode.VERSION_NOT_HELD
                    reply = await setup.send(work_request(**CLAIM))
                    assert reply.outcome['runs'] == 1
                    reply = await setup.send(
                        work_request(body=b'{"fail":1}', **CLAIM)
                    )
                    assert reply.code == ResultCode.CLAIM_FAILED
                    assert reply.outcome['error']
                    assert reply.run == RunState.RUN
                    # A claim that has begun runs to its end.
                    server.control({'service_time_s': 0.3})
                    reply = await setup.send(
                        work_request(deadline_s=0.1, **CLAIM)
                    )
                    assert reply.code == ResultCode.COMPLETE
                    query = work_request(version=1, end=9, deadline_s=0.1)
                    reply = await setup.send(query)
                    assert reply.code == ResultCode.DEADLINE_PASSED
                    assert reply.run == RunState.RUN
                    assert controller.status()['s']['connections'] == 2

    asyncio.run(asyncio.wait_for(scenario(), 10))
