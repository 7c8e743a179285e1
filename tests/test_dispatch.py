"""Dispatch of work to a backend server over HTTP."""

from __future__ import annotations

import asyncio
import logging
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from boragespool.bench.ports import free_address
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

CLAIM_FIELDS = {'kind': WorkKind.CLAIM}
DEAD = MemberStatus.DEAD


class Dispatcher:
    """Dispatch controller of the daemon ``a`` and its backend server ``s``.

    Requests reach the controller over the daemon's own peer network.
    """

    def __init__(self, backend, context, controller):
        self.backend, self.context = backend, context
        self.controller = controller

    async def send(self, request):
        """Send work to the controller and return the reply."""
        return await self.context.peers.request('a', request, 5)

    def start(self, request):
        """Send work in a new task and return the task."""
        return asyncio.create_task(self.send(request))

    async def raise_limit(self):
        """Raise the concurrency limit to all 5 slots."""
        await asyncio.gather(*(self.send(work_request()) for _ in range(40)))
        assert self.controller.status()['s']['limit'] == 5

    async def wait_for_running(self, count):
        """Wait until the backend server runs `count` requests."""
        while len(self.backend.running) < count:
            await asyncio.sleep(0.005)


@asynccontextmanager
async def run_dispatcher(address=None):
    """Run a dispatcher whose server is at `address`, or a fake one."""
    async with FakeBackend() as backend:
        revision = document({'s': address or backend.address})
        async with daemon_context(revision) as context:
            async with DispatchController(context) as controller:
                yield Dispatcher(backend, context, controller)


def run_scenario(scenario):
    """Run a scenario on a new dispatcher; fail after 10 s."""

    async def bounded():
        async with run_dispatcher() as dispatcher:
            await scenario(dispatcher)

    asyncio.run(asyncio.wait_for(bounded(), 10))


def test_reply_carries_results_and_times():
    """Guards against a dispatcher that drops fields of the reply.

    Mergers need the version, range and items. The service time and the waits
    by rank tell them about the load of the server.
    """

    async def scenario(dispatcher):
        reply = await dispatcher.send(work_request(delay_s=0.05, deadline_s=1))
        assert (reply.version, reply.start, reply.end) == (7, 0, 100)
        assert reply.items[0].key == 1
        assert reply.run == RunState.RUN
        assert 0.05 <= reply.service_time_s < 0.5
        assert len(reply.waits_s) == 3
        assert 0.9 < dispatcher.backend.deadlines[-1] <= 1

    run_scenario(scenario)


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
def test_error_replies_get_distinct_codes(mode, code, run_state):
    """Guards against an error or a wrong reply that is taken for a result.

    A server can shed work, drain, miss the deadline or not hold the version.
    It can also send the reply of another attempt, or fewer items than it
    counted; the run state is then unknown.
    """

    async def scenario(dispatcher):
        reply = await dispatcher.send(work_request(mode))
        assert (reply.code, reply.run) == (code, run_state)
        observed = dispatcher.context.board.read(SERVER_OBSERVATIONS).get('s')
        is_draining = observed is not None and observed.draining_at_s > 0
        assert is_draining == (mode == 'draining')

    run_scenario(scenario)


def test_unknown_server_is_refused():
    """Guards against an exception on work for a server that was removed.

    Daemons with older settings can still send such work.
    """

    async def scenario(dispatcher):
        reply = await dispatcher.send(work_request(server='other'))
        assert (reply.code, reply.run) == (ResultCode.NO_SERVER, 'not_run')

    run_scenario(scenario)


def test_limit_ramps_up_and_connections_are_reused():
    """Guards against overload of a cold server, and needless connections.

    The limit rises with the replies, and falls when the server sheds work.
    Connections take time to open, so they must be reused.
    """

    async def scenario(dispatcher):
        await dispatcher.raise_limit()
        assert dispatcher.backend.peak_in_flight <= 5
        assert dispatcher.backend.connection_count <= 5
        await dispatcher.send(work_request('shed'))
        assert dispatcher.controller.status()['s']['limit'] == 2

    run_scenario(scenario)


def test_first_work_after_a_start_runs_alone():
    """Guards against several requests at once to a server that just started."""

    async def scenario(dispatcher):
        started = [
            dispatcher.start(work_request(delay_s=0.05)) for _ in range(4)
        ]
        await dispatcher.wait_for_running(1)
        await asyncio.sleep(0.02)
        assert len(dispatcher.backend.running) == 1
        await asyncio.gather(*started)

    run_scenario(scenario)


@pytest.mark.parametrize('kind', WorkKind)
def test_attempt_runs_once(kind):
    """Guards against work that runs twice because its message was repeated.

    The same attempt can arrive while it runs; for a claim also afterwards.
    """

    async def scenario(dispatcher):
        request = work_request(delay_s=0.05, kind=kind)
        first, second = await asyncio.gather(
            dispatcher.send(request),
            dispatcher.send(request),
        )
        assert first == second
        late = await dispatcher.send(request)
        assert late == first or kind == WorkKind.QUERY
        assert dispatcher.backend.attempts.count(request.attempt_id) == 1

    run_scenario(scenario)


def test_waiting_work_is_cancelled_without_running():
    """Guards against work that runs although its caller has the answer.

    A merger cancels the slower of two hedged attempts, which may still wait
    in the queue.
    """

    async def scenario(dispatcher):
        running = dispatcher.start(work_request(delay_s=0.1))
        await dispatcher.wait_for_running(1)
        request = work_request()
        waiting = dispatcher.start(request)
        await asyncio.sleep(0.01)
        dispatcher.context.peers.send('a', CancelWork(request.attempt_id))
        reply = await waiting
        assert (reply.code, reply.run) == (ResultCode.CANCELLED, 'not_run')
        await running
        assert request.attempt_id not in dispatcher.backend.attempts

    run_scenario(scenario)


def test_running_work_is_cancelled_at_the_server():
    """Guards against cancelled work that keeps its slot.

    It must also be cancelled at the server, and its connection reused.
    """

    async def scenario(dispatcher):
        request = work_request(delay_s=3)
        running = dispatcher.start(request)
        await dispatcher.wait_for_running(1)
        dispatcher.context.peers.send('a', CancelWork(request.attempt_id))
        reply = await asyncio.wait_for(running, 1)
        assert (reply.code, reply.run) == (ResultCode.CANCELLED, 'not_run')
        assert dispatcher.backend.cancelled == [request.attempt_id]
        assert (
            await dispatcher.send(work_request())
        ).code == ResultCode.COMPLETE
        assert dispatcher.backend.connection_count == 2

    run_scenario(scenario)


def test_borrowed_slots_are_taken_back():
    """Guards against urgent work that waits for deferrable work.

    Deferrable work may exceed its cap while slots are free. One of its
    requests must be cancelled when urgent work arrives.
    """

    async def scenario(dispatcher):
        await dispatcher.raise_limit()
        deferrable = [
            dispatcher.start(work_request(delay_s=1, rank=Rank.DEFERRABLE))
            for _ in range(5)
        ]
        await dispatcher.wait_for_running(5)
        reply = await asyncio.wait_for(dispatcher.send(work_request()), 0.5)
        assert reply.code == ResultCode.COMPLETE
        codes = [reply.code for reply in await asyncio.gather(*deferrable)]
        assert codes.count(ResultCode.CANCELLED) == 1

    run_scenario(scenario)


def test_running_claim_is_not_preempted():
    """Guards against preempting a running claim.

    It would be unknown whether a cancelled claim ran.
    """

    async def scenario(dispatcher):
        await dispatcher.raise_limit()
        deferrable = [
            dispatcher.start(
                work_request(delay_s=0.2, rank=Rank.DEFERRABLE, **CLAIM_FIELDS)
            )
            for _ in range(5)
        ]
        await dispatcher.wait_for_running(5)
        await dispatcher.send(work_request())
        replies = await asyncio.gather(*deferrable)
        assert {reply.code for reply in replies} == {ResultCode.COMPLETE}

    run_scenario(scenario)


def test_deadline_frees_the_slot_of_a_slow_server():
    """Guards against a slow request that keeps its slot past its deadline."""

    async def scenario(dispatcher):
        reply = await dispatcher.send(work_request(delay_s=3, deadline_s=0.1))
        assert reply.code == ResultCode.DEADLINE_PASSED
        assert not dispatcher.backend.running
        assert (
            await dispatcher.send(work_request())
        ).code == ResultCode.COMPLETE

    run_scenario(scenario)


def test_silent_connection_is_replaced(caplog):
    """Guards against a server that stays unusable due to one connection.

    A connection that silently drops all bytes must be replaced by a new one,
    and the claim that was sent on it reported as unknown.
    """

    async def scenario():
        async with FakeBackend() as backend, Relay(backend.address) as relay:
            async with daemon_context(
                document({'s': relay.address})
            ) as context:
                async with DispatchController(context) as controller:
                    dispatcher = Dispatcher(backend, context, controller)
                    await dispatcher.send(work_request())
                    relay.silence()
                    claim = work_request(deadline_s=0.2, **CLAIM_FIELDS)
                    reply = await dispatcher.send(claim)
                    assert reply.code == ResultCode.SERVER_SILENT
                    assert reply.run == RunState.UNKNOWN
                    again = await dispatcher.send(work_request())
                    assert again.code == ResultCode.COMPLETE
                    assert claim.attempt_id not in backend.attempts

    with caplog.at_level(logging.INFO, 'boragespool'):
        asyncio.run(asyncio.wait_for(scenario(), 10))
    events = [getattr(record, 'event', 0) for record in caplog.records]
    assert events.count(Event.CONNECTION_SILENT) == 1


def test_closed_idle_connection_is_replaced():
    """Guards against a claim that fails on a closed idle connection.

    The server can close it between two requests. The claim must then be sent
    on a new connection, exactly once.
    """

    async def scenario():
        async with FakeBackend() as backend, Relay(backend.address) as relay:
            async with daemon_context(
                document({'s': relay.address})
            ) as context:
                async with DispatchController(context) as controller:
                    dispatcher = Dispatcher(backend, context, controller)
                    await dispatcher.send(work_request())
                    relay.cut()
                    await asyncio.sleep(0.02)
                    claim = work_request(**CLAIM_FIELDS)
                    reply = await dispatcher.send(claim)
                    assert reply.code == ResultCode.COMPLETE
                    assert backend.attempts.count(claim.attempt_id) == 1

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_claim_on_a_cut_connection_is_unknown():
    """Guards against a claim that runs twice after its connection was reset.

    Its bytes were sent, so it may have run, and must not be sent again.
    """

    async def scenario():
        async with FakeBackend() as backend, Relay(backend.address) as relay:
            async with daemon_context(
                document({'s': relay.address})
            ) as context:
                async with DispatchController(context) as controller:
                    dispatcher = Dispatcher(backend, context, controller)
                    claim = work_request(delay_s=0.2, **CLAIM_FIELDS)
                    running = dispatcher.start(claim)
                    await dispatcher.wait_for_running(1)
                    relay.cut()
                    reply = await running
                    assert reply.code == ResultCode.SERVER_CLOSED
                    assert reply.run == RunState.UNKNOWN
                    assert backend.attempts.count(claim.attempt_id) == 1
                    # The server still accepts connections, so it did not crash.
                    assert not context.board.read(SUSPECT_FINGERPRINTS)

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_refused_connection_promises_not_run():
    """Guards against `unknown` for work that certainly did not run.

    If the connection is refused, no byte was sent.
    """

    async def scenario(dispatcher):
        await dispatcher.backend.__aexit__()
        reply = await dispatcher.send(work_request(**CLAIM_FIELDS))
        code = ResultCode.SERVER_UNREACHABLE
        assert (reply.code, reply.run) == (code, RunState.NOT_RUN)

    run_scenario(scenario)


def test_solo_work_runs_alone():
    """Guards against a suspected request that crashes a server with others.

    It must run alone: after the running work has ended, and before the next
    work starts.
    """

    async def scenario(dispatcher):
        await dispatcher.raise_limit()
        before = dispatcher.start(work_request(delay_s=0.1))
        await dispatcher.wait_for_running(1)
        solo = dispatcher.start(work_request(delay_s=0.1, solo=True))
        after = dispatcher.start(work_request(delay_s=0.1))
        await before
        await dispatcher.wait_for_running(1)
        dispatcher.backend.peak_in_flight = 0
        await asyncio.gather(solo, after)
        assert dispatcher.backend.peak_in_flight == 1

    run_scenario(scenario)


@asynccontextmanager
async def listening_peer(context, *, acknowledges=True):
    """Add a member ``b`` that collects notices, and a dead member ``c``."""
    options = PeerOptions('b', 1, free_address())
    async with PeerNetwork(options, LoopTimers()) as peer:
        notices = []

        async def acknowledge(_, notice):
            notices.append(notice)
            return SuspectNoticeAck()

        peer.on_message(SuspectNotice, lambda _, notice: notices.append(notice))
        if acknowledges:
            peer.on_request(SuspectNotice, acknowledge)
        context.peers.set_address('b', options.listen_address)
        context.board.post(
            MEMBERS,
            {'a': record('a'), 'b': record('b'), 'c': record('c', DEAD)},
        )
        yield notices


def test_crashing_request_is_blocked_after_the_second_loss():
    """Guards against a request that crashes one server after the other.

    It is a suspect after the first loss, and runs alone. After the second
    loss it must be blocked until an operator clears it. Peers must get a
    notice of each step.
    """

    async def scenario(dispatcher):
        address = dispatcher.backend.address
        async with listening_peer(dispatcher.context) as notices:
            first = work_request('crash', fingerprint=5)
            reply = await dispatcher.send(first)
            assert (reply.code, reply.run) == (3105, RunState.UNKNOWN)
            assert dispatcher.context.board.read(SUSPECT_FINGERPRINTS) == {5}
            assert [notice.loss_id for notice in notices] == ['s@1']
            async with FakeBackend('s', 2, address):
                reply = await dispatcher.send(
                    work_request('crash', fingerprint=5)
                )
                assert reply.code == ResultCode.SERVER_CLOSED
                assert dispatcher.context.board.read(BLOCKED_FINGERPRINTS) == {
                    5
                }
            async with FakeBackend('s', 3, address) as third:
                reply = await dispatcher.send(
                    work_request('crash', fingerprint=5)
                )
                assert reply.code == ResultCode.REQUEST_BLOCKED
                assert reply.run == RunState.NOT_RUN
                assert not third.attempts
                assert dispatcher.controller.clear(5)
                assert not dispatcher.context.board.read(BLOCKED_FINGERPRINTS)
            await asyncio.sleep(1.1)
        received = [
            (notice.loss_id, notice.alone, notice.cleared) for notice in notices
        ]
        first, second = ('s@1', False, False), ('s@2', True, False)
        assert received == [first, first, second, *[('', False, True)] * 2]

    run_scenario(scenario)


def test_notice_without_acknowledgement_is_repeated():
    """Guards against a peer that never learns of a loss.

    Its notice can be lost, and must be sent again until it is acknowledged.
    """

    async def scenario(dispatcher):
        peer = listening_peer(dispatcher.context, acknowledges=False)
        async with peer as notices:
            await dispatcher.send(work_request('crash', fingerprint=5))
            assert not notices
            await asyncio.sleep(1.1)
            assert [notice.loss_id for notice in notices] == ['s@1']

    run_scenario(scenario)


def test_crash_notices_of_peers_are_applied():
    """Guards against a request that crashes the servers of each dispatcher.

    Notices of peers must count like losses at this daemon. A repeated notice
    must count once.
    """

    async def scenario(dispatcher):
        board, send = dispatcher.context.board, dispatcher.context.peers.send
        send('a', SuspectNotice(9, 'x@1'))
        send('a', SuspectNotice(9, 'x@1'))
        await asyncio.sleep(0.01)
        assert board.read(SUSPECT_FINGERPRINTS) == {9}
        send('a', SuspectNotice(9, 'y@1', alone=True))
        await asyncio.sleep(0.01)
        assert board.read(BLOCKED_FINGERPRINTS) == {9}
        send('a', SuspectNotice(9, '', cleared=True))
        await asyncio.sleep(0.01)
        assert not board.read(BLOCKED_FINGERPRINTS)

    run_scenario(scenario)


def test_revision_clears_a_false_verdict():
    """Guards against a request that stays blocked after it was cleared.

    An operator's clearance reaches the daemons with a new revision.
    """

    async def scenario(dispatcher):
        board, send = dispatcher.context.board, dispatcher.context.peers.send
        send('a', SuspectNotice(9, 'x@1'))
        send('a', SuspectNotice(9, 'y@1', alone=True))
        await asyncio.sleep(0.01)
        assert board.read(BLOCKED_FINGERPRINTS) == {9}
        base = board.read(DOCUMENT_IN_FORCE)
        cleared = (Clearance(9, base.revision + 1),)
        board.post(
            DOCUMENT_IN_FORCE,
            replace(base, revision=base.revision + 1, cleared=cleared),
        )
        assert not board.read(BLOCKED_FINGERPRINTS)

    run_scenario(scenario)


def test_draining_server_gets_no_new_work():
    """Guards against work that is sent to a draining server.

    Work can already be queued when the state of the server changes.
    """

    async def scenario(dispatcher):
        running = dispatcher.start(work_request(delay_s=0.1))
        await dispatcher.wait_for_running(1)
        waiting = dispatcher.start(work_request())
        await asyncio.sleep(0.01)
        state = ServerState.DRAINING
        record = ServerRecord('s', 'v', 'north', 'a', 1, 1, 1, state, 1)
        dispatcher.context.board.post(SERVERS, {'s': record})
        for reply in (await waiting, await dispatcher.send(work_request())):
            assert reply.code == ResultCode.SERVER_DRAINING
            assert reply.run == RunState.NOT_RUN
        assert (await running).code == ResultCode.COMPLETE

    run_scenario(scenario)


def test_drain_finishes_running_and_answers_queued_work():
    """Guards against work that is interrupted or unanswered at a stop.

    Running work must end normally; queued and new work must be refused.
    """

    async def scenario(dispatcher):
        running = dispatcher.start(work_request(delay_s=0.1))
        await dispatcher.wait_for_running(1)
        waiting = dispatcher.start(work_request())
        await asyncio.sleep(0.01)
        assert dispatcher.controller.in_flight == 2
        assert await dispatcher.controller.drain(2)
        assert (await running).code == ResultCode.COMPLETE
        assert (await waiting).code == ResultCode.LEAVING
        assert (
            await dispatcher.send(work_request())
        ).code == ResultCode.LEAVING

    run_scenario(scenario)


def test_queued_work_is_answered_at_its_deadline():
    """Guards against a merger that waits for work past its deadline."""

    async def scenario(dispatcher):
        running = dispatcher.start(work_request(delay_s=0.4))
        await dispatcher.wait_for_running(1)
        started_s = asyncio.get_running_loop().time()
        reply = await dispatcher.send(work_request(deadline_s=0.1))
        waited_s = asyncio.get_running_loop().time() - started_s
        assert reply.code == ResultCode.DEADLINE_UNREACHABLE
        assert waited_s < 0.2
        await running

    run_scenario(scenario)


def test_message_type_is_served():
    """Guards against work messages that no handler is registered for."""

    async def scenario(dispatcher):
        assert isinstance(work_request(), WorkRequest)
        assert (
            await dispatcher.send(work_request())
        ).code == ResultCode.COMPLETE
        assert dispatcher.controller.status()['s']['connections'] == 1

    run_scenario(scenario)


def test_protocol_matches_the_stand_in():
    """Guards against a dispatcher and a stand-in with different protocols.

    Most other tests here use a fake backend server instead.
    """

    async def scenario():
        spec = BackendSpec('s', 'v', switches=BackendSwitches(slots=5))
        async with BackendServer(spec) as server:
            async with daemon_context(
                document({'s': server.address})
            ) as context:
                async with DispatchController(context) as controller:
                    dispatcher = Dispatcher(None, context, controller)
                    query = work_request(version=1, end=2**32)
                    reply = await dispatcher.send(query)
                    assert (reply.code, len(reply.items)) == (1000, 200)
                    reply = await dispatcher.send(work_request(version=2))
                    assert reply.code == ResultCode.VERSION_NOT_HELD
                    reply = await dispatcher.send(work_request(**CLAIM_FIELDS))
                    assert reply.outcome['runs'] == 1
                    reply = await dispatcher.send(
                        work_request(body=b'{"fail":1}', **CLAIM_FIELDS)
                    )
                    assert reply.code == ResultCode.CLAIM_FAILED
                    assert reply.outcome['error']
                    assert reply.run == RunState.RUN
                    # A claim that started runs to its end, past its deadline.
                    server.control({'service_time_s': 0.3})
                    reply = await dispatcher.send(
                        work_request(deadline_s=0.1, **CLAIM_FIELDS)
                    )
                    assert reply.code == ResultCode.COMPLETE
                    query = work_request(version=1, end=9, deadline_s=0.1)
                    reply = await dispatcher.send(query)
                    assert reply.code == ResultCode.DEADLINE_PASSED
                    assert reply.run == RunState.RUN
                    assert controller.status()['s']['connections'] == 2

    asyncio.run(asyncio.wait_for(scenario(), 10))
