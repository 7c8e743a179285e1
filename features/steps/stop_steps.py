"""Steps that stop daemons gracefully while callers send requests."""

from __future__ import annotations

import signal

from behave import given, then, when

from features.fleet import ADDRESS_KEEP_S
from features.raw_callers import RawCaller
from features.steps.relay_steps import start_raw_callers

STOP_LIMIT_S = 20


def start_address_callers(context, count, **options):
    addresses = context.fleet.addresses()
    callers = []
    for number in range(count):
        first = number % len(addresses)
        ordered = addresses[first:] + addresses[:first]
        callers.append(
            RawCaller(f'till-{number}', ordered, ADDRESS_KEEP_S, **options)
        )
    start_raw_callers(context, callers)


@given('callers without a library that follow the address answers')
def busy_callers(context):
    start_address_callers(context, 9, claims=True)


@given('callers that send rarely and follow the address answers')
def rare_callers(context):
    """A stopping daemon without open requests must still wait for them."""
    start_address_callers(context, 4, pause_s=0.4)


def stop_together(context, hosts):
    entries = [context.fleet.entries[host] for host in hosts]
    for entry in entries:
        entry.signal(signal.SIGTERM)
    for entry in entries:
        code = entry.wait(STOP_LIMIT_S)
        assert code == 0, (code, entry.events()[-3:])


@when('daemons {hosts} stop and start again one after the other')
def rolling_stop(context, hosts):
    for host in hosts.split(','):
        stop_together(context, [host])
        context.fleet.start_daemon(host)
        context.fleet.wait_ready()


@when('daemons {hosts} stop at the same time')
def stop_some(context, hosts):
    stop_together(context, hosts.split(','))


@then('no request was interrupted or refused')
def none_interrupted(context):
    group = context.loads['queries']
    group.stop()
    connection_errors = [
        b for caller in group.callers for b in caller.connection_errors
    ]
    refusals = [r for caller in group.callers for r in caller.refusals]
    print(f'{len(group.sent)} queries were answered')
    assert not connection_errors, connection_errors[:5]
    assert not refusals, refusals[:5]


@then('no claim of these callers ran twice')
def check_no_claim_ran_twice(context):
    context.fleet.wait_idle()
    runs = context.fleet.claim_runs()
    assert runs, 'no claim ran'
    assert max(runs.values()) == 1
