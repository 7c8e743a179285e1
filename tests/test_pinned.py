"""Queries whose index version is dropped or repartitioned meanwhile."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from boragespool.bench.fake_fleet import (
    FakeFleet,
    correct_reply,
    shard_range,
)
from boragespool.bench.virtual_time import run_in_virtual_time
from boragespool.controllers.queries.query import QueryController
from boragespool.messages import Holding
from tests.query_cases import (
    SMALL_FLEET,
    query,
    replicas,
    run_queries,
    set_behaviour,
)


def announce_later(fleet, changes_by_server):
    """Announce holdings 30 ms after the start of a query."""

    def announce():
        for server, holdings in changes_by_server.items():
            fleet.announce(server, holdings=holdings)

    asyncio.get_running_loop().call_later(0.03, announce)


def ask_during_change(fleet, changes_by_server):
    """Run a query while holdings change; return the answer and its duration."""

    async def run():
        announce_later(fleet, changes_by_server)
        async with QueryController(fleet.context()) as controller:
            began_s = asyncio.get_running_loop().time()
            answer = await controller.answer(query())
            return answer, asyncio.get_running_loop().time() - began_s

    return run_in_virtual_time(run())


def test_lost_version_restarts_the_query_on_a_newer_one():
    """Guards against lower coverage when servers drop a version mid-query.

    The query must restart on a newer version that is held completely. Without
    one, it must return what the old version still covers, without a delay.
    """
    fleet = FakeFleet(SMALL_FLEET, 1)
    lost = shard_range(1, 4)
    fleet.holds = lambda asked: asked.version == 2 or asked.start != lost[0]
    newer = {
        name: (Holding(2, (shard_range(shard, 4),)),)
        for shard in range(4)
        for name in replicas(shard)
    }
    answer, took_s = ask_during_change(fleet, newer)
    assert (answer.snapshot, answer.coverage) == (2, 1)
    assert {item.value[1] for item in answer.items} == {2}
    assert took_s < 0.1
    older = FakeFleet(SMALL_FLEET, 1)
    older.holds = fleet.holds
    answer, took_s = ask_during_change(older, {})
    assert (answer.snapshot, answer.missing) == (1, (lost,))
    assert took_s < 0.2


def test_repartitioned_shard_is_planned_again_for_the_same_version():
    """Guards against lower coverage when a shard is split mid-query.

    The servers refuse the old range; the query must plan the halves again for
    the same version.
    """
    fleet = FakeFleet(SMALL_FLEET, 1)
    start, end = shard_range(1, 4)
    middle = (start + end) // 2
    actual_range_by_server = {'s1r0': (start, middle), 's1r1': (middle, end)}
    actual_range_by_server['s1r2'] = actual_range_by_server['s1r0']
    fleet.holds = lambda asked: (
        asked.server not in actual_range_by_server
        or actual_range_by_server[asked.server][0] <= asked.start
        and asked.end <= actual_range_by_server[asked.server][1]
    )
    halves = {
        name: (Holding(1, (held,)),)
        for name, held in actual_range_by_server.items()
    }
    answer, _ = ask_during_change(fleet, halves)
    assert (answer.snapshot, answer.coverage) == (1, 1)
    assert len(answer.items) == 5


def test_rest_of_a_narrower_reply_is_asked_again():
    """Guards against a lost rest when a reply covers only part of its range.

    The rest must be requested again, and nothing else.
    """
    fleet = FakeFleet(SMALL_FLEET, 1)
    start, end = shard_range(1, 4)
    middle = (start + end) // 2
    set_behaviour(
        fleet,
        replicas(1),
        lambda asked: (
            correct_reply(replace(asked, end=min(asked.end, middle)))
            if asked.start == start
            else correct_reply(asked)
        ),
    )
    ((answer, _),) = run_queries(fleet, query())
    assert answer.coverage == 1
    assert [asked.start for asked in fleet.requests[4:]] == [middle]
