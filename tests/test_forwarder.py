"""Daemons on the platform, with stand-ins for its store and servers."""

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


async def start_with_one_server(cluster):
    """Start a backend server, a route to it and a daemon; return the daemon."""
    await cluster.serve('one', 'i-a', body=b'answer')
    cluster.configure(route(service='one'))
    return await cluster.start()


async def serve_three_shards(cluster, replicas=1, **fields):
    """Start servers of three shards with two records each, and their route."""
    for number, shard in enumerate(SHARDS):
        for replica in range(replicas):
            await cluster.serve(
                shard,
                f'i-{number}-{replica}',
                body=record(number) + record(10 + number),
            )
    cluster.configure(gather_route(SHARDS, **fields))


def test_gather_merges_the_greatest_records():
    """An answer must have the greatest records of all shards.

    The fields of the answer name the server of each shard and the number of
    missing shards; without them a partial answer looks complete.
    """

    async def scenario(cluster):
        await serve_three_shards(cluster)
        daemon = await cluster.start()
        answer = await send(daemon, request_id='q1', request_timeout_ms=1500)
        assert answer.status == 200
        assert answer.body == record(12) + record(11) + record(10)
        stamps = set(answer.field('shard-stamps').split(', '))
        assert stamps == {'i-0-0.q1', 'i-1-0.q1', 'i-2-0.q1'}
        assert answer.field('shards-missing') == '0'

    run(scenario)


def test_backend_gets_the_request_unchanged():
    """The server must get method, target, header fields and body unchanged.

    Decoding the target or dropping a field would change what is run.
    """

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
    """A silent shard must be left out at the target latency.

    Otherwise the whole answer waits for it until the deadline.
    """

    async def scenario(cluster):
        await serve_three_shards(cluster)
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
def test_failed_shard_request_is_retried_at_another_replica(mode):
    """A failed or unusable response must be retried at another replica.

    Otherwise the shard is missing from the answer though a replica is
    healthy.
    """

    async def scenario(cluster):
        await serve_three_shards(cluster, replicas=2)
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
def test_unusual_responses_reach_their_own_request(mode):
    """A response must be returned for its own request only.

    Late and doubled responses stay on a connection that is reused, and an
    unframed one ends with the connection.
    """

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
    """A request that is not idempotent must not be retried once sent.

    Its response is lost, so it may have run; a retry could run it twice,
    and a status that means "not run" would be false.
    """

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
    """A request that a server refused must be sent to another server.

    The refusal states that it was not run, so a retry is safe even if the
    route is not idempotent.
    """

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
    """A request must not be attempted more often than its route allows.

    With unlimited retries a failing service would get a multiple of its
    load.
    """

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


def test_request_to_a_reused_address_is_not_run():
    """A request must not run at another server that reuses an address.

    The registration is outdated. The server at the address refuses, and
    after that it must get no more requests under the old name.
    """

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


def test_closed_caller_connection_cancels_the_request():
    """A request must be cancelled when its caller closes the connection.

    Otherwise servers go on with work for which nobody waits.
    """

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
    """A server that registers as draining must get no new requests.

    It would be stopped while it runs them.
    """

    async def scenario(cluster):
        leaving = await cluster.serve('one', 'i-a')
        staying = await cluster.serve('one', 'i-b', body=b'answer')
        cluster.configure(route(service='one'))
        daemon = await cluster.start()
        cluster.register('one', 'i-a', state='draining', sequence=2)
        await wait_until(lambda: len(daemon.fleet.servers_of('one')) == 1, 1)
        # A delayed write of an older registration must not undo this.
        cluster.register('one', 'i-a', state='ready', sequence=1)
        await asyncio.sleep(0.3)
        for number in range(5):
            await send(daemon, request_id=f'q{number}')
        assert not leaving.runs
        assert len(staying.runs) == 5

    run(scenario)


def test_newer_configuration_is_applied_and_never_reverts():
    """A newer configuration must be applied, and an older one ignored.

    A delayed write of an old version would bring back removed routes.
    """

    async def scenario(cluster):
        daemon = await start_with_one_server(cluster)
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


def test_change_after_a_silent_outage_is_applied_soon():
    """A watch that never gets a response must not delay later changes.

    The store was silent for a while without closing connections, so the
    watch has to end by its own timeout.
    """

    async def scenario(cluster):
        daemon = await start_with_one_server(cluster)
        cluster.store.silent = True
        await asyncio.sleep(2)
        cluster.configure(route(service='one', prefix='/other/'))
        await asyncio.sleep(0.2)
        cluster.store.silent = False
        await wait_until(
            lambda: daemon.board.read(ROUTES).version == cluster.version, 1.5
        )

    run(scenario)


def test_stale_first_read_is_updated():
    """A daemon that started from a stale read must be updated soon.

    Its first read may be served by a replica of the store that is behind.
    """

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
    """A change that was compacted from the history must not be missed.

    The watch fails then, and all keys have to be read again.
    """

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
    """Services of a split must get requests in proportion to their weights."""

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
    """A request that too few shards can serve must be refused at once.

    Waiting would not help. Nothing is run, and the refusal states when to
    retry.
    """

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
    """A daemon without a configuration must respond with 503, not 404.

    A 404 would tell the caller that the route does not exist.
    """

    async def scenario(cluster):
        daemon = await cluster.start(ready=False)
        answer = await send(daemon, request_id='q1')
        assert answer.status == 503
        assert not daemon.is_ready

    run(scenario)


def test_daemon_that_starts_in_an_outage_reads_from_others():
    """A daemon started while the store is down must read from other daemons.

    Otherwise a daemon that is restarted in an outage cannot serve.
    """

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


def test_expired_servers_stay_in_use_for_a_grace_time():
    """A registration that expired in a store outage must stay in use.

    Leases expire during the outage, though the servers are healthy. They
    are dropped if they have not registered again after a grace time.
    """

    async def scenario(cluster):
        daemon = await start_with_one_server(cluster)
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
    """A graceful stop must answer all requests and then close.

    Callers are told by `Connection: close` to use another daemon, and the
    daemon removes its entry from the store.
    """

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
        late_answer = await send(daemon, request_id='q9')
        assert late_answer.status == 200
        assert late_answer.field('connection') == 'close'
        answers = await asyncio.gather(*pending)
        assert [answer.status for answer in answers] == [200] * 4
        await stopping
        refused = await open_connection(daemon.options.caller_address, 1)
        assert isinstance(refused, ExchangeFailure)
        assert 'hosts/host-1' not in cluster.store.items

    run(scenario)


def test_directory_names_ready_daemons_nearby():
    """The directory must return ready daemons of the caller's data centre.

    If there is none, it returns those elsewhere; otherwise callers would
    have no address.
    """

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
    """Readiness and metrics must be served on their own addresses."""

    async def scenario(cluster):
        await serve_three_shards(cluster)
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
