"""Entries of other writers that cannot be used must cost only themselves."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from boragespool.forwarding import HostRecord
from tests.platform_standins.cluster import route, run, send, wait_until

HUGE = b'1' + b'0' * 400
NESTED = b'[' * 100_000 + b']' * 100_000


def replaced(entry, **fields):
    """Return the bytes of an entry with other JSON texts for some fields."""
    texts_by_name = {
        name: msgspec.json.encode(value) for name, value in entry.items()
    }
    members = (
        b'"%s":%s' % (name.encode(), text)
        for name, text in (texts_by_name | fields).items()
    )
    return b'{' + b','.join(members) + b'}'


ODD_FIELDS = {
    'nested field': {'extra': NESTED},
    'nested service': {'service': NESTED},
    'port of 6,000 digits': {'address': b'"127.0.0.1:%s"' % (b'9' * 6_000)},
    'port out of range': {'address': b'"127.0.0.1:70000"'},
    'huge concurrency': {'concurrency': HUGE},
    'large concurrency': {'concurrency': b'1000000000000000000'},
    'huge sequence': {'sequence': HUGE},
    'huge birth': {'born': HUGE},
    'birth in the far future': {'born': b'9000000000000'},
    'long warm-up': {'warmup_left_ms': b'1e308'},
    'huge warm-up': {'warmup_left_ms': HUGE},
    'NUL in the service': {'service': rb'"one\u0000"'},
    'service of 300 kB': {'service': b'"%s"' % (b'x' * 300_000)},
    'surrogate in the service': {'service': rb'"one\ud800"'},
}
ODD_HOST_FIELDS = {
    'nested field': {'extra': NESTED},
    'port of 6,000 digits': {
        'caller_address': b'"127.0.0.1:%s"' % (b'9' * 6_000)
    },
    'not an address': {'caller_address': b'"nowhere"'},
    'control port out of range': {'control_address': b'"127.0.0.1:70000"'},
    'huge capacity': {'processor_cores': b'1e308'},
    'negative capacity': {'processor_cores': b'-1'},
    'line break in the host': {'host': rb'"h\r\nx"'},
}


def odd_server_entry(cluster, name):
    """Return the bytes of an odd entry of a server."""
    entry = cluster.servers['i-1'].registration('one')
    return replaced(entry, **ODD_FIELDS[name])


@pytest.mark.parametrize('name', ODD_FIELDS)
@pytest.mark.parametrize('is_first', [True, False])
def test_odd_entry_of_a_server_costs_only_itself(name, is_first):
    """The daemon must get ready, follow changes and read a later good entry."""

    async def scenario(cluster):
        await cluster.serve('one', 'i-1')
        cluster.configure(route(service='one'))
        odd = odd_server_entry(cluster, name)
        if not is_first:
            daemon = await cluster.start()
        cluster.store.put('servers/i-0', odd)
        await cluster.serve('one', 'i-2')
        if is_first:
            daemon = await cluster.start()

        def used():
            return sorted(daemon.fleet.servers_of('one'))

        await wait_until(lambda: used() == ['i-1', 'i-2'])
        await cluster.serve('one', 'i-0')
        await wait_until(lambda: used() == ['i-0', 'i-1', 'i-2'])
        answer = await send(daemon, request_id='q1', request_timeout_ms=1900)
        assert answer.status == 200

    run(scenario)


@pytest.mark.parametrize('key', ['servers/', 'servers/a\r\nb', 'servers/a b'])
def test_server_whose_name_cannot_be_sent_is_not_used(key):
    """Names are sent in a header field, which they must not break."""

    async def scenario(cluster):
        server = await cluster.serve('one', 'i-1')
        cluster.configure(route(service='one'))
        cluster.store.put(key, server.registration('one'))
        daemon = await cluster.start()
        assert list(daemon.fleet.servers_of('one')) == ['i-1']

    run(scenario)


@pytest.mark.parametrize('name', ODD_HOST_FIELDS)
@pytest.mark.parametrize('is_first', [True, False])
def test_odd_record_of_a_daemon_costs_only_itself(name, is_first):
    """Callers must not be sent to it, and other records are followed."""
    record = msgspec.to_builtins(
        HostRecord('h-2', 'here', 'here-region', '127.0.0.1:7', '127.0.0.1:8')
    )

    async def scenario(cluster):
        await cluster.serve('one', 'i-1')
        cluster.configure(route(service='one'))
        odd = replaced(record, **ODD_HOST_FIELDS[name])
        if is_first:
            cluster.store.put('hosts/h-2', odd)
        daemon = await cluster.start()
        if not is_first:
            cluster.store.put('hosts/h-2', odd)
            await asyncio.sleep(0.5)
        assert len(daemon._hosts.addresses('here', 'here-region')) == 1
        cluster.store.put('hosts/h-2', record)
        await wait_until(
            lambda: len(daemon._hosts.addresses('here', 'here-region')) == 2
        )

    run(scenario)


@pytest.mark.parametrize(
    'report',
    [
        NESTED,
        b'{}',
        b'[{"fingerprint":%s,"loss_id":"a"}]' % HUGE,
        b'[{"fingerprint":-1,"loss_id":"a"}]',
        b'[{"fingerprint":1,"loss_id":"%s"}]' % (b'x' * 300_000),
        b'[{"fingerprint":1,"loss_id":"a","base":-1}]',
        b'[{"fingerprint":1,"loss_id":"a","base":1,"parts":[%s]}]' % HUGE,
        b'[{"fingerprint":1,"loss_id":"a","base":1,"parts":[%s]}]'
        % b','.join([b'1'] * 33),
    ],
)
def test_odd_report_of_losses_costs_only_itself(report):
    """A report that cannot be read must not stop the daemon."""

    async def scenario(cluster):
        await cluster.serve('one', 'i-1')
        cluster.configure(route(service='one'))
        cluster.store.put('hosts/host-1/losses', report)
        daemon = await cluster.start()
        cluster.store.put('hosts/host-2/losses', report)
        await cluster.start('host-3')
        await wait_until(
            lambda: len(daemon._hosts.addresses('here', 'here-region')) == 2
        )

    run(scenario)
