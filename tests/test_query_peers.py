"""The query controller over real peer links."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from boragespool.bench.fake_fleet import FakeFleet, correct_reply, refuse_with
from boragespool.controllers.queries.query import QueryController
from boragespool.messages import CancelWork, WorkRequest
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState
from tests.query_cases import SMALL_FLEET, query
from tests.test_peers import connected_networks


def test_query_over_links_gets_whole_answers_and_refusals():
    """Guards against messages that work in memory but not over peer links.

    Requests, refusals, silent attempts and cancellations are encoded and
    sent between two daemons.
    """

    async def run() -> None:
        fleet = FakeFleet(replace(SMALL_FLEET, host_count=0), 1)
        async with connected_networks() as (merger, dispatcher):
            fleet.post_members(['b'])
            context = replace(fleet.context(), peers=merger)
            cancelled = []
            dispatcher.on_message(
                CancelWork, lambda _, message: cancelled.append(message)
            )
            async with QueryController(context) as controller:
                refused = await controller.answer(query())
                assert isinstance(refused, Failure)
                assert refused.code == ResultCode.NO_SERVER
                assert refused.run == RunState.NOT_RUN

                async def serve(_, message):
                    if message.request_id == 'silent':
                        await asyncio.sleep(1)
                    if message.server.startswith('s3'):
                        return refuse_with(ResultCode.QUEUE_FULL)(message)
                    return correct_reply(message)

                dispatcher.on_request(WorkRequest, serve)
                answer = await controller.answer(query())
                assert answer.coverage == 0.75
                assert [item.value[0] for item in answer.items] == ['q'] * 3
                late = await controller.answer(query('silent', 0.2))
                assert (late.code, late.coverage) == (ResultCode.PARTIAL, 0)
                await merger.flush(1)
                await asyncio.sleep(0.05)
                assert len(cancelled) == 4

    asyncio.run(run())
