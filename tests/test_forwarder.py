"""A daemon on the platform, against stand-ins that speak its protocol."""

from __future__ import annotations

import asyncio

import pytest

from boragespool.blackboard.forwarding_topics import ROUTES
from boragespool.http import ExchangeFailure, HttpRequest, open_connection
from tests.platform_standins.cluster import (
    DOMAIN,
    gather_route,
    record,
    route,
    run,
    send,
    wait_until,
)

SHARDS = ['s-0', 's-1', 's-2']


async def one_server(cluster):
    """Serve one backend server behind one route; return a daemon."""
    await cluster.serve('one', 'i-a', body=b'answer')
    cluster.configure(route(service='one'))
    return await cluster.start()


async def three_shards(cluster, replicas=1, **fields):
    """Serve three shards with one record each and a route over them."""
    for number, shard in enumerate(SHARDS):
        for replica in range(replicas):
            await cluster.serve(
                shard,
                f'i-{number}-{replica}',
                body=record(number) + record(10 + number),
            )
    cluster.configure(gather_route(SHARDS, **fields))


def test_gather_merges_the_greatest_records():
    """An answer holds the greatest records and names its parts."""

    async def scenario(cluster):
        await three_shards(cluster)
        daemon = await cluster.start()
        answer = await send(daemon, request_id='q1', request_timeout_ms=1500)
        assert answer.status == 200
        assert answer.body == record(12) + record(11) + record(10)
        stamps = set(answer.field('shard-stamps').split(', '))
        assert stamps == {'i-0-0.q1', 'i-1-0.q1', 'i-2-0.q1'}
        assert answer.field('shards-missing') == '0'

    run(scenario)


def test_backend_gets_the_request_unchanged():
    """Method, target, body and header fields arrive as the caller sent them."""

    async def scenario(cluster):
        server = await cluster.serve('one', 'i-a', body=b'answer')
        cluster.configure(route(service='one', type='non_idempotent'))
        daemon = await cluster.start()
        answer = await send(
            daemon,
            '/find/a?b=c%20d',
            'POST',
            b'\x00body',
            request_id='q1',
            request_timeout_ms=1000,
            x_shop='north',
        )
        assert (answer.status, answer.body) == (200, b'answer')
        assert answer.field('response-signature') == 'i-a.q1'
        method, target, fields, body = server.requests[0]
        assert (method, target) == ('POST', '/find/a?b=c%20d')
        assert body == b'\x00body'
        assert fields['host'] == DOMAIN
        assert fields['x-shop'] == 'north'
        assert fields['request-id'] == 'q1'
        assert fields['target-instance'] == 'i-a'
        assert 0 < int(fields['request-timeout-ms']) <= 1000

    run(scenario)


def test_late_shard_is_left_out_at_the_target_latency():
    """A shard that does not answer must not make the whole answer late."""

    async def scenario(cluster):
        await three_shards(cluster)
        cluster.servers['i-2-0'].modes = ['silent']
        daemon = await cluster.start()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        answer = await send(daemon, request_id='q1', request_timeout_ms=1500)
        assert loop.time() - began_s < 0.5
        assert answer.status == 200
        assert answer.field('shards-missing') == '1'
        assert 'i-2' not in answer.field('shard-stamps')

    run(scenario)


@pytest.mark.parametrize(
    'mode',
    ['reset', 'truncated', 'garbage', 'error', 'unframed-reset', 'encoded'],
)
def test_failed_part_is_asked_again_elsewhere(mode):
    """A reply that is no part must be replaced by that of another replica."""

    async def scenario(cluster):
        await three_shards(cluster, replicas=2)
        for number in range(3):
            cluster.servers[f'i-{number}-0'].modes = [mode]
        daemon = await cluster.start()
        for number in range(8):
            answer = await send(
                daemon, request_id=f'q{number}', request_timeout_ms=1500
            )
            assert answer.status == 200
            assert answer.field('shards-missing') == '0'
            assert '-0.q' not in answer.field('shard-stamps')

    run(scenario)


@pytest.mark.parametrize('mode', ['stale', 'doubled', 'chunked', 'unframed'])
def test_unusual_replies_reach_their_own_request(mode):
    """Late, doubled and unframed replies must not reach another request."""

    async def scenario(cluster):
        server = await cluster.serve('one', 'i-a', body=b'answer')
        server.modes = [mode]
        cluster.configure(route(service='one'))
        daemon = await cluster.start()
        for number in range(5):
            answer = await send(daemon, request_id=f'q{number}')
            assert (answer.status, answer.body) == (200, b'answer')
            assert answer.field('response-signature') == f'i-a.q{number}'

    run(scenario)


@pytest.mark.parametrize('mode', ['reset', 'truncated', 'garbage', 'error'])
def test_request_that_must_not_run_twice_is_not_repeated(mode):
    """After a lost answer the outcome is unknown, and no refusal is true."""

    async def scenario(cluster):
        first = await cluster.serve('one', 'i-a')
        second = await cluster.serve('one', 'i-b')
        first.modes = second.modes = [mode]
        cluster.configure(route(service='one', type='non_idempotent'))
        daemon = await cluster.start()
        answer = await send(daemon, method='POST', body=b'x', request_id='q1')
        assert answer.status == (500 if mode == 'error' else 502)
        assert len(first.runs) + len(second.runs) == 1

    run(scenario)


def test_refused_request_goes_to_another_server():
    """A reply that proves that nothing ran allows another attempt."""

    async def scenario(cluster):
        first = await cluster.serve('one', 'i-a')
        second = await cluster.serve('one', 'i-b', body=b'answer')
        first.modes = ['shed']
        cluster.configure(route(service='one', type='non_idempotent'))
        daemon = await cluster.start()
        for number in range(6):
            answer = await send(
                daemon, method='POST', body=b'x', request_id=f'q{number}'
            )
            assert answer.status == 200
        assert not first.runs
        assert len(second.runs) == 6

    run(scenario)


def test_attempts_stay_within_the_limit_of_the_route():
    """A request reaches no more servers than its route allows."""

    async def scenario(cluster):
        for name in 'abcd':
            server = await cluster.serve('one', f'i-{name}')
            server.modes = ['reset']
        cluster.configure(route(service='one', attempts=2))
        daemon = await cluster.start()
        answer = await send(daemon, request_id='q1')
        assert answer.status == 502
        assert sum(len(s.runs) for s in cluster.servers.values()) == 2

    run(scenario)


def test_taken_over_address_runs_nothing():
    """Another server at a known address refuses, and is asked no more."""

    async def scenario(cluster):
        old = await cluster.serve('one', 'i-old')
        old.modes = ['other']
        new = await cluster.serve('one', 'i-new', body=b'answer')
        cluster.configure(route(service='one'))
        daemon = await cluster.start()
        for number in range(8):
            answer = await send(daemon, request_id=f'q{number}')
            assert answer.status == 200
        assert len(new.runs) == 8
        assert len(old.requests) <= 1

    run(scenario)


def test_caller_that_leaves_frees_the_servers():
    """Work for a caller that has closed its connection must stop."""

    async def scenario(cluster):
        server = await cluster.serve('one', 'i-a', delay_s=5)
        cluster.configure(route(service='one'))
        daemon = await cluster.start()
        connection = await open_connection(daemon.options.caller_address, 1)
        request = HttpRequest(
            'GET',
            '/find/x',
            fields=(('host', DOMAIN), ('request-id', 'q1')),
        )
        connection.start_exchange(request, 5)
        await wait_until(lambda: server.runs)
        connection.close()
        await wait_until(lambda: server.abandoned_count == 1, 0.5)
        assert daemon.gateway.in_flight == 0

    run(scenario)


def test_draining_server_gets_no_new_work():
    """A server that says that it leaves is left alone at once."""

    async def scenario(cluster):
        leaving = await cluster.serve('one', 'i-a')
        staying = await cluster.serve('one', 'i-b', body=b'answer')
        cluster.configure(route(service='one'))
        daemon = await cluster.start()
        cluster.register('one', 'i-a', state='draining', sequence=2)
        await wait_until(lambda: len(daemon.fleet.servers_of('one')) == 1, 1)
        # A late copy of an older registration must not bring it back.
        cluster.register('one', 'i-a', state='ready', sequence=1)
        await asyncio.sleep(0.3)
        for number in range(5):
            await send(daemon, request_id=f'q{number}')
        assert not leaving.runs
        assert len(staying.runs) == 5

    run(scenario)


def test_newer_configuration_is_in_force_and_never_reverts():
    """A route of a newer version is served; an older version is ignored."""

    async def scenario(cluster):
        daemon = await one_server(cluster)
        cluster.configure(route(service='one', prefix='/other/'))
        await wait_until(
            lambda: daemon.board.read(ROUTES).version == cluster.version, 1
        )
        assert (await send(daemon, '/other/x', request_id='q1')).status == 200
        assert (await send(daemon, '/find/x', request_id='q2')).status == 404
        cluster.version = 0
        cluster.configure(route(service='one'))
        await asyncio.sleep(0.3)
        assert (await send(daemon, '/find/x', request_id='q3')).status == 404

    run(scenario)


def test_change_after_a_silent_outage_is_in_force_soon():
    """A watch that the store never answers must not delay a change."""

    async def scenario(cluster):
        daemon = await one_server(cluster)
        cluster.store.silent = True
        await asyncio.sleep(2)
        cluster.configure(route(service='one', prefix='/other/'))
        await asyncio.sleep(0.2)
        cluster.store.silent = False
        await wait_until(
            lambda: daemon.board.read(ROUTES).version == cluster.version, 1.5
        )

    run(scenario)


def test_stale_first_read_is_brought_up_to_date():
    """A daemon that starts from an old copy must not serve it for long."""

    async def scenario(cluster):
        await cluster.serve('one', 'i-a', body=b'answer')
        cluster.configure(route(service='one'))
        cluster.store.freeze_stale_reads()
        await cluster.serve('one', 'i-b', body=b'answer')
        cluster.store.remove('servers/i-a')
        cluster.configure(route(service='one', prefix='/other/'))
        daemon = await cluster.start()
        await wait_until(
            lambda: (
                daemon.board.read(ROUTES).version == cluster.version
                and list(daemon.fleet.servers_of('one')) == ['i-b']
            ),
            1,
        )

    run(scenario)


def test_compacted_history_is_read_again():
    """A change in a gap of the history must not be missed."""

    async def scenario(cluster):
        await cluster.serve('one', 'i-a', body=b'answer')
        await cluster.serve('one', 'i-b', body=b'answer')
        cluster.configure(route(service='one'))
        daemon = await cluster.start()
        cluster.store.history.clear()
        cluster.store.remove('servers/i-a')
        cluster.store.compact()
        await wait_until(lambda: len(daemon.fleet.servers_of('one')) == 1, 1)

    run(scenario)


def test_split_follows_the_weights():
    """Parts of a split get their shares of the requests."""

    async def scenario(cluster):
        large = await cluster.serve('large', 'i-a')
        small = await cluster.serve('small', 'i-b')
        parts = [
            {'service': 'large', 'weight': 3},
            {'service': 'small', 'weight': 1},
        ]
        cluster.configure(route(split=parts))
        daemon = await cluster.start()
        for number in range(40):
            await send(daemon, request_id=f'q{number}')
        assert (len(large.runs), len(small.runs)) == (30, 10)

    run(scenario)


def test_request_without_a_server_is_refused_at_once():
    """What cannot be served is refused truthfully, with a time to return."""

    async def scenario(cluster):
        await cluster.serve('s-0', 'i-a')
        cluster.configure(gather_route(SHARDS, target_latency_ms=5000))
        daemon = await cluster.start()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        answer = await send(daemon, request_id='q1')
        assert answer.status == 503
        assert float(answer.field('retry-after')) > 0
        assert loop.time() - began_s < 0.3
        assert not cluster.servers['i-a'].runs

    run(scenario)


def test_daemon_without_a_configuration_refuses():
    """A daemon that knows no configuration must not answer 404."""

    async def scenario(cluster):
        daemon = await cluster.start(ready=False)
        answer = await send(daemon, request_id='q1')
        assert answer.status == 503
        assert not daemon.is_ready

    run(scenario)


def test_daemon_that_starts_in_an_outage_learns_from_others():
    """Daemons that were killed while the store is away must serve again."""

    async def scenario(cluster):
        await cluster.serve('one', 'i-a', body=b'answer')
        cluster.configure(route(service='one'))
        first = await cluster.start('host-1')
        cluster.store.down = True
        second = await cluster.start(
            'host-2',
            ready=False,
            zone='there',
            seeds=['127.0.0.1:9', first.options.control_address],
        )
        await wait_until(lambda: second.is_ready, 3)
        answer = await send(second, request_id='q1')
        assert (answer.status, answer.body) == (200, b'answer')

    run(scenario)


def test_lapsed_servers_serve_on_until_they_are_back():
    """Registrations that lapse with the store are back within seconds."""

    async def scenario(cluster):
        daemon = await one_server(cluster)
        cluster.store.down = True
        await asyncio.sleep(1.5)
        cluster.store.remove('servers/i-a')
        cluster.store.down = False
        await asyncio.sleep(1)
        assert (await send(daemon, request_id='q1')).status == 200
        await wait_until(lambda: not daemon.fleet.servers_of('one'), 4)
        assert (await send(daemon, request_id='q2')).status == 503

    run(scenario)


def test_graceful_stop_answers_everything():
    """A planned stop must cut no request, and callers hear that it leaves."""

    async def scenario(cluster):
        await cluster.serve('one', 'i-a', body=b'answer', delay_s=0.3)
        cluster.configure(route(service='one'))
        daemon = await cluster.start()
        pending = [
            asyncio.create_task(send(daemon, request_id=f'q{number}'))
            for number in range(4)
        ]
        await wait_until(lambda: daemon.gateway.in_flight == 4)
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(0.05)
        assert not daemon.is_ready
        later = await send(daemon, request_id='q9')
        assert later.status == 200
        assert later.field('connection') == 'close'
        answers = await asyncio.gather(*pending)
        assert [answer.status for answer in answers] == [200] * 4
        await stopping
        refused = await open_connection(daemon.options.caller_address, 1)
        assert isinstance(refused, ExchangeFailure)
        assert 'hosts/host-1' not in cluster.store.items

    run(scenario)


def test_directory_names_ready_daemons_nearby():
    """Callers get daemons of their own data centre while one serves."""

    async def scenario(cluster):
        await cluster.serve('one', 'i-a')
        cluster.configure(route(service='one'))
        near = await cluster.start('host-1', zone='here')
        far = await cluster.start('host-2', zone='there')
        await wait_until(lambda: near.fleet.daemon_count == 2)

        async def resolve(zone):
            connection = await open_connection(
                near.options.directory_address, 1
            )
            target = f'/v1/resolve?name=x&region={zone}-region&zone={zone}'
            async with connection:
                return await connection.exchange(HttpRequest('GET', target), 1)

        answer = await resolve('there')
        assert answer.status == 200
        assert far.options.caller_address.encode() in answer.body
        assert near.options.caller_address.encode() not in answer.body
        await far.stop()
        await wait_until(lambda: near.fleet.daemon_count == 1)
        answer = await resolve('there')
        assert near.options.caller_address.encode() in answer.body

    run(scenario)


def test_readiness_and_metrics_are_served():
    """The platform checks readiness; on-call engineers read metrics."""

    async def scenario(cluster):
        await three_shards(cluster)
        daemon = await cluster.start()
        await send(daemon, request_id='q1')
        for address, target, expected in (
            (daemon.options.readiness_address, '/v1/ready', b''),
            (
                daemon.options.control_address,
                '/metrics',
                b'boragespool_forwarded_total',
            ),
        ):
            connection = await open_connection(address, 1)
            async with connection:
                answer = await connection.exchange(
                    HttpRequest('GET', target), 1
                )
            assert answer.status == 200
            assert expected in answer.body

    run(scenario)
