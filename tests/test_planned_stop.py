"""Requests that reach a daemon while it stops as planned."""

from __future__ import annotations

import asyncio

import pytest

from boragespool.forwarding import can_finish_before_stop
from boragespool.forwarding.routes import ForwardRoute
from boragespool.http import HttpResponse
from tests.platform_standins.cluster import route, run, send, wait_until

GRACE_S = 3


def forward_route(*, idempotent, shards=()):
    """Return a route with a target latency of 0.4 s."""
    return ForwardRoute(
        name='r-0',
        domain='shop.example',
        prefix='/',
        idempotent=idempotent,
        max_attempt_count=2,
        timeout_s=6,
        target_latency_s=0.4,
        priority=0,
        shards=shards,
    )


@pytest.mark.parametrize(
    ('idempotent', 'usual_s', 'left_s', 'expected'),
    [
        (True, 1, 1.4, False),
        (True, 1, 1.5, True),
        (False, 1, 2.9, False),
        (False, 1, 3, True),
        (True, None, 0.5, False),
        (True, None, 0.7, True),
        (True, 0.01, 0, False),
    ],
)
def test_admission_while_stopping(idempotent, usual_s, left_s, expected):
    """The less a request may be repeated, the more time must be left."""
    allowed = can_finish_before_stop(
        forward_route(idempotent=idempotent), usual_s, left_s
    )
    assert allowed is expected


def test_gather_needs_its_target_latency():
    """A gather waits for late shards until its target latency."""
    gather = forward_route(idempotent=True, shards=('s-0', 's-1'))
    assert not can_finish_before_stop(gather, 0.01, 0.5)
    assert can_finish_before_stop(gather, 0.01, 0.7)


def test_requests_late_in_the_grace_are_never_cut_off():
    """Each request of a planned stop must get an answer or a true refusal.

    Work of 2 s that arrives 1 s after the stop began cannot end within a
    grace of 3 s. It was passed on and cut off; what must not be repeated was
    lost.
    """

    async def scenario(cluster):
        server = await cluster.serve('one', 'i-a', body=b'answer', delay_s=2)
        cluster.configure(
            route(
                service='one',
                type='non_idempotent',
                timeout_ms=6000,
                target_latency_ms=2500,
            )
        )
        daemon = await cluster.start(bounds={'grace_s': GRACE_S})
        early = asyncio.create_task(
            send(daemon, method='POST', body=b'x', request_id='early')
        )
        await wait_until(lambda: server.runs == ['early'])
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(1)
        late = await asyncio.gather(
            *(
                send(daemon, method='POST', body=b'x', request_id=f'late{n}')
                for n in range(5)
            )
        )
        assert [answer.status for answer in late] == [503] * 5
        assert {answer.field('connection') for answer in late} == {'close'}
        assert all(float(a.field('retry-after')) < 0.5 for a in late)
        assert (await early).status == 200
        await stopping
        assert server.runs == ['early']

    run(scenario)


@pytest.mark.parametrize(
    ('kind', 'status'), [('non_idempotent', 504), ('idempotent', 504)]
)
def test_work_that_outlasts_the_grace_gets_an_answer(kind, status):
    """Work that takes unexpectedly long must end with an answer.

    A closed connection would not tell the caller that it may have run.
    """

    async def scenario(cluster):
        server = await cluster.serve('one', 'i-a', delay_s=5)
        cluster.configure(route(service='one', type=kind, timeout_ms=6000))
        daemon = await cluster.start(bounds={'grace_s': GRACE_S})
        running = asyncio.create_task(
            send(daemon, method='POST', body=b'x', request_id='q1')
        )
        await wait_until(lambda: server.runs == ['q1'])
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await daemon.stop()
        assert loop.time() - began_s < GRACE_S
        answer = await running
        assert isinstance(answer, HttpResponse)
        assert answer.status == status

    run(scenario)
