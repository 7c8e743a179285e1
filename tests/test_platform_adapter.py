"""Translations between the users' platform and the product."""

from __future__ import annotations

import asyncio
import pathlib
import re

import msgspec
import pytest
from boragespool_platform.documents import (
    read_configuration,
    read_registration,
)
from boragespool_platform.messages import (
    read_reply,
    read_request,
    write_failure,
    write_reply,
    write_request,
)
from boragespool_platform.settings import (
    PATH_VARIABLE,
    forwarding_options,
    read_boot,
)
from boragespool_platform.store import KeyValueStore
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.forwarding import Registration
from boragespool.http import HttpRequest, HttpResponse
from boragespool.item_store import HistoryLost, Item, LeaseEnded
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState
from tests.platform_standins.store import StoreStandin

DETERMINISTIC = settings(derandomize=True, max_examples=200, deadline=None)
ROOT = pathlib.Path(__file__).resolve().parent.parent
ENTRY = {
    'service': 'one',
    'address': '10.0.0.1:80',
    'zone': 'here',
    'version': 'v1',
    'concurrency': 5,
    'state': 'ready',
    'warmup_left_ms': 1500,
    'sequence': 4,
    'born': 1_700_000_000_000,
}
#: Names of the platform's wire that no product module may contain.
WIRE_NAMES = (
    'kv-range',
    'kv-watch',
    'kv-txn',
    'target_latency_ms',
    'min_coverage',
    'warmup_left_ms',
    'listen_addrs',
    'shard-stamps',
    'not-executed',
    'target-instance',
    'response-signature',
)


def entry(**fields):
    return Item('servers/i-a', msgspec.json.encode(ENTRY | fields), 9)


def test_registration_is_translated():
    """Each field arrives under the product's name and unit."""
    assert read_registration(entry()) == Registration(
        server='i-a',
        service='one',
        address='10.0.0.1:80',
        data_centre='here',
        slots=5,
        draining=False,
        warm_up_s=1.5,
        started_at_ms=1_700_000_000_000,
        sequence=4,
    )


@pytest.mark.parametrize('name', sorted(set(ENTRY) - {'born'}))
def test_registration_without_a_field_names_no_server(name):
    """Entries of other writers must not receive requests."""
    partial = {key: v for key, v in ENTRY.items() if key != name}
    item = Item('servers/i-a', msgspec.json.encode(partial), 9)
    assert isinstance(read_registration(item), Failure)


@pytest.mark.parametrize(
    ('name', 'wrong'),
    [
        ('service', 7),
        ('address', 'somewhere'),
        ('address', '10.0.0.1:99999'),
        ('concurrency', 0),
        ('concurrency', '5'),
        ('state', 'gone'),
        ('warmup_left_ms', None),
        ('sequence', 1.5),
        ('sequence', -1),
        ('born', 'yesterday'),
    ],
)
def test_registration_with_a_wrong_field_names_no_server(name, wrong):
    """Fields of another type or value make the entry unreadable."""
    assert isinstance(read_registration(entry(**{name: wrong})), Failure)


@DETERMINISTIC
@given(st.binary())
def test_unreadable_bytes_are_rejected(value):
    """Bytes that are no entry must not raise."""
    item = Item('servers/i-a', value, 9)
    assert isinstance(read_registration(item), Failure)
    assert isinstance(read_configuration(item), Failure)


def test_configuration_is_translated():
    """Routes over shards, to one service and with a split are understood."""
    base = {
        'name': 'r',
        'host': 'Shop.Example',
        'prefix': '/a/',
        'type': 'non_idempotent',
        'timeout_ms': 1500,
        'target_latency_ms': 300,
        'attempts': 2,
        'priority': 1,
    }
    document = {
        'version': 7,
        'routes': [
            base | {'service': 'one'},
            base | {'split': [{'service': 'one', 'weight': 2.5}]},
            base | {'gather': ['x', 'y'], 'top_k': 3, 'min_coverage': 0.5},
        ],
        'services': [{'name': 'one', 'max_conns': 40, 'protocol': 'h1'}],
        'limits': {
            'max_header_bytes': 1,
            'max_body_bytes': 2,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 4000,
        },
    }
    read = read_configuration(
        Item('op/config', msgspec.json.encode(document), 9)
    )
    single, split, gathered = read.routes
    assert (read.version, read.connections_by_service) == (7, {'one': 40})
    assert read.limits.idle_timeout_s == 4
    assert (single.domain, single.timeout_s) == ('shop.example', 1.5)
    assert not single.idempotent
    assert split.services[0].weight == 2.5
    assert gathered.idempotent
    assert (gathered.shards, gathered.record_count) == (('x', 'y'), 3)


def message(*fields, method='GET', body=b''):
    headers = dict(fields)
    return HttpRequest(method, '/a/x?y', body, headers, fields=fields)


def test_fields_of_one_connection_are_not_passed_on():
    """Fields that concern one connection must not reach another one."""
    request = read_request(
        message(
            ('host', 'shop.example'),
            ('connection', 'close, X-Hop'),
            ('x-hop', '1'),
            ('keep-alive', 'timeout=3'),
            ('transfer-encoding', 'chunked'),
            ('x-shop', 'north'),
            ('x-shop', 'south'),
            ('request-timeout-ms', '1500'),
            ('target-instance', 'i-forged'),
        ),
    )
    assert request.timeout_s == 1.5
    assert request.fields == (
        ('host', 'shop.example'),
        ('x-shop', 'north'),
        ('x-shop', 'south'),
    )
    sent = write_request(request, 'i-a', 0.5)
    assert ('target-instance', 'i-a') in sent.fields
    assert ('request-timeout-ms', '500') in sent.fields


@pytest.mark.parametrize('text', ['', 'soon', '-5', '1.5', '٣'])
def test_unreadable_timeout_counts_as_missing(text):
    """A caller's wrong header must not fail its request."""
    fields = (('host', 'a'), ('request-timeout-ms', text))
    assert read_request(message(*fields)).timeout_s is None


def test_request_without_a_host_is_refused():
    """Such a request has no route."""
    refusal = read_request(message())
    assert write_failure(refusal).status == 400


def test_empty_body_keeps_its_length():
    """A POST without a body says so, or a server waits for one."""
    request = read_request(message(('host', 'a'), method='POST'))
    assert ('content-length', '0') in write_request(request, 'i', 1).fields


def test_reply_is_passed_on_unchanged():
    """Status, body, signature and other fields stay those of the server."""
    response = HttpResponse(
        404,
        b'body',
        fields=(
            ('response-signature', 'sig'),
            ('connection', 'close'),
            ('x-note', 'n'),
            ('content-length', '4'),
        ),
    )
    passed = write_reply(read_reply(response))
    assert (passed.status, passed.body) == (404, b'body')
    assert passed.fields == (('response-signature', 'sig'), ('x-note', 'n'))


@pytest.mark.parametrize('code', list(ResultCode))
@pytest.mark.parametrize('run', [RunState.UNKNOWN, RunState.RUN])
def test_status_promises_nothing_after_a_run(code, run):
    """Statuses that mean "not run" must not follow an attempt."""
    status = write_failure(Failure(code, 'reason', run)).status
    assert status in {502, 504}


def test_settings_file_is_translated(tmp_path):
    """Zones are data centres, and times come in seconds."""
    boot = {
        'node': 'front-1',
        'zone': 'here',
        'region': 'r',
        'zones': {'here': 'r'},
        'listen_addrs': {'front': '10.0.0.1:1', 'control': '10.0.0.1:2'},
        'seeds': ['10.0.0.1:2'],
        'platform': {'address': '10.9.9.9:9'},
        'bounds': {'drain_ms': 5000, 'grace_s': 8, 'unknown': 1},
        'unknown': None,
    }
    path = tmp_path / 'boot.json'
    path.write_bytes(msgspec.json.encode(boot))
    options = forwarding_options(read_boot({PATH_VARIABLE: str(path)}))
    assert (options.host, options.data_centre) == ('front-1', 'here')
    assert (options.stop_timeout_s, options.directory_address) == (8, '')
    path.write_text('{')
    assert read_boot({PATH_VARIABLE: str(path)}).code == (
        ResultCode.INVALID_SETTING
    )
    path.unlink()
    assert read_boot({PATH_VARIABLE: str(path)}).code == (
        ResultCode.UNREADABLE_FILE
    )


def test_store_pages_watches_and_leases():
    """The client speaks the store's protocol, refusals included."""

    async def scenario():
        async with StoreStandin() as standin:
            standin.page_size = 2
            for name in 'abc':
                standin.put(f'p/{name}', b'v')
            async with KeyValueStore(standin.address) as store:
                first = await store.read_page('p/')
                assert [i.key for i in first.items] == ['p/a', 'p/b']
                rest = await store.read_page('p/', 'p/b')
                assert (rest.items[0].value, rest.truncated) == (b'v', False)
                standin.remove('p/a')
                events = await store.watch('p/', first.revision, 1)
                assert events.events[0].key == 'p/a'
                quiet = await store.watch('p/', events.revision, 0.05)
                assert not quiet.events
                lease = await store.grant(5)
                assert await store.put('q/x', b'w', lease.lease) > 0
                assert await store.renew(lease.lease) == 5
                await store.end(lease.lease)
                assert 'q/x' not in standin.items
                assert isinstance(await store.renew(lease.lease), LeaseEnded)
                lost = await store.put('q/x', b'w', lease.lease)
                assert isinstance(lost, LeaseEnded)
                standin.compact()
                behind = await store.watch('p/', 2, 0.05)
                assert isinstance(behind, HistoryLost)
                standin.down = True
                refused = await store.put('q/x', b'w', 0)
                assert refused.run is RunState.NOT_RUN

    asyncio.run(scenario())


def test_product_does_not_know_the_platform():
    """Only the adapter may name the platform's wire."""
    for path in (ROOT / 'boragespool').rglob('*.py'):
        text = path.read_text(encoding='utf-8').lower()
        assert 'boragespool_platform' not in text, path
        for name in WIRE_NAMES:
            assert not re.search(rf'\b{name}\b', text), (path, name)
