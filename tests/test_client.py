"""Client library with daemons that fail."""

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


def claim_all(faults, names=('a',), deadline_s=0.6, attempt_share=0.3, seed=0):
    """Send one claim per name concurrently; return results and fleet."""

    async def run():
        draw = random.Random(seed).random
        async with (
            FaultyFleet(3, tuple(faults)) as fleet,
            fleet.client(draw, attempt_share=attempt_share) as client,
        ):
            results = await asyncio.gather(
                *(
                    client.claim('unlock', {'name': name}, deadline_s)
                    for name in names
                ),
            )
            # Late claims must end before the runs are counted.
            await asyncio.sleep(0.3 if 'late' in faults else 0)
            return dict(zip(names, results, strict=True)), fleet

    return asyncio.run(run())


@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    faults=st.lists(st.sampled_from(FAULTS), max_size=6),
    seed=st.integers(0, 99),
)
def test_claims_run_at_most_once_and_reports_are_true(faults, seed):
    """Guards against claims that run twice or are reported wrongly.

    The client resends claims after failures, some of which happen after the
    claim ran.
    """
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
    """Guards against a claim that fails although a daemon could run it.

    After a failure the client has to send the claim again: with the same
    ticket as long as it may have run, with a new one only after `not_run`.
    """
    results, fleet = claim_all(faults, deadline_s=1.5, attempt_share=0.1)
    result = results['a']
    assert isinstance(result, ClaimResult)
    assert result.outcome == {'ticket': result.ticket}
    assert fleet.runs_by_name == {'a': 1}
    assert len(fleet.sent_tickets) == tickets


def test_unknown_is_never_claimed_under_a_new_ticket():
    """Guards against a second run of a claim with an unknown outcome.

    If the client sent such a claim with a new ticket, it could run again. The
    caller may ask for the outcome later, which seals a ticket that never ran.
    """

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
    """Guards against a new ticket for a claim that was once unknown.

    The ticket is found to be sealed later. Whether to claim again is left to
    the caller.
    """
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
def test_refused_outcome_request_for_an_open_ticket(code, run):
    """Guards against taking a refused outcome request for the outcome.

    While the outcome of a claim is open, a daemon can refuse the request
    itself, for example because it is not ready. The claim may still run, so
    it must not be sent with a new ticket then.
    """

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
    """Guards against an address request per query, and load on one daemon.

    This would happen if the client did not cache the addresses, or always
    used the first one.
    """

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
            paths_by_daemon = [
                daemon.requested_paths for daemon in fleet.daemons
            ]
            address_request_counts = [
                paths.count('/v1/addresses') for paths in paths_by_daemon
            ]
            assert sum(address_request_counts) == 1
            assert all(
                paths.count('/v1/query') > 3 for paths in paths_by_daemon
            )

    asyncio.run(run())


def test_concurrent_claims_share_one_fetch_of_tickets():
    """Guards against one request for tickets per concurrent claim.

    Claims that start together while there are no tickets must share one.
    """
    results, fleet = claim_all([], names=('a', 'b', 'c', 'd'))
    paths = [
        path for daemon in fleet.daemons for path in daemon.requested_paths
    ]
    assert paths.count('/v1/addresses') == 1
    assert len({result.ticket for result in results.values()}) == 4


def test_addresses_expire():
    """Guards against queries to a daemon that left the fleet.

    This would happen if cached addresses were used for longer than `keep_s`.
    """

    async def run():
        async with (
            FaultyFleet(2, keep_s=0.1) as fleet,
            fleet.client() as client,
        ):
            for daemon in fleet.daemons:
                await client.query('lookup', {}, 1)
                fleet.dead_daemons = {daemon}
                await asyncio.sleep(0.12)
                count_before = len(daemon.requested_paths)
                await client.query('lookup', {}, 1)
                paths = daemon.requested_paths[count_before:]
                assert '/v1/query' not in paths

    asyncio.run(run())


def test_query_is_resent_within_its_deadline():
    """Guards against a query that fails because one daemon is dead or silent.

    The client must resend it to another daemon within the deadline, and avoid
    the silent daemon for the next queries.
    """

    async def run():
        async with FaultyFleet(3) as fleet, fleet.client() as client:
            assert isinstance(await client.query('lookup', {}, 1), QueryResult)
            used = next(
                daemon
                for daemon in fleet.daemons
                if '/v1/query' in daemon.requested_paths
            )
            used.delay_s = 5
            assert isinstance(await client.query('lookup', {}, 1), QueryResult)
            # The next query avoids the silent daemon.
            assert isinstance(await client.query('lookup', {}, 1), QueryResult)
            assert used.requested_paths.count('/v1/query') == 2
            fleet.dead_daemons.add(used)
            await used.server.__aexit__()
            assert isinstance(await client.query('lookup', {}, 1), QueryResult)

    asyncio.run(run())


def test_overload_is_not_answered_with_resends():
    """Guards against resends that add load to overloaded daemons.

    A refusal for overload must be returned to the caller at once.
    """

    async def refuse(request):
        return Failure(ResultCode.QUEUE_FULL, 'full', retry_after_s=1)

    async def run():
        async with FaultyFleet(3) as fleet, fleet.client() as client:
            for daemon in fleet.daemons:
                daemon.answer = refuse
            refused = await client.query('lookup', {}, 1)
            assert refused.code is ResultCode.QUEUE_FULL
            assert refused.retry_after_s == 1
            paths = [
                path
                for daemon in fleet.daemons
                for path in daemon.requested_paths
            ]
            assert paths.count('/v1/query') == 1

    asyncio.run(run())


def test_leaving_daemon_gets_no_claims():
    """Guards against claims with a ticket of a daemon that is leaving.

    Its issuer may have stopped before the claim arrives.
    """

    async def run():
        async with FaultyFleet(2) as fleet, fleet.client() as client:
            fleet.daemons[0].board.post(PHASE, Phase.LEAVING)
            result = await client.claim('unlock', {'name': 'a'}, 1)
            assert result.ticket.startswith('d1-')

    asyncio.run(run())


def test_unused_ticket_of_a_stopped_issuer_is_dropped():
    """Guards against claims with a cached ticket of a stopped daemon.

    The witness of the ticket may have stopped as well, and the claim would
    then end as `unknown`. The client must drop such tickets.
    """

    async def run() -> None:
        async with FaultyFleet(2) as fleet, fleet.client() as client:
            first = await client.claim('unlock', {'name': 'a'}, 1)
            assert isinstance(first, ClaimResult)
            stopped = fleet.daemons[0]
            await stopped.server.__aexit__()
            fleet.dead_daemons.add(stopped)
            # The client has to notice that its idle connection was closed.
            await asyncio.sleep(0.05)
            second = await client.claim('unlock', {'name': 'b'}, 1)
            assert isinstance(second, ClaimResult)
            assert not fleet.sealed_tickets

    asyncio.run(run())


def test_all_daemons_down():
    """Guards against calls that hang, or report `unknown`, without a daemon.

    All connections are refused, so the claim certainly did not run.
    """

    async def run():
        async with FaultyFleet(2) as fleet, fleet.client() as client:
            for daemon in fleet.daemons:
                await daemon.server.__aexit__()
            async with asyncio.timeout(1):
                result = await client.claim('unlock', {'name': 'a'}, 0.3)
                assert result.run is RunState.NOT_RUN
                failure = await client.query('lookup', {}, 0.3)
                assert isinstance(failure, Failure)

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
def test_wrong_or_malformed_answers_are_rejected(fields):
    """Guards against accepting a wrong or malformed answer.

    It may belong to another request, lack fields, have a field of a wrong
    type, or not be JSON.
    """

    async def answer(request):
        if request.path == '/v1/addresses':
            return HttpResponse(
                200,
                b'{"addresses":[],"keep_s":1,"tickets":["d0-0"]}',
            )
        valid_fields = b'"code":1002,"rank":"urgent","outcome":1,"snapshot":1,'
        valid_fields += b'"coverage":1,"missing":[],"items":[],'
        return HttpResponse(200, b'{' + valid_fields + fields + b'}')

    async def run():
        async with HttpServer('127.0.0.1:0', HttpLimits(), answer) as server:
            fleet = FaultyFleet(1)
            fleet.daemons[0].server = server
            async with fleet.client() as client:
                result = await client.claim('unlock', {'name': 'a'}, 0.3)
                assert result.run is RunState.UNKNOWN
                failure = await client.query('lookup', {}, 0.3)
                assert isinstance(failure, Failure)

    asyncio.run(run())
