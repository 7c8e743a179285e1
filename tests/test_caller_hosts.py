"""Choice of the daemons that take callers, and the flag of busy ones."""

from __future__ import annotations

import base64
import random
from dataclasses import replace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.forwarding import Busyness, HostRecord, hosts_for_callers
from boragespool.forwarding.busyness import after_sample
from boragespool.http import HttpRequest, open_connection
from tests.platform_standins.cluster import route, run, wait_until

DETERMINISTIC = settings(derandomize=True, deadline=None)
MEASURE_INTERVAL_S = 0.25
KEY = 'hosts/host-1'


def make_records(count):
    """Return the records of daemons of one data centre."""
    return tuple(
        HostRecord(f'host-{number}', 'here', 'r', f'10.0.0.{number}:1')
        for number in range(count)
    )


def names_of(records):
    """Return the host names of records."""
    return {record.host for record in records}


@DETERMINISTIC
@given(st.integers(1, 80), st.randoms(use_true_random=False))
def test_all_daemons_choose_the_same_hosts(count, shuffler):
    """The choice must not depend on the order of the records.

    Daemons list them in different orders; if they named different daemons,
    together they would name all.
    """
    records = list(make_records(count))
    chosen = names_of(hosts_for_callers(tuple(records)))
    shuffler.shuffle(records)
    assert names_of(hosts_for_callers(tuple(records))) == chosen
    assert len(chosen) == max(min(count, 4), -(-count // 4))


@DETERMINISTIC
@given(st.integers(2, 80), st.integers(0, 79))
def test_a_lost_daemon_exchanges_at_most_one(count, lost):
    """The loss of a daemon must move few callers.

    Callers close connections to addresses that are no longer named.
    """
    records = make_records(count)
    left = records[: lost % count] + records[lost % count + 1 :]
    before = names_of(hosts_for_callers(records))
    after = names_of(hosts_for_callers(left))
    assert len(after - before) <= 1
    assert len(before - after) <= 2


def test_fast_hosts_take_the_callers():
    """The fastest hosts must come first, until a quarter of the capacity.

    A query over 42 shards takes four times as long to send on a slow host.
    """
    records = make_records(32)
    mixed = tuple(
        replace(record, processor_cores=2 if number < 5 else 0.5)
        for number, record in enumerate(records)
    )
    fast = names_of(mixed[:5])
    assert names_of(hosts_for_callers(mixed)) < fast
    assert len(hosts_for_callers(mixed)) == 4
    few = tuple(
        replace(record, processor_cores=2 if number < 2 else 0.5)
        for number, record in enumerate(records)
    )
    chosen = names_of(hosts_for_callers(few))
    assert names_of(few[:2]) < chosen
    assert len(chosen) == 4
    for taking in hosts_for_callers(mixed):
        left = tuple(record for record in mixed if record != taking)
        assert names_of(hosts_for_callers(left)) == fast - {taking.host}


@DETERMINISTIC
@given(st.integers(8, 80), st.integers(1, 20))
def test_busy_daemons_add_others(count, busy_count):
    """Each busy daemon must add others without taking one away."""
    records = make_records(count)
    calm = hosts_for_callers(records)
    busy = names_of(calm[:busy_count])
    marked = tuple(
        replace(record, busy=record.host in busy) for record in records
    )
    widened = names_of(hosts_for_callers(marked))
    assert names_of(calm) <= widened
    assert len(widened) == min(count, len(calm) + 3 * len(busy))


def play_crowd(rate_per_s, host_count=32, duration_s=10):
    """Play callers that come at a rate; return the usage of each daemon.

    Every second the callers spread evenly over the daemons that they are
    given. A request takes 30 ms of a daemon, and with a usage of `u` a timer
    is late by half a request in a share `u` of the cases.
    """
    draw = random.Random(1)
    records = make_records(host_count)
    state_by_host = {record.host: Busyness() for record in records}
    usage = 0
    for second in range(duration_s):
        chosen = hosts_for_callers(records)
        usage = min(1, rate_per_s * 0.03 / len(chosen))
        for step in range(int(1 / MEASURE_INTERVAL_S)):
            now_s = second + step * MEASURE_INTERVAL_S
            for record in chosen:
                queued_s = 0.03 * usage / max(0.05, 1 - usage)
                late_s = queued_s if draw.random() < usage else 0
                state_by_host[record.host] = after_sample(
                    state_by_host[record.host], late_s, now_s
                )
        records = tuple(
            replace(record, busy=state_by_host[record.host].busy)
            for record in records
        )
    return usage, len(hosts_for_callers(records))


def test_crowd_widens_the_choice():
    """A crowd must be spread over further daemons, and usual load must not.

    A quarter of the daemons would make each request wait; all of them would
    work with cold connections again.
    """
    calm_usage, calm_count = play_crowd(rate_per_s=40)
    assert calm_count == 8
    assert calm_usage < 0.2
    crowd_usage, crowd_count = play_crowd(rate_per_s=400)
    assert crowd_count > 16
    assert crowd_usage < 0.75


def test_busy_flag_needs_lasting_lateness():
    """One pause must not make a daemon busy, and a busy one stays so a while.

    Each change of the flag is a write to the store.
    """
    state = after_sample(Busyness(), 5, 0)
    assert not state.busy
    for number in range(8):
        state = after_sample(state, 0.03, number / 4)
    assert state.busy
    now_s = 2
    while state.busy:
        now_s += 0.25
        state = after_sample(state, 0, now_s)
    assert 10 <= now_s - 2 <= 13


def test_busy_daemon_is_recorded_in_the_store():
    """The flag must reach the store, and the daemon keep its entry.

    A write that fails must be repeated with the next renewal of the lease.
    """

    async def scenario(cluster):
        await cluster.serve('one', 'i-a')
        cluster.configure(route(service='one'))
        daemon = await cluster.start()

        def is_recorded_busy():
            value = base64.b64decode(cluster.store.items[KEY]['value'])
            return msgspec.json.decode(value)['busy']

        assert not is_recorded_busy()
        daemon._hosts.set_busy(True)
        await wait_until(is_recorded_busy)
        daemon._hosts.set_busy(False)
        await wait_until(lambda: not is_recorded_busy())
        target = '/v1/resolve?name=x&region=here-region&zone=here'
        connection = await open_connection(daemon.options.directory_address, 1)
        async with connection:
            answer = await connection.exchange(HttpRequest('GET', target), 1)
        assert daemon.options.caller_address in answer.body.decode()

    run(scenario)
