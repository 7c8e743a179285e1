"""Idle connections to servers that the next request may be sent to."""

from __future__ import annotations

import asyncio
import math

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.forwarding import (
    Candidate,
    IdleState,
    Locality,
    ServerLoad,
    choose_server,
    servers_to_warm,
)
from tests.platform_standins.cluster import (
    gather_route,
    route,
    run,
    send,
    wait_until,
)

DETERMINISTIC = settings(derandomize=True, deadline=None)


@DETERMINISTIC
@given(
    st.lists(st.tuples(st.floats(-math.inf, 20), st.booleans()), max_size=30),
    st.integers(0, 8),
)
def test_only_expiring_connections_are_replaced(entries, max_count):
    """Connections must be opened before they expire, and no others.

    Each one costs the server and the daemon some processor time.
    """
    states = [
        IdleState(f's-{number}', until_s, may_connect)
        for number, (until_s, may_connect) in enumerate(entries)
    ]
    chosen = set(servers_to_warm(states, 10, max_count))
    needed = {
        state.server
        for state in states
        if state.may_connect and state.idle_until_s < 11.2
    }
    assert chosen <= needed
    assert len(chosen) == min(len(needed), max_count)
    left = [s.idle_until_s for s in states if s.server in needed - chosen]
    taken = [s.idle_until_s for s in states if s.server in chosen]
    assert not left or not taken or max(taken) <= min(left)


def test_server_with_an_idle_connection_is_preferred():
    """A handshake with another region must count as latency."""
    cold, warm = (
        Candidate(
            name,
            ServerLoad(3, round_trip_s=0.024),
            Locality.ELSEWHERE,
            has_capacity=True,
            connect_s=connect_s,
        )
        for name, connect_s in (('cold', 0.029), ('warm', 0))
    )
    for draw in (0, 0.5, 0.99):
        assert choose_server([cold, warm], 0.01, 0, draw) is warm


def test_daemon_connects_before_the_first_request():
    """All servers of the shards must have a connection before a request.

    Otherwise a hedge opens one while the caller waits.
    """

    async def scenario(cluster):
        for shard in ('s-0', 's-1'):
            for copy in 'ab':
                await cluster.serve(shard, f'{shard}-{copy}')
        other = await cluster.serve('plain', 'p-a')
        cluster.configure(
            gather_route(['s-0', 's-1']),
            route(name='r-1', prefix='/plain/', service='plain'),
        )
        daemon = await cluster.start()
        shard_servers = [
            server for name, server in cluster.servers.items() if name != 'p-a'
        ]
        await wait_until(
            lambda: all(s.connection_count == 1 for s in shard_servers)
        )
        assert (await send(daemon)).status == 200
        await asyncio.sleep(0.5)
        assert [s.connection_count for s in shard_servers] == [1] * 4
        assert other.connection_count == 0

    run(scenario)


def test_dead_server_is_found_before_a_request():
    """A refused idle connection must make requests avoid the server."""

    async def scenario(cluster):
        dead = await cluster.serve('s-0', 'dead')
        await cluster.serve('s-0', 'sound')
        await dead.__aexit__(None, None, None)
        cluster.configure(gather_route(['s-0']))
        daemon = await cluster.start()
        servers = daemon.fleet.servers_of('s-0')
        await wait_until(lambda: servers['dead'].load.failure_count)
        answer = await send(daemon, request_id='r-1')
        assert answer.status == 200
        assert cluster.servers['sound'].runs == ['r-1']

    run(scenario)
