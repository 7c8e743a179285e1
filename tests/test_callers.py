"""Caller API: input checks, answers, refusals and reports."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.blackboard.topics import LOAD, PHASE
from boragespool.http import HttpLimits, HttpRequest, HttpServer
from boragespool.results import Failure, ResultCode
from boragespool.types import Phase, Rank
from tests.caller_fakes import FakeControllers, make_api
from tests.standin_calls import call, decode_response, encode_body

QUERY = {'route': 'lookup', 'caller': 'till', 'body': {'match': 'a'}}
CLAIM = {'route': 'unlock', 'caller': 'till', 'body': {}, 'ticket': 't-0'}


def send(api, method, target, body=None):
    """Handle one request; return the status and the decoded body."""
    request = HttpRequest(method, target, encode_body(body))
    return decode_response(asyncio.run(api.handle(request)))


BAD_BODIES = [
    (b'', ResultCode.MALFORMED_BODY),
    (b'[]', ResultCode.MALFORMED_BODY),
    (b'{"route":', ResultCode.MALFORMED_BODY),
    (b'\xff', ResultCode.MALFORMED_BODY),
    (b'{"a":' * 50_000, ResultCode.MALFORMED_BODY),
    (b'{"a":NaN}', ResultCode.MALFORMED_BODY),
    (b'{"a":1,"a":1}', ResultCode.DUPLICATE_KEY),
    (
        b'{"route":"lookup","caller":"c","body":{"x":[{"y":1,"y":2}]}}',
        ResultCode.DUPLICATE_KEY,
    ),
    *(
        (
            b'{"route":"lookup","caller":"c","body":%s}' % body,
            ResultCode.MALFORMED_BODY,
        )
        for body in (b'[NaN]', b'[1e999]', b'"\\ud800"')
    ),
    ({'route': 'lookup'}, ResultCode.MALFORMED_BODY),
    (QUERY | {'caller': 3}, ResultCode.MALFORMED_BODY),
    (QUERY | {'caller': ''}, ResultCode.MALFORMED_BODY),
    (QUERY | {'deadline': 3}, ResultCode.MALFORMED_BODY),
    (QUERY | {'deadline_ms': '3'}, ResultCode.MALFORMED_BODY),
    (QUERY | {'deadline_ms': True}, ResultCode.MALFORMED_BODY),
    (QUERY | {'request_id': 'x' * 200}, ResultCode.MALFORMED_BODY),
    (QUERY | {'route': 'x'}, ResultCode.UNKNOWN_ROUTE),
    (QUERY | {'route': 'unlock'}, ResultCode.WRONG_FORM),
    (QUERY | {'rank': 'vital'}, ResultCode.UNKNOWN_RANK),
    (QUERY | {'deadline_ms': 0}, ResultCode.DEADLINE_PASSED),
    (QUERY | {'deadline_ms': -5.5}, ResultCode.DEADLINE_PASSED),
]


@pytest.mark.parametrize(('body', 'code'), BAD_BODIES)
def test_bad_queries_get_their_code(body, code):
    """An invalid query must get its code and must not reach a controller.

    Input that passes the checks by mistake would be run in part, or raise
    an exception later.
    """
    controllers = FakeControllers()
    status, refusal = send(make_api(controllers)[0], 'POST', '/v1/query', body)
    assert refusal['code'] == code
    assert 400 <= status < 500
    assert refusal['run'] == 'not_run'
    assert refusal['retry_after_s'] == 0
    assert refusal['reason']
    assert not controllers.requests


@pytest.mark.parametrize(
    ('method', 'target', 'code'),
    [
        ('GET', '/v1/query', ResultCode.WRONG_METHOD),
        ('POST', '/v1/claim/t-0', ResultCode.WRONG_METHOD),
        ('GET', '/v2', ResultCode.UNKNOWN_PATH),
        ('GET', '//[', ResultCode.UNKNOWN_PATH),
        ('GET', '/v1/claim/', ResultCode.BAD_TICKET),
        ('GET', '/v1/claim/%00', ResultCode.BAD_TICKET),
        ('GET', '/v1/claim/' + 'x' * 600, ResultCode.BAD_TICKET),
        ('GET', '/v1/addresses?count=-1', ResultCode.MALFORMED_PARAMETER),
        ('GET', '/v1/addresses?tickets=65', ResultCode.MALFORMED_PARAMETER),
        ('GET', '/v1/addresses?tickets=%C2%B2', ResultCode.MALFORMED_PARAMETER),
    ],
)
def test_bad_targets_get_their_code(method, target, code):
    """A misspelt path or parameter must get its code, not an exception."""
    status, refusal = send(make_api(FakeControllers())[0], method, target)
    assert refusal['code'] == code
    assert 400 <= status < 500


@pytest.mark.parametrize('ticket', ['', 'a b', 'é', 'x' * 600])
def test_bad_tickets_do_not_reach_the_claim_controller(ticket):
    """A ticket that no daemon can have issued must not be recorded."""
    controllers = FakeControllers()
    body = CLAIM | {'ticket': ticket}
    _, refusal = send(make_api(controllers)[0], 'POST', '/v1/claim', body)
    assert refusal['code'] == ResultCode.BAD_TICKET
    assert not controllers.requests


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*CLAIM, 'rank', 'x']), inner)
    ),
    max_leaves=8,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    changed=st.dictionaries(
        st.sampled_from([*CLAIM, 'deadline_ms', 'rank', 'request_id']),
        JSON,
        max_size=3,
    ),
    length=st.integers(0, 40),
)
def test_any_input_gets_a_result_code(changed, length):
    """Any body, valid or truncated, must get a result code.

    A value of an unexpected type would otherwise raise an exception in the
    daemon.
    """
    whole = encode_body(CLAIM | changed)
    for body in (whole, whole[:length]):
        status, answer = send(
            make_api(FakeControllers())[0],
            'POST',
            '/v1/claim',
            body,
        )
        assert answer['code'] in set(ResultCode)
        assert status < 500


@settings(derandomize=True, max_examples=60)
@given(
    rank=st.none() | st.sampled_from(list(Rank)),
    deadline_ms=st.none() | st.floats(0.001, 1e6),
)
def test_callers_may_only_lower_rank_and_deadline(rank, deadline_ms):
    """A caller must not raise its rank or deadline above the route's.

    It would get ahead of the other callers.
    """
    controllers = FakeControllers()
    query = QUERY | {'rank': rank, 'deadline_ms': deadline_ms}
    status, answer = send(make_api(controllers)[0], 'POST', '/v1/query', query)
    assert status == 200
    (request,) = controllers.requests
    is_lower = rank is Rank.DEFERRABLE
    assert request.rank is (Rank.DEFERRABLE if is_lower else None)
    assert request.deadline_s == min(deadline_ms or 800, 800) / 1_000
    assert msgspec.json.decode(request.body) == {'match': 'a'}
    assert (answer['coverage'], answer['snapshot']) == (0.5, 7)
    assert answer['missing'] == [[0, 2**31]]
    assert answer['code'] == ResultCode.PARTIAL


def test_refusals_keep_run_state_and_retry_time():
    """A refusal must state whether the claim ran and when to retry.

    A caller that is told `not_run` for a claim that may have run would
    claim a second time.
    """
    controllers = FakeControllers(
        claim_results=[
            Failure(ResultCode.QUEUE_FULL, 'full', retry_after_s=2),
            Failure(ResultCode.OUTCOME_UNKNOWN, 'lost', 'unknown'),
        ],
    )
    api, _ = make_api(controllers)
    status, refusal = send(api, 'POST', '/v1/claim', CLAIM)
    assert (status, refusal['run'], refusal['retry_after_s']) == (
        429,
        'not_run',
        2,
    )
    body = CLAIM | {'request_id': 'mine'}
    status, refusal = send(api, 'POST', '/v1/claim', body)
    assert (status, refusal['run']) == (504, 'unknown')
    assert refusal['request_id'] == 'mine'
    status, answer = send(api, 'POST', '/v1/claim', CLAIM)
    assert (status, answer['run']) == (200, 'run')
    assert answer['outcome'] == {'ticket': 't-0'}
    assert send(api, 'GET', '/v1/claim/t-0')[1]['outcome'] == answer['outcome']


def test_answer_to_another_request_is_not_returned():
    """An answer with the id of another request must not reach the caller."""
    api, _ = make_api(FakeControllers(wrong_request_id='other'))
    status, refusal = send(api, 'POST', '/v1/query', QUERY)
    assert (status, refusal['run']) == (500, 'unknown')
    assert 'items' not in refusal


def test_exception_in_a_claim_is_reported_as_unknown():
    """An exception while a claim runs must be reported as `unknown`.

    Reported as `not_run`, a claim that did run would be sent again.
    """

    async def fail(request):
        raise ValueError(request)

    async def run():
        api, _ = make_api(FakeControllers(claim_results=[fail]))
        limits = HttpLimits()
        async with HttpServer('127.0.0.1:0', limits, api.handle) as server:
            return await call(server.address, 'POST', '/v1/claim', CLAIM)

    status, refusal = asyncio.run(run())
    assert (status, refusal['run']) == (500, 'unknown')


def test_load_counts_requests_in_flight():
    """The published load must count requests in flight and return to 0.

    Daemons with less load are preferred, so a request that is cancelled but
    still counted would keep callers away for ever.
    """

    async def run():
        api, board = make_api(FakeControllers(delay_s=0.02))
        request = HttpRequest('POST', '/v1/query', encode_body(QUERY))
        running = [asyncio.create_task(api.handle(request)) for _ in '123']
        await asyncio.sleep(0.01)
        assert board.read(LOAD) == api.in_flight == 3
        running[0].cancel()
        await asyncio.gather(*running, return_exceptions=True)
        assert board.read(LOAD) == api.in_flight == 0

    asyncio.run(run())


def test_leaving_daemon_serves_but_gives_no_tickets():
    """A leaving daemon must serve requests but issue no tickets.

    A ticket is used after it was issued, when the daemon has left.
    """
    controllers = FakeControllers(known_addresses=['127.0.0.1:9'])
    api, board = make_api(controllers)
    target = '/v1/addresses?tickets=2&count=1'
    _, answer = send(api, 'GET', target)
    assert answer['tickets'] == ['t-0', 't-1']
    assert (answer['addresses'], answer['keep_s']) == (['127.0.0.1:9'], 5)
    board.post(PHASE, Phase.LEAVING)
    assert send(api, 'GET', target)[1]['tickets'] == []
    assert send(api, 'POST', '/v1/query', QUERY)[0] == 200
    assert send(api, 'GET', '/v1/ready')[1]['code'] == ResultCode.LEAVING
    assert send(api, 'GET', '/v1/health')[0] == 200


def test_daemon_without_revision_is_not_ready():
    """A daemon without a configuration must refuse as not ready.

    It knows no routes; an unknown-route error would tell callers that the
    route does not exist.
    """
    api, _ = make_api(FakeControllers(), Phase.STARTING, settings=None)
    for method, target, body in (
        ('POST', '/v1/query', QUERY),
        ('GET', '/v1/ready', None),
        ('GET', '/v1/addresses', None),
    ):
        status, refusal = send(api, method, target, body)
        assert (status, refusal['code']) == (503, ResultCode.NOT_READY)
    assert send(api, 'GET', '/v1/status')[1]['revision'] == 0


def test_status_and_metrics():
    """Status must have revision, phase and queues, and metrics the counts."""
    api, _ = make_api(FakeControllers())
    _, status = send(api, 'GET', '/v1/status')
    assert (status['revision'], status['phase']) == (3, 'ready')
    assert status['queues'] == {'lots-0': {'urgent': 3}}
    send(api, 'POST', '/v1/query', QUERY)
    response = asyncio.run(api.handle(HttpRequest('GET', '/metrics')))
    assert b'boragespool_requests_total{code="1001"' in response.body


OVERLOADED = Failure(ResultCode.OVERLOADED, 'overloaded', retry_after_s=1)


@pytest.mark.parametrize(
    ('path', 'body'), [('/v1/query', QUERY), ('/v1/claim', CLAIM)]
)
def test_refused_request_reaches_no_controller(path, body):
    """A request refused for overload must reach no controller.

    A refusal has to cost less than an answer, so the next request on the
    connection is deferred too.
    """
    controllers = FakeControllers(refusal=OVERLOADED)
    api, _ = make_api(controllers)
    response = asyncio.run(
        api.handle(HttpRequest('POST', path, encode_body(body), waited_s=0.1))
    )
    status, refusal = decode_response(response)
    assert (status, refusal['code']) == (503, ResultCode.OVERLOADED)
    assert (refusal['run'], refusal['retry_after_s']) == ('not_run', 1)
    assert response.defer_next
    assert controllers.waits_s == [0.1]
    assert not controllers.requests


@pytest.mark.parametrize(
    ('waited_s', 'code'), [(0.49, 1001), (0.5, 1209), (0.7, 1209)]
)
def test_wait_in_the_daemon_counts_against_the_deadline(waited_s, code):
    """Time spent waiting in the daemon must count against the deadline.

    Otherwise work would run whose caller has given up.
    """
    controllers = FakeControllers()
    body = encode_body(QUERY | {'deadline_ms': 500})
    request = HttpRequest('POST', '/v1/query', body, waited_s=waited_s)
    _, answer = decode_response(
        asyncio.run(make_api(controllers)[0].handle(request))
    )
    assert answer['code'] == code
    assert [r.deadline_s for r in controllers.requests] == [
        pytest.approx(0.01) for _ in range(code == 1001)
    ]
