"""Library for callers against daemons that fail."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.blackboard.topics import PHASE
from boragespool.client import ClaimResult, QueryResult
from boragespool.http import HttpLimits, HttpResponse, HttpServer
from boragespool.results import Failure, ResultCode
from boragespool.types import Phase, Rank, RunState
from tests.faulty_fleet import FaultyFleet

FAULTS = [
    '',
    'die_before',
    'die_after',
    'refuse',
    'late',
    'lose_answer',
    'unknown',
    'unknown_unrun',
]


def claim_all(faults, names=('a',), deadline_s=0.6, share=0.3, seed=0):
    """Claim concurrently; return the results by name and the fleet."""

    async def run():
        draw = random.Random(seed).random
        async with (
            FaultyFleet(3, tuple(faults)) as fleet,
            fleet.client(draw, attempt_share=share) as client,
        ):
            results = await asyncio.gather(
                *(
                    client.claim('unlock', {'name': name}, deadline_s)
                    for name in names
                ),
            )
            # Late work must have ended before the runs are counted.
            await asyncio.sleep(0.3 if 'late' in faults else 0)
            return dict(zip(names, results, strict=True)), fleet

    return asyncio.run(run())


@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    faults=st.lists(st.sampled_from(FAULTS), max_size=6),
    seed=st.integers(0, 99),
)
def test_claims_run_at_most_once_and_reports_are_true(faults, seed):
    """No sequence of failures may run a claim twice or deny that it ran."""
    results, fleet = claim_all(faults, ('a', 'b', 'c'), seed=seed)
    for name, result in results.items():
        runs = fleet.runs_by_name[name]
        assert runs <= 1
        if result.run is RunState.RUN:
            assert runs == 1
        if result.run is RunState.NOT_RUN:
            assert runs == 0


@pytest.mark.parametrize(
    ('faults', 'tickets'),
    [
        ([], 1),
        (['lose_answer'], 1),
        (['die_after'], 1),
        (['unknown'], 1),
        (['die_before'], 2),
        (['refuse', 'refuse'], 3),
        (['late', 'refuse'], 2),
    ],
)
def test_claim_succeeds_after_one_failure(faults, tickets):
    """A claim must be resent, under a new ticket only after `not_run`."""
    results, fleet = claim_all(faults, deadline_s=1.5, share=0.1)
    result = results['a']
    assert isinstance(result, ClaimResult)
    assert result.outcome == {'ticket': result.ticket}
    assert fleet.runs_by_name == {'a': 1}
    assert len(fleet.sent_tickets) == tickets


def test_unknown_is_never_claimed_under_a_new_ticket():
    """A claim that may have run must not run under another ticket."""

    async def run():
        async with (
            FaultyFleet(2, ['unknown']) as fleet,
            fleet.client() as client,
        ):

            async def forget(ticket, request_id):
                return Failure(
                    ResultCode.OUTCOME_UNKNOWN,
                    'forgotten',
                    RunState.UNKNOWN,
                )

            for daemon in fleet.daemons:
                daemon.outcome = forget
            result = await client.claim('unlock', {'name': 'a'}, 0.4)
            assert result.run is RunState.UNKNOWN
            assert fleet.sent_tickets == {('a', result.ticket)}
            del fleet.daemons[0].outcome, fleet.daemons[1].outcome
            later = await client.outcome(result.ticket, 0.4)
            assert isinstance(later, ClaimResult)
            sealed = await client.outcome('d0-99', 0.4)
            assert sealed.code is ResultCode.NOT_RUN_SEALED

    asyncio.run(run())


def test_sealed_after_unknown_is_left_to_the_caller():
    """After `unknown` the library must not claim under a new ticket."""
    results, fleet = claim_all(['unknown_unrun'])
    assert results['a'].code is ResultCode.NOT_RUN_SEALED
    assert len(fleet.sent_tickets) == 1
    assert not fleet.runs_by_name


@pytest.mark.parametrize(
    ('code', 'run'),
    [
        (ResultCode.NO_SERVER, RunState.RUN),
        (ResultCode.NOT_READY, RunState.UNKNOWN),
        (ResultCode.TOO_MANY_CONNECTIONS, RunState.UNKNOWN),
    ],
)
def test_refused_question_about_an_open_ticket(code, run):
    """A daemon that refuses a question does not vouch for the ticket."""

    async def refuse(ticket, request_id):
        return Failure(code, 'refused')

    async def run_claim():
        async with (
            FaultyFleet(2, ['late', 'refuse']) as fleet,
            fleet.client(attempt_share=0.2) as client,
        ):
            for daemon in fleet.daemons:
                daemon.outcome = refuse
            result = await client.claim('unlock', {'name': 'a'}, 0.8)
            assert result.run is run

    asyncio.run(run_claim())


def test_addresses_are_cached_and_spread():
    """Callers must neither ask for addresses each time nor use one daemon."""

    async def run():
        draw = random.Random(1).random
        async with FaultyFleet(3) as fleet, fleet.client(draw) as client:
            for _ in range(10):
                answers = await asyncio.gather(
                    *(
                        client.query('lookup', {}, 1, Rank.DEFERRABLE)
                        for _ in range(3)
                    ),
                )
                assert {answer.rank for answer in answers} == {Rank.DEFERRABLE}
            seen = [daemon.requested_paths for daemon in fleet.daemons]
            asked = [paths.count('/v1/addresses') for paths in seen]
            assert sum(asked) == 1
            assert all(paths.count('/v1/query') > 3 for paths in seen)

    asyncio.run(run())


def test_concurrent_claims_share_one_fetch_of_tickets():
    """A burst of claims must not become a burst of address requests."""
    results, fleet = claim_all([], names=('a', 'b', 'c', 'd'))
    seen = [path for daemon in fleet.daemons for path in daemon.requested_paths]
    assert seen.count('/v1/addresses') == 1
    assert len({result.ticket for result in results.values()}) == 4


def test_addresses_expire():
    """A daemon that left must not be used after `keep_s`."""

    async def run():
        async with (
            FaultyFleet(2, keep_s=0.1) as fleet,
            fleet.client() as client,
        ):
            for daemon in fleet.daemons:
                await client.query('lookup', {}, 1)
                fleet.dead_daemons = {daemon}
                await asyncio.sleep(0.12)
                served = len(daemon.requested_paths)
                await client.query('lookup', {}, 1)
                paths = daemon.requested_paths[served:]
                assert '/v1/query' not in paths

    asyncio.run(run())


def test_query_is_resent_within_its_deadline():
    """A dead or silent daemon must not cost the caller its answer."""

    async def run():
        async with FaultyFleet(3) as fleet, fleet.client() as client:
            assert isinstance(await client.query('lookup', {}, 1), QueryResult)
            first = next(
                daemon
                for daemon in fleet.daemons
                if '/v1/query' in daemon.requested_paths
            )
            first.delay_s = 5
            assert isinstance(await client.query('lookup', {}, 1), QueryResult)
            # The silent daemon is avoided by the next query.
            assert isinstance(await client.query('lookup', {}, 1), QueryResult)
            assert first.requested_paths.count('/v1/query') == 2
            fleet.dead_daemons.add(first)
            await first.server.__aexit__()
            assert isinstance(await client.query('lookup', {}, 1), QueryResult)

    asyncio.run(run())


def test_overload_is_not_answered_with_resends():
    """Resends after a refusal for overload would add load to it."""

    async def refuse(request):
        return Failure(ResultCode.QUEUE_FULL, 'full', retry_after_s=1)

    async def run():
        async with FaultyFleet(3) as fleet, fleet.client() as client:
            for daemon in fleet.daemons:
                daemon.answer = refuse
            refused = await client.query('lookup', {}, 1)
            assert refused.code is ResultCode.QUEUE_FULL
            assert refused.retry_after_s == 1
            seen = [
                path
                for daemon in fleet.daemons
                for path in daemon.requested_paths
            ]
            assert seen.count('/v1/query') == 1

    asyncio.run(run())


def test_leaving_daemon_gets_no_claims():
    """A claim must use the ticket of a daemon that stays."""

    async def run():
        async with FaultyFleet(2) as fleet, fleet.client() as client:
            fleet.daemons[0].board.post(PHASE, Phase.LEAVING)
            result = await client.claim('unlock', {'name': 'a'}, 1)
            assert result.ticket.startswith('d1-')

    asyncio.run(run())


def test_unused_ticket_of_a_stopped_issuer_is_dropped():
    """Its witness can have stopped too; others then answer `unknown`."""

    async def run() -> None:
        async with FaultyFleet(2) as fleet, fleet.client() as client:
            first = await client.claim('unlock', {'name': 'a'}, 1)
            assert isinstance(first, ClaimResult)
            stopped = fleet.daemons[0]
            await stopped.server.__aexit__()
            fleet.dead_daemons.add(stopped)
            # The idle connection has to be seen closed.
            await asyncio.sleep(0.05)
            second = await client.claim('unlock', {'name': 'b'}, 1)
            assert isinstance(second, ClaimResult)
            assert not fleet.sealed_tickets

    asyncio.run(run())


def test_all_daemons_down():
    """Without a daemon a claim was not run, and the call must end in time."""

    async def run():
        async with FaultyFleet(2) as fleet, fleet.client() as client:
            for daemon in fleet.daemons:
                await daemon.server.__aexit__()
            async with asyncio.timeout(1):
                result = await client.claim('unlock', {'name': 'a'}, 0.3)
                assert result.run is RunState.NOT_RUN
                lost = await client.query('lookup', {}, 0.3)
                assert isinstance(lost, Failure)

    asyncio.run(run())


@pytest.mark.parametrize(
    'fields',
    [
        b'"request_id":"other","run":"run"',
        b'"run":"run"',
        b'"request_id":3',
        b'nonsense',
    ],
)
def test_crossed_or_broken_answers_are_not_believed(fields):
    """A caller must not take the answer to another claim for its own."""

    async def answer(request):
        if request.path == '/v1/addresses':
            return HttpResponse(
                200,
                b'{"addresses":[],"keep_s":1,"tickets":["d0-0"]}',
            )
        whole = b'"code":1002,"rank":"urgent","outcome":1,"snapshot":1,'
        whole += b'"coverage":1,"missing":[],"items":[],'
        return HttpResponse(200, b'{' + whole + fields + b'}')

    async def run():
        async with HttpServer('127.0.0.1:0', HttpLimits(), answer) as server:
            fleet = FaultyFleet(1)
            fleet.daemons[0].server = server
            async with fleet.client() as client:
                result = await client.claim('unlock', {'name': 'a'}, 0.3)
                assert result.run is RunState.UNKNOWN
                lost = await client.query('lookup', {}, 0.3)
                assert isinstance(lost, Failure)

    asyncio.run(run())
