"""Work for a dispatcher that has no revision in force yet."""

from __future__ import annotations

import asyncio

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE
from boragespool.controllers.backend_servers.dispatch import DispatchController
from boragespool.controllers.backend_servers.early_work import EarlyWork
from boragespool.results import ResultCode
from boragespool.timers import VirtualTimers
from boragespool.types import RunState
from tests.fake_backend import (
    FakeBackend,
    daemon_context,
    document,
    work_request,
)


def test_work_before_the_first_revision_is_run():
    """Guards against refused work after the restart of a daemon.

    A new daemon is a member, and gets work, before it has a revision. It
    refused such work as for an unknown server, so that a query failed during
    a rolling restart.
    """

    async def scenario():
        async with (
            FakeBackend() as backend,
            daemon_context(None) as context,
            DispatchController(context),
        ):
            work = asyncio.create_task(
                context.peers.request('a', work_request(), 5)
            )
            await asyncio.sleep(0.05)
            assert not work.done()
            context.board.post(
                DOCUMENT_IN_FORCE, document({'s': backend.address})
            )
            reply = await work
            assert (reply.code, reply.run) == (
                ResultCode.COMPLETE,
                RunState.RUN,
            )
            assert len(backend.attempts) == 1

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_held_work_ends_at_its_deadline():
    """Guards against work that waits for ever, or runs after a refusal."""
    timers = VirtualTimers()
    early_work = EarlyWork(timers)
    replies = []
    early_work.hold(work_request(deadline_s=2), replies.append)
    early_work.hold(work_request(deadline_s=4), replies.append)
    timers.advance(3)
    assert [(reply.code, reply.run) for reply in replies] == [
        (ResultCode.NOT_READY, RunState.NOT_RUN)
    ]
    released = early_work.release()
    assert [work.deadline_s for work, _ in released] == [1]
    timers.advance(3)
    assert len(replies) == 1


def test_cancelled_and_refused_work_is_not_released():
    """Guards against work that runs after its caller has its answer."""
    timers = VirtualTimers()
    early_work = EarlyWork(timers)
    replies = []
    cancelled, refused = work_request(), work_request()
    early_work.hold(cancelled, replies.append)
    early_work.hold(refused, replies.append)
    early_work.cancel(cancelled.attempt_id)
    early_work.refuse_all()
    assert [reply.attempt_id for reply in replies] == [refused.attempt_id]
    assert not early_work.release()


def test_number_of_held_attempts_is_bounded():
    """Guards against memory that grows while no revision can be read."""
    early_work = EarlyWork(VirtualTimers())
    replies = []
    for _ in range(1_010):
        early_work.hold(work_request(), replies.append)
    assert len(replies) == 10
    assert len(early_work.release()) == 1_000
