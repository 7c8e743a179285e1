"""Steps that start a deployment, generate load and inject failures."""

from __future__ import annotations

import signal
import time

from behave import given, then, when

from features.callers import (
    LoadGenerator,
    claim_body,
    make_claim_sender,
    make_query_sender,
    match_all_body,
    single_item_body,
)
from tests.processes import fetch, wait_until

CLAIM_DEADLINE_S = 3
QUERY_DEADLINE_S = 2
BODIES = {'the same': match_all_body, 'a different': single_item_body}


@given('{count:d} daemons')
def start_daemons(context, count):
    context.fleet.start(count)


@given('{replicas:d} servers that run claims')
def add_ledger(context, replicas):
    context.fleet.add_servers('ledger', 1, replicas, service_time_s=0.02)


@given('{shards:d} shards with {replicas:d} replicas each')
def add_shards(context, shards, replicas):
    context.fleet.add_servers('lots', shards, replicas, service_time_s=0.01)


def start_load(context, load):
    context.loads[load.name] = load
    load.start()
    wait_until(lambda: len(load.sent) >= 20, 15, 'first answers')


@given('callers that keep sending claims')
def keep_claiming(context):
    send = make_claim_sender('claim', CLAIM_DEADLINE_S)
    addresses = context.fleet.addresses()
    start_load(context, LoadGenerator('claims', addresses, send, claim_body))


@given('callers that keep sending {bodies} query')
def keep_querying(context, bodies):
    send = make_query_sender('find', QUERY_DEADLINE_S)
    addresses = context.fleet.addresses()
    start_load(
        context, LoadGenerator('queries', addresses, send, BODIES[bodies])
    )


@when('the callers have got {count:d} more answers')
def wait_answers(context, count):
    for load in context.loads.values():
        target = len(load.sent) + count
        wait_until(lambda: len(load.sent) >= target, 30, 'more answers')


@when('the callers stop')
def stop_callers(context):
    for load in context.loads.values():
        load.stop()
    context.fleet.wait_idle()


@when('daemon {host} is killed')
def kill_daemon(context, host):
    entry = context.fleet.entries[host]
    entry.signal(signal.SIGKILL)
    entry.wait()


@when('daemon {host} is paused until its peers take it for dead')
def pause_past_timeouts(context, host):
    context.fleet.entries[host].signal(signal.SIGSTOP)
    paused = context.fleet.entries.pop(host)
    try:
        context.fleet.wait_member_status(host, 'dead')
    finally:
        context.fleet.entries[host] = paused


@when('daemon {host} continues')
def continue_daemon(context, host):
    context.fleet.entries[host].signal(signal.SIGCONT)
    context.fleet.wait_member_status(host, 'alive')


@when('daemon {host} starts again')
def restart_daemon(context, host):
    context.fleet.start_daemon(host)
    context.fleet.entries[host].wait_for_event(101)


@when('the platform is down')
def platform_down(context):
    context.fleet.control_platform(down=True)


@when('the platform is up again')
def platform_up(context):
    context.fleet.control_platform(down=False)


@when('each call to the platform takes {delay_s:g} s')
def platform_slow(context, delay_s):
    context.fleet.control_platform(delay_s=delay_s)


@when('server {name} breaks down')
def crash_server(context, name):
    context.fleet.control_servers(name, crash=True)


@when('server {name} starts again')
def restart_server(context, name):
    context.fleet.control_servers(name, restart=True)


@when('all open connections to the servers go silent')
def silence_servers(context):
    context.fleet.control_servers(silence=True)


@then('at least {share:d} in 100 answers that began later are complete')
def later_answers(context, share):
    """Check that requests are still served after the noted time."""
    for load in context.loads.values():
        later = [
            s for s in load.sent if s.began_s > context.times_s_by_name['time']
        ]
        good = [s for s in later if getattr(s.answer, 'code', 0) < 1010]
        assert later, f'{load.name}: nothing was sent'
        assert len(good) * 100 >= share * len(later), (
            load.name,
            len(good),
            len(later),
            [s.answer for s in later if s not in good][:5],
        )


@when('this moment is noted')
def note_time(context):
    context.times_s_by_name['time'] = time.monotonic()


def post(entry, path, body):
    """Send a request to a daemon; return the status and the answer."""
    return fetch(entry.address, path, {'caller': 'till'} | body, 'POST')


@given('1 slow server that runs claims')
def add_slow_ledger(context):
    context.fleet.add_servers('ledger', 1, 1, service_time_s=0.5)


@given('far more claims than the server can run')
def overload(context):
    load = LoadGenerator(
        'claims',
        context.fleet.addresses(),
        make_claim_sender('claim', CLAIM_DEADLINE_S),
        claim_body,
        rate_per_s=80,
        tickets_per_claim=1,
        connection_count=512,
    )
    start_load(context, load)


@when('all servers begin to drain')
def drain_all(context):
    context.fleet.control_servers(draining=True)
