"""Platform adapter: documents, messages, settings and store client."""

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
from boragespool.http import HttpRequest, HttpResponse, ResponseLimits
from boragespool.item_store import HistoryLost, Item, LeaseEnded
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState
from tests.platform_standins.store import StoreStandin

DETERMINISTIC = settings(derandomize=True, max_examples=200, deadline=None)
ROOT = pathlib.Path(__file__).resolve().parent.parent
REGISTRATION = {
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
#: Names of the platform's protocols that no product module may contain.
PLATFORM_NAMES = (
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


def registration_item(**fields):
    """Return `REGISTRATION` as an item of the store, with other fields."""
    return Item('servers/i-a', msgspec.json.encode(REGISTRATION | fields), 9)


def test_registration_is_translated():
    """A registration must be read with the right names and units.

    A mistaken unit would make a server warm up a thousand times too long.
    """
    assert read_registration(registration_item()) == Registration(
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


@pytest.mark.parametrize('name', sorted(set(REGISTRATION) - {'born'}))
def test_registration_without_a_field_is_rejected(name):
    """A registration without a required field must be rejected.

    It was not written by a backend server and must get no requests.
    """
    partial = {key: v for key, v in REGISTRATION.items() if key != name}
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
def test_registration_with_a_wrong_field_is_rejected(name, wrong):
    """A registration with an invalid type or value must be rejected."""
    assert isinstance(
        read_registration(registration_item(**{name: wrong})), Failure
    )


@DETERMINISTIC
@given(st.binary())
def test_unreadable_bytes_are_rejected(value):
    """Bytes that are not valid documents must be rejected, not raise.

    An exception would end the processing of all other items.
    """
    item = Item('servers/i-a', value, 9)
    assert isinstance(read_registration(item), Failure)
    assert isinstance(read_configuration(item), Failure)


def test_configuration_is_translated():
    """Routes to shards, to one service and to a split must be read.

    Times are converted to seconds, and domains to lower case.
    """
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


def make_request(*fields, method='GET', body=b''):
    """Return a request with the given header fields."""
    headers = dict(fields)
    return HttpRequest(method, '/a/x?y', body, headers, fields=fields)


def test_fields_of_one_connection_are_not_passed_on():
    """Hop-by-hop header fields must not be forwarded.

    They concern one connection, such as its transfer encoding. A forged
    `target-instance` must be replaced as well.
    """
    request = read_request(
        make_request(
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
    """An invalid timeout header must be ignored, not fail the request."""
    fields = (('host', 'a'), ('request-timeout-ms', text))
    assert read_request(make_request(*fields)).timeout_s is None


def test_request_without_a_host_is_refused():
    """A request without a host must be refused, as it has no route."""
    refusal = read_request(make_request())
    assert write_failure(refusal).status == 400


def test_empty_body_keeps_its_length():
    """A POST with an empty body must be sent with a content length of 0.

    Without it the server waits for a body.
    """
    request = read_request(make_request(('host', 'a'), method='POST'))
    assert ('content-length', '0') in write_request(request, 'i', 1).fields


def test_reply_is_passed_on_unchanged():
    """A response must be forwarded unchanged but for hop-by-hop fields.

    Status, body, signature and other fields stay those of the server.
    """
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
    response_out = write_reply(read_reply(response))
    assert (response_out.status, response_out.body) == (404, b'body')
    assert response_out.fields == (
        ('response-signature', 'sig'),
        ('x-note', 'n'),
    )


@pytest.mark.parametrize('code', list(ResultCode))
@pytest.mark.parametrize('run', [RunState.UNKNOWN, RunState.RUN])
def test_failure_after_a_run_gets_502_or_504(code, run):
    """A failure after a possible run must have status 502 or 504.

    After a status that means "not run" the caller would send a claim again.
    """
    status = write_failure(Failure(code, 'reason', run)).status
    assert status in {502, 504}


def test_settings_file_is_translated(tmp_path):
    """Settings must be read with the right names and units.

    Zones are data centres, times are in seconds, and unknown fields are
    ignored. An unreadable or missing file must give a failure.
    """
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
    """The store client must read pages, watch, and use leases.

    An ended lease, a compacted history and an unavailable store must each
    be reported as what they are; mistaken for success, a daemon would
    miss changes or lose its entry.
    """

    async def scenario():
        async with StoreStandin() as store_standin:
            store_standin.page_size = 2
            for name in 'abc':
                store_standin.put(f'p/{name}', b'v')
            async with KeyValueStore(
                store_standin.address, ResponseLimits()
            ) as store:
                first_page = await store.read_page('p/')
                assert [i.key for i in first_page.items] == ['p/a', 'p/b']
                second_page = await store.read_page('p/', 'p/b')
                assert (second_page.items[0].value, second_page.truncated) == (
                    b'v',
                    False,
                )
                store_standin.remove('p/a')
                events = await store.watch('p/', first_page.revision, 1)
                assert events.events[0].key == 'p/a'
                unchanged = await store.watch('p/', events.revision, 0.05)
                assert not unchanged.events
                lease = await store.grant(5)
                assert await store.put('q/x', b'w', lease.lease) > 0
                assert await store.renew(lease.lease) == 5
                await store.end(lease.lease)
                assert 'q/x' not in store_standin.items
                assert isinstance(await store.renew(lease.lease), LeaseEnded)
                refused_put = await store.put('q/x', b'w', lease.lease)
                assert isinstance(refused_put, LeaseEnded)
                store_standin.compact()
                outdated = await store.watch('p/', 2, 0.05)
                assert isinstance(outdated, HistoryLost)
                store_standin.down = True
                refused = await store.put('q/x', b'w', 0)
                assert refused.run is RunState.NOT_RUN

    asyncio.run(scenario())


def test_product_does_not_name_the_platform():
    """No module of the product may use names of the platform's protocols.

    Only the adapter depends on the platform.
    """
    for path in (ROOT / 'boragespool').rglob('*.py'):
        text = path.read_text(encoding='utf-8').lower()
        assert 'boragespool_platform' not in text, path
        for name in PLATFORM_NAMES:
            assert not re.search(rf'\b{name}\b', text), (path, name)


@pytest.mark.parametrize(
    ('text', 'limit_per_s'),
    [
        ('7', 7),
        ('0.5', 0.5),
        ('15.166666666666666', 15.166666666666666),
        ('-3', None),
        ('1e400', None),
        ('nan', None),
        ('9' * 400, None),
    ],
)
def test_limit_of_a_server_is_a_decimal_number(text, limit_per_s):
    """Digits of any number must not hide a limit, and bad ones are no limit."""
    response = HttpResponse(200, fields=(('server-limit', text),))
    assert read_reply(response).rate_limit_per_s == limit_per_s
