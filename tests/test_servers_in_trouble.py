"""Daemons whose backend servers send bytes that are no answer."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform_standins.cluster import (
    gather_route,
    record,
    route,
    run,
    send,
)

MEMORY_MB = 16
#: Memory for responses of a daemon with `MEMORY_MB`.
RESPONSE_BYTES = 2_097_152
TROUBLES = ['endless', 'endless-chunks', 'cut-head', 'cut-head-reset']


async def start_small_daemon(cluster):
    """Start a daemon with little memory."""
    return await cluster.start(limits={'memory_mb': MEMORY_MB})


@pytest.mark.parametrize('mode', TROUBLES)
def test_other_replica_answers_in_place_of_one_in_trouble(mode):
    """A shard must be answered by its sound replica.

    A head that breaks off must not become a success with an empty body, and
    an endless body must not hold the gather until its deadline.
    """

    async def scenario(cluster):
        for number in range(3):
            for replica in 'ab':
                server = await cluster.serve(
                    f's-{number}',
                    f'i-{number}-{replica}',
                    body=record(number),
                )
                server.modes = [mode if replica == 'a' else 'ok']
        cluster.configure(gather_route(['s-0', 's-1', 's-2']))
        daemon = await start_small_daemon(cluster)
        for number in range(4):
            answer = await send(
                daemon, request_id=f'q{number}', request_timeout_ms=1900
            )
            assert answer.status == 200
            assert answer.field('shards-missing') == '0'
            assert answer.body == record(2) + record(1) + record(0)

    run(scenario)


@pytest.mark.parametrize('mode', TROUBLES)
def test_request_that_must_not_run_twice_gets_a_failure(mode):
    """A request that may have run must get 502 and not run again.

    Its server began an answer that never became complete.
    """

    async def scenario(cluster):
        for name in 'ab':
            server = await cluster.serve('one', f'i-{name}')
            server.modes = [mode]
        cluster.configure(route(service='one', type='non_idempotent'))
        daemon = await start_small_daemon(cluster)
        answer = await send(daemon, method='POST', body=b'x', request_id='q1')
        assert answer.status == 502
        runs = [len(server.runs) for server in cluster.servers.values()]
        assert sum(runs) == 1

    run(scenario)


def test_thirty_endless_servers_leave_the_daemon_sound():
    """Endless bodies of 30 servers together must stay within the memory.

    Otherwise the process is killed, and each retry takes the next daemon.
    Callers of other services must be served meanwhile.
    """

    async def scenario(cluster):
        for number in range(30):
            server = await cluster.serve(f'bad-{number}', f'i-{number}')
            server.modes = ['endless']
        await cluster.serve('one', 'i-one', body=b'answer')
        bad_routes = [
            route(
                name=f'bad-{number}',
                prefix=f'/bad-{number}/',
                service=f'bad-{number}',
            )
            for number in range(30)
        ]
        cluster.configure(route(service='one'), *bad_routes)
        daemon = await start_small_daemon(cluster)
        buffers = daemon.fleet.response_buffers
        assert buffers.limits.total_size_bytes == RESPONSE_BYTES
        bad = [
            asyncio.create_task(
                send(daemon, f'/bad-{number}/x', request_id=f'b{number}')
            )
            for number in range(30)
        ]
        peak_bytes = 0
        for number in range(20):
            answer = await send(daemon, request_id=f'q{number}')
            assert (answer.status, answer.body) == (200, b'answer')
            peak_bytes = max(peak_bytes, buffers.used_bytes)
        assert 0 < peak_bytes <= RESPONSE_BYTES
        assert [answer.status for answer in await asyncio.gather(*bad)] == (
            [502] * 30
        )
        assert buffers.used_bytes == 0

    run(scenario)
