"""Backend server stand-in: its work, faults, status and programs."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.http import ExchangeFailure, HttpRequest, open_connection
from boragespool.messages import Item
from boragespool.results import Failure
from boragespool.standins.backend import BackendServer, BackendSpec
from boragespool.standins.backend_flags import parse_servers
from boragespool.standins.backend_server_group import BackendServerGroup
from boragespool.standins.items import all_items, items_between
from boragespool.standins.switches import BackendSwitches
from tests.standin_calls import call, work_body


def with_server(scenario, **switches):
    """Run a scenario with one backend server."""

    async def run():
        spec = BackendSpec(
            'lots-0',
            'lots',
            switches=BackendSwitches(**switches),
        )
        async with BackendServer(spec) as server:
            return await scenario(server)

    return asyncio.run(run())


async def send(server, **fields) -> tuple[int, Any]:
    """Send work on a new connection."""
    return await call(server.address, 'POST', '/v1/work', work_body(**fields))


def start(server, **fields) -> asyncio.Task:
    """Send work in the background."""
    return asyncio.create_task(send(server, **fields))


@settings(derandomize=True, deadline=None, max_examples=50)
@given(cuts=st.lists(st.integers(1, 2**32 - 1), max_size=6, unique=True))
def test_items_of_any_partition_add_up(cuts):
    """Items of the shards must add up to the items of the whole key space.

    Tests compare merged answers with them, so an item at a shard boundary
    must be neither missing nor in two shards.
    """
    bounds = [0, *sorted(cuts), 2**32]
    items = all_items('lots', 1, 100)
    parts = [
        item
        for start_key, end_key in zip(bounds, bounds[1:], strict=False)
        for item in items_between(items, start_key, end_key)
    ]
    assert parts == list(items)
    assert {item.value['version'] for item in all_items('lots', 2, 9)} == {2}


def test_work_matches_the_seeded_items_and_held_ranges():
    """Work for a version or range that the server lacks must be refused.

    An answer would hold too few items and still look complete.
    """

    async def scenario(server):
        status, body = await send(server, body={'match': '-00001'})
        expected = items_between(
            all_items('lots', 1, 200),
            body={'match': '-00001'},
        )
        assert status == 200
        assert msgspec.convert(body['items'], tuple[Item, ...]) == expected
        assert body['item_count'] == len(expected) == 10
        half = {'2': [[0, 100], [100, 2**31]], '3': []}
        assert server.control({'holdings': half}) is None
        assert (await send(server, version=2, end=2**31))[0] == 200
        for refused in ({}, {'version': 2}, {'version': 3, 'end': 1}):
            status, body = await send(server, **refused)
            assert (status, body['run']) == (409, 'not_run')
        assert server.counters.not_held == 3

    with_server(scenario)


def test_slots_backlog_and_deadlines():
    """Work beyond the backlog or past its deadline must not be run.

    It is refused as not run; if it ran nevertheless, tests would count a
    claim that was refused and run.
    """

    async def scenario(server):
        running = start(server, attempt_id='a')
        await asyncio.sleep(0.02)
        waiting = start(server, attempt_id='b', deadline_s=0.05)
        await asyncio.sleep(0.02)
        status, body = await send(server, attempt_id='c')
        assert (status, body['reason']) == (503, 'shed')
        status, body = await waiting
        assert (status, body['reason']) == (503, 'deadline')
        assert (await running)[0] == 200
        assert (await start(server, attempt_id='d'))[0] == 200
        counters = server.counters
        assert (counters.work_run, counters.peak_in_flight) == (2, 1)
        assert (counters.shed, counters.expired) == (1, 1)

    with_server(scenario, slots=1, backlog=1, service_time_s=0.15)


def test_waiting_work_gets_each_free_slot():
    """Each slot that becomes free must start waiting work.

    If several slots become free at once and only one is refilled, work
    waits while slots are idle.
    """

    async def scenario(server):
        first = [start(server, attempt_id=name) for name in 'ab']
        await asyncio.sleep(0.02)
        second = [start(server, attempt_id=name) for name in 'cd']
        await asyncio.gather(*first)
        await asyncio.sleep(0.02)
        assert server.report()['in_flight'] == 2
        assert [status for status, _ in await asyncio.gather(*second)] == [
            200,
            200,
        ]

    with_server(scenario, slots=2, backlog=2, service_time_s=0.1)


def test_cancel_frees_the_slot_and_reports_what_ran():
    """A cancelled query must free its slot; a claim must run to its end.

    The answer states whether the attempt had started to run.
    """

    async def cancel(server, attempt_id):
        body = {'attempt_id': attempt_id}
        return (await call(server.address, 'POST', '/v1/cancel', body))[1]

    async def scenario(server):
        running = start(server, attempt_id='a')
        await asyncio.sleep(0.02)
        waiting = start(server, attempt_id='b')
        await asyncio.sleep(0.02)
        async with asyncio.timeout(1):
            answer = await cancel(server, 'b')
            assert answer == {'cancelled': True, 'run': 'not_run'}
            assert (await waiting)[1]['run'] == 'not_run'
            answer = await cancel(server, 'a')
            assert answer == {'cancelled': True, 'run': 'run'}
            assert (await running)[1]['reason'] == 'cancelled'
        assert (await cancel(server, 'a'))['run'] == 'unknown'
        server.control({'service_time_s': 0.1})
        claim = start(server, kind='claim')
        await asyncio.sleep(0.03)
        answer = await cancel(server, 'a1')
        assert answer == {'cancelled': False, 'run': 'run'}
        assert (await claim)[1]['outcome']['runs'] == 1

    with_server(scenario, slots=1, backlog=1, service_time_s=5)


@pytest.mark.parametrize(('crash_mode', 'runs'), [(True, 1), ('before', 0)])
def test_crash_closes_connections_and_restarts(crash_mode, runs):
    """A crash before or after a claim must count its run accordingly.

    All connections are closed, and after the restart the server has a new
    incarnation. Crash tests compare the counted runs with the answers.
    """

    async def scenario(server):
        first = server.incarnation
        bystander = start(server, attempt_id='b')
        await asyncio.sleep(0.03)
        server.control({'service_time_s': 0.05})
        body = {'crash': crash_mode, 'claim_id': 'c1'}
        crashed = await send(server, kind='claim', body=body)
        assert isinstance(crashed, ExchangeFailure)
        assert crashed.sent
        assert isinstance(await bystander, ExchangeFailure)
        refused = await send(server)
        assert not refused.sent
        await asyncio.sleep(0.15)
        assert (await send(server))[0] == 200
        assert server.incarnation > first
        assert server.counters.claims_run_by_id['c1'] == runs
        assert server.counters.crashes == 1

    with_server(scenario, restart_s=0.1, service_time_s=5)


def test_silent_connections_drop_data_while_new_ones_work():
    """A silent connection must time out, not be seen as closed.

    Tests use it for a broken network, in which no reset arrives.
    """

    async def scenario(server):
        old = await open_connection(server.address, 1)
        status = HttpRequest('GET', '/v1/status')
        assert (await old.exchange(status, 1)).status == 200
        server.control({'silence': True})
        silent = await old.exchange(status, 0.1)
        assert silent.kind == 'timeout'
        new = await open_connection(server.address, 1)
        assert (await new.exchange(status, 1)).status == 200
        new.close()

    with_server(scenario)


def test_status_can_be_false_and_delayed():
    """Reported status must follow the settings for delayed or false values.

    Only the status is false: a draining server refuses work although it
    reports that it serves.
    """

    async def scenario(server):
        running = start(server)
        await asyncio.sleep(0.03)
        assert server.status()['load'] == 0.2
        server.control({'load_lag_s': 0.2, 'reported': {'slots': 900}})
        assert server.status()['load'] == 0
        assert server.status()['slots'] == 900
        server.control({'draining': True, 'reported': {'state': 'serving'}})
        status, body = await send(server, attempt_id='b')
        assert (status, body['reason']) == (503, 'draining')
        _, report = await call(server.address, 'GET', '/v1/status')
        assert report['state'] == 'serving'
        assert (await running)[0] == 200

    with_server(scenario, service_time_s=0.1)


def test_cold_start_stragglers_and_connection_cost_take_time():
    """Cold start, stragglers and connection cost must slow down replies."""

    async def duration_s(server):
        began_s = asyncio.get_running_loop().time()
        assert (await send(server))[0] == 200
        return asyncio.get_running_loop().time() - began_s

    async def scenario(server):
        assert server.status()['state'] == 'cold'
        assert await duration_s(server) > 0.1
        server.control({'cold_s': 0})
        assert server.status()['state'] == 'serving'
        assert await duration_s(server) < 0.1
        server.control({'straggler_probability': 1})
        assert await duration_s(server) > 0.1
        server.control({'straggler_probability': 0})
        server.control({'connection_cost_s': 0.15})
        assert await duration_s(server) > 0.15
        assert server.counters.stragglers == 1

    with_server(scenario, cold_s=60, cold_factor=20, service_time_s=0.01)


def test_flags_name_servers_and_shards():
    """Flags must give each server its shard, and wrong flags must fail.

    A misread flag would start servers with other ranges than a test needs.
    """
    template = BackendSpec('', '', connections=7)
    json = '[{"name":"c","service":"s","address":"127.0.0.1:0","shard":1,'
    json += '"switches":{"slots":2}}]'
    texts = ['a=s@127.0.0.2:4000', 'b=s@127.0.0.2:4001/1', json]
    specs = parse_servers(texts, template, shards=2)
    lower, upper = ((0, 2**31),), ((2**31, 2**32),)
    held = [spec.switches.holdings for spec in specs]
    assert held == [{1: lower}, {1: upper}, {1: upper}]
    assert specs[2].switches.slots == 2
    assert {spec.connections for spec in specs} == {7}
    for wrong in ('a=s', '[{"nam":"a"}]', '[', 'a=s@localhost:1'):
        assert isinstance(parse_servers([wrong], template, 1), Failure)


def test_host_controls_servers_that_do_not_listen():
    """The host must control servers that do not listen after a crash.

    A crashed server cannot be restarted over its own address.
    """

    async def scenario():
        specs = [BackendSpec(name, 'lots') for name in 'ab']
        async with BackendServerGroup(specs) as host:

            async def control(**changes):
                return await call(
                    host.control_address,
                    'POST',
                    '/v1/control',
                    changes,
                )

            _, report = await control(servers=['a'], crash=True)
            assert [report[name]['listening'] for name in 'ab'] == [False, True]
            assert not (await send(host.servers_by_name['a'])).sent
            await control(servers=['a'], restart=True)
            claim = {'kind': 'claim', 'body': {'ticket': 't1'}}
            assert (await send(host.servers_by_name['a'], **claim))[0] == 200
            _, report = await control()
            runs = report['a']['counters']['claims_run_by_id']
            assert runs == {'t1': 1}
            assert (await control(servers=['c']))[0] == 400
            assert (await control(slot=1))[0] == 400

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('program', 'arguments'),
    [
        ('platform_main', ['--hosts=[{"host":"h","state":"live"}]']),
        ('backend_main', ['--servers=a=s@127.0.0.1:0', '--version=3']),
    ],
)
def test_programs_start_and_stop(program, arguments):
    """The programs must start with their flags and stop on SIGTERM.

    Settings from flags and from the environment must both be applied.
    """
    module = f'boragespool.standins.{program}'
    environment = os.environ | {'BORAGESPOOL_SLOTS': '9'}
    with subprocess.Popen(
        [sys.executable, '-m', module, *arguments],
        stderr=subprocess.PIPE,
        env=environment,
    ) as process:
        ready = msgspec.json.decode(process.stderr.readline())
        _, report = asyncio.run(call(ready['address'], 'GET', '/v1/control'))
        process.terminate()
        assert process.wait(5) == 0
    if program == 'backend_main':
        assert report['a']['switches']['slots'] == 9
        assert list(report['a']['switches']['holdings']) == ['3']


def test_report_after_work_is_json():
    """The report must be valid JSON once work has run.

    The counters by rank have enumeration members as keys, which JSON does
    not allow.
    """

    async def scenario(server):
        status, _ = await send(server)
        assert status == 200
        status, report = await call(server.address, 'GET', '/v1/control')
        assert status == 200
        assert report['counters']['work_run'] == 1
        assert sum(report['counters']['work_run_by_rank'].values()) == 1

    with_server(scenario)


def test_control_reports_the_runs_by_name():
    """The report must have runs by the name of the rank and by claim id.

    Tests in other processes count the runs by these names.
    """

    async def scenario(server):
        await send(server, rank='urgent', kind='claim', body={'claim_id': 'x'})
        status, body = await call(server.address, 'GET', '/v1/control')
        assert status == 200
        assert body['counters']['work_run_by_rank'] == {'urgent': 1}
        assert body['counters']['claims_run_by_id'] == {'x': 1}

    with_server(scenario)
