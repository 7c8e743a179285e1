"""The query controller against in-process dispatchers in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.bench.fake_fleet import (
    FakeFleet,
    correct_reply,
    refuse_with,
    shard_range,
)
from boragespool.bench.virtual_time import run_in_virtual_time
from boragespool.blackboard.topics import (
    BLOCKED_FINGERPRINTS,
    SUSPECT_FINGERPRINTS,
)
from boragespool.controllers.queries.query import QueryController
from boragespool.controllers.queries.query_state import KnownGoodFingerprints
from boragespool.results import Failure, ResultCode
from boragespool.routing import fingerprint_of
from boragespool.settings import HedgingSettings
from boragespool.types import RunState, ServerState
from tests.query_cases import (
    NO_HEDGES,
    SMALL_FLEET,
    query,
    replicas,
    run_queries,
    set_behaviour,
)


def test_whole_answer():
    """Guards against repeated requests to a shard and against lost items."""
    fleet = FakeFleet(SMALL_FLEET, 1)
    ((answer, took_s),) = run_queries(fleet, query())
    assert answer.code == ResultCode.COMPLETE
    assert answer.coverage == 1
    assert answer.missing == ()
    assert [item.value[0] for item in answer.items] == ['q'] * 4
    assert answer.attempts == sum(fleet.requests_by_server.values()) == 4
    assert took_s < 0.02


def test_silent_shard_gives_true_coverage_at_the_deadline():
    """Guards against late answers and false coverage when a shard is silent.

    The answer must come at the deadline and report the shard as missing.
    """
    fleet = FakeFleet(SMALL_FLEET, 1)
    set_behaviour(fleet, replicas(2), lambda _: None)
    ((answer, took_s),) = run_queries(fleet, query(deadline_s=0.2))
    assert answer.code == ResultCode.PARTIAL
    assert answer.coverage == 0.75
    assert answer.missing == (shard_range(2, 4),)
    assert 0.19 <= took_s <= 0.2
    assert fleet.cancel_count == 1


def test_straggler_is_hedged_and_cancelled():
    """Guards against one slow reply that delays the whole query.

    A hedge to another replica must answer, and the slow attempt must be
    cancelled. Without hedges the same replies take longer than 0.3 s.
    """
    slowest_s = []
    for options in (SMALL_FLEET, NO_HEDGES):
        fleet = FakeFleet(options, 1)
        set_behaviour(
            fleet,
            ['s1r0', 's2r1'],
            lambda asked: (
                correct_reply(asked) if 'warm' in asked.request_id else None
            ),
        )
        results = run_queries(
            fleet, *[query(str(n)) for n in range(10)], warmup_count=14
        )
        slowest_s.append(max(took_s for _, took_s in results))
        if options is SMALL_FLEET:
            assert all(answer.coverage == 1 for answer, _ in results)
            assert fleet.cancel_count > 0
    assert slowest_s[0] < 0.05
    assert slowest_s[1] > 0.3


def test_refused_attempt_is_retried_elsewhere():
    """Guards against lower coverage when one replica refuses.

    The attempt must be retried at another replica of the shard.
    """
    for code in (
        ResultCode.SERVER_SHED,
        ResultCode.SERVER_DRAINING,
        ResultCode.SERVER_UNREACHABLE,
        ResultCode.SERVER_REPLY_INVALID,
    ):
        fleet = FakeFleet(SMALL_FLEET, 1)
        set_behaviour(fleet, ['s0r0', 's0r1'], refuse_with(code))
        ((answer, _),) = run_queries(fleet, query())
        assert answer.coverage == 1, code


def test_retry_waits_a_little_for_a_token():
    """Guards against partial answers while the retry budget is empty.

    The first queries after the loss of a replica spend all tokens. A retry
    must wait for a token that another query earns.
    """
    hedging = HedgingSettings(quantile=1, budget_ratio=0.25, burst=1)
    fleet = FakeFleet(replace(SMALL_FLEET, hedging=hedging), 1)
    for shard in (0, 1):
        refused = refuse_with(ResultCode.SERVER_SHED)
        set_behaviour(
            fleet,
            replicas(shard),
            lambda asked, seen=set(): (
                correct_reply(asked)
                if asked.request_id == 'b' or asked.start in seen
                else seen.add(asked.start) or refused(asked)
            ),
        )

    async def run():
        async with QueryController(fleet.context()) as controller:
            first = asyncio.create_task(controller.answer(query('a')))
            await asyncio.sleep(0.03)
            assert not first.done()
            await controller.answer(query('b'))
            return await first

    assert run_in_virtual_time(run()).coverage == 1


def test_one_lost_server_does_not_stop_hedging():
    """Guards against a query that stops hedging after one lost server.

    A request is suspected of crashing servers only if it lost most of the
    servers it was sent to. After one loss, the straggler of another shard
    must still be hedged.
    """
    fleet = FakeFleet(SMALL_FLEET, 1)
    crash = refuse_with(ResultCode.SERVER_CLOSED, RunState.UNKNOWN)
    set_behaviour(
        fleet,
        ['s1r0', 's1r1', 's1r2'],
        lambda asked: (
            correct_reply(asked) if 'warm' in asked.request_id else None
        ),
    )
    set_behaviour(
        fleet,
        replicas(2),
        lambda asked: (
            correct_reply(asked)
            if 'warm' in asked.request_id or asked.solo
            else crash(asked)
        ),
    )
    run_queries(fleet, query(), warmup_count=14)
    assert sum(fleet.requests_by_server[name] for name in replicas(1)) == 3


def test_not_run_is_only_said_when_no_attempt_could_have_run():
    """Guards against a false `not_run`, on which callers rely.

    It is only true if every attempt was refused before it ran; an attempt of
    unknown state, or without a reply, may have run.
    """
    everywhere = [name for shard in range(4) for name in replicas(shard)]
    for run, expected in (
        (RunState.NOT_RUN, Failure),
        (RunState.UNKNOWN, None),
    ):
        fleet = FakeFleet(SMALL_FLEET, 1)
        set_behaviour(fleet, everywhere, refuse_with(ResultCode.SERVER_SHED))
        set_behaviour(
            fleet, replicas(3), refuse_with(ResultCode.SERVER_CLOSED, run)
        )
        ((answer, _),) = run_queries(fleet, query())
        if expected is Failure:
            assert isinstance(answer, Failure)
            assert answer.run == RunState.NOT_RUN
        else:
            assert answer.code == ResultCode.PARTIAL
            assert answer.coverage == 0
    fleet = FakeFleet(SMALL_FLEET, 1)
    set_behaviour(fleet, everywhere, lambda _: None)
    ((answer, _),) = run_queries(fleet, query())
    assert not isinstance(answer, Failure)


def test_hedge_avoids_servers_that_began_to_leave():
    """Guards against hedges to servers that began to drain meanwhile.

    The replicas are known from the plan, but their state can change between
    the first attempt and the hedge.
    """
    fleet = FakeFleet(SMALL_FLEET, 1)
    set_behaviour(
        fleet,
        replicas(1),
        lambda asked: (
            correct_reply(asked) if 'warm' in asked.request_id else None
        ),
    )

    async def run():
        async with QueryController(fleet.context()) as controller:
            for number in range(14):
                await controller.answer(query(f'warm{number}'))
            fleet.requests_by_server.clear()
            for name in replicas(1):
                asyncio.get_running_loop().call_later(
                    0.001,
                    lambda name=name: fleet.announce(
                        name,
                        state=ServerState.DRAINING,
                    ),
                )
            await controller.answer(query())

    run_in_virtual_time(run())
    assert sum(fleet.requests_by_server[name] for name in replicas(1)) == 1


def test_blocked_and_suspect_requests():
    """Guards against a crashing request that reaches one server per shard.

    A blocked fingerprint must be refused before any attempt, also during a
    query; a suspect one must run alone on its server.
    """
    fingerprint = fingerprint_of('find', b'{}')
    fleet = FakeFleet(SMALL_FLEET, 1)
    fleet.board.post(BLOCKED_FINGERPRINTS, frozenset([fingerprint]))
    ((answer, _),) = run_queries(fleet, query())
    assert answer.code == ResultCode.REQUEST_BLOCKED
    assert answer.run == RunState.NOT_RUN
    assert not fleet.requests_by_server
    fleet = FakeFleet(SMALL_FLEET, 1)
    fleet.board.post(SUSPECT_FINGERPRINTS, frozenset([fingerprint]))
    ((answer, _),) = run_queries(fleet, query())
    assert answer.coverage == 1
    assert all(asked.solo for asked in fleet.requests)
    crash = refuse_with(ResultCode.SERVER_CLOSED, RunState.UNKNOWN)
    set_behaviour(fleet, [f's0r{n}' for n in range(3)], crash)
    fleet.requests_by_server.clear()

    def block(message):
        fleet.board.post(BLOCKED_FINGERPRINTS, frozenset([fingerprint]))
        return crash(message)

    set_behaviour(fleet, replicas(0), block)
    ((answer, _),) = run_queries(fleet, query())
    assert answer.code == ResultCode.REQUEST_BLOCKED
    assert answer.run == RunState.UNKNOWN
    assert sum(fleet.requests_by_server.values()) == 1


def test_canary_runs_first_and_once_per_fingerprint():
    """Guards against an unseen request that crashes one server per shard.

    The first request with a fingerprint runs on one shard before the others;
    a later one with the same fingerprint doesn't wait for that.
    """
    fleet = FakeFleet(replace(SMALL_FLEET, canary=True), 1)
    crash = refuse_with(ResultCode.SERVER_CLOSED, RunState.UNKNOWN)
    everywhere = [name for shard in range(4) for name in replicas(shard)]
    set_behaviour(fleet, everywhere, crash)
    run_queries(fleet, query(body=b'bad'))
    assert set(fleet.requests_by_server) <= set(replicas(0))
    assert [asked.solo for asked in fleet.requests] == [False, True, True]
    fleet.behaviour_by_server.clear()
    (_, first_s), (_, second_s) = run_queries(fleet, query(), query())
    assert second_s < first_s * 0.7
    good = KnownGoodFingerprints(2)
    for fingerprint in (1, 2, 1, 3):
        good.add(fingerprint)
    assert [number in good for number in (1, 2, 3)] == [True, False, True]


def test_query_that_cannot_meet_its_deadline_is_refused_early():
    """Guards against queries that wait for a deadline they cannot meet.

    If all replicas report waits beyond the deadline, the query must be
    refused without an attempt, and only until the reported wait is over.
    """
    fleet = FakeFleet(SMALL_FLEET, 1)
    everywhere = [name for shard in range(4) for name in replicas(shard)]

    def full(message):
        refused = refuse_with(ResultCode.QUEUE_FULL)(message)
        return replace(refused, waits_s=(0.0, 0.5, 0.5), retry_after_s=0.5)

    set_behaviour(fleet, everywhere, full)

    async def run():
        async with QueryController(fleet.context()) as controller:
            full_answer = await controller.answer(query())
            sent = len(fleet.requests)
            early = await controller.answer(query(deadline_s=0.3))
            assert len(fleet.requests) == sent
            fleet.behaviour_by_server.clear()
            await asyncio.sleep(early.retry_after_s)
            return full_answer, early, await controller.answer(query())

    full_answer, early, after = run_in_virtual_time(run())
    assert full_answer.code == ResultCode.QUEUE_FULL
    assert early.code == ResultCode.DEADLINE_UNREACHABLE
    assert early.run == RunState.NOT_RUN
    assert 0 < early.retry_after_s < 0.5
    assert after.coverage == 1


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.sampled_from([0, 0.045, 0.1]), st.integers(0, 30))
def test_second_attempts_stay_within_the_budget(ratio, burst):
    """An outage must not multiply the load on the servers that are left."""
    # Guards against retries and hedges beyond the token budget when replicas
    # are silent or shed their load.
    hedging = HedgingSettings(budget_ratio=ratio, burst=burst)
    fleet = FakeFleet(replace(SMALL_FLEET, hedging=hedging), 1)
    set_behaviour(fleet, replicas(0), lambda _: None)
    shed = refuse_with(ResultCode.SERVER_SHED)
    for shard in (1, 2):
        set_behaviour(fleet, replicas(shard), shed)
    results = run_queries(fleet, *[query(str(n), 0.1) for n in range(40)])
    firsts = 4 * len(results)
    assert (
        firsts
        <= sum(fleet.requests_by_server.values())
        <= firsts * (1 + ratio) + burst
    )
