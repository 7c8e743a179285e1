"""Steps that send claims and compare the answers with the runs."""

from __future__ import annotations

import concurrent.futures
import signal
from urllib.parse import quote

from behave import given, then, when

from boragespool.types import RunState
from features.fleet import CONNECTION_ERRORS
from features.steps.fleet_steps import post
from tests.processes import fetch, wait_until


def fetch_ticket(context, host):
    address = context.fleet.entries[host].address
    return fetch(address, '/v1/addresses?tickets=1')[1]['tickets'][0]


@given('a ticket from daemon {host}')
def take_ticket(context, host):
    context.ticket = fetch_ticket(context, host)
    context.claim_id = 'the-claim'
    context.answers = []


def send_claim(context, host, **extra):
    body = {
        'route': 'claim',
        'body': {'claim_id': context.claim_id} | extra,
        'ticket': context.ticket,
    }
    try:
        answer = post(context.fleet.entries[host], '/v1/claim', body)[1]
    except CONNECTION_ERRORS:
        return {'run': 'no answer'}
    return answer


@when('the claim is sent to daemons {hosts} {times:d} times at once')
def send_many(context, hosts, times):
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        calls = [
            pool.submit(send_claim, context, host)
            for _ in range(times)
            for host in hosts.split(',')
        ]
        context.answers.extend(call.result() for call in calls)


@when('the claim is sent to daemon {host}')
def send_once(context, host):
    context.answers.append(send_claim(context, host))


@when('a claim that crashes its server is sent to daemon {host}')
def send_crashing(context, host):
    context.answers.append(send_claim(context, host, crash=True))


@when('the outcome is asked for at daemon {host}')
def ask_outcome(context, host):
    address = context.fleet.entries[host].address
    path = f'/v1/claim/{quote(context.ticket, safe="")}'
    context.answers.append(fetch(address, path)[1])


@when('a claim sent to daemon {host} is running on its server')
def claim_running(context, host):
    pool = concurrent.futures.ThreadPoolExecutor(1)
    context.stack.callback(pool.shutdown)
    context.open_claim = pool.submit(send_claim, context, host)
    wait_until(
        lambda: context.claim_id in context.fleet.claim_runs(),
        10,
        'the claim runs',
    )


@when('daemon {host} is paused while the claim waits there')
def pause_with_claim(context, host):
    """The kernel accepts the request and keeps it for the paused daemon."""
    context.fleet.entries[host].signal(signal.SIGSTOP)
    pool = concurrent.futures.ThreadPoolExecutor(1)
    context.stack.callback(pool.shutdown)
    context.open_claim = pool.submit(send_claim, context, host)


@when('the first answer to the claim has come or its connection broke')
def collect_open(context):
    context.answers.append(context.open_claim.result(30))


@then('the claim ran {count:d} times')
@then('the claim ran {count:d} time')
def claim_ran(context, count):
    context.fleet.wait_idle()
    runs = context.fleet.claim_runs().get(context.claim_id, 0)
    assert runs == count, (runs, context.answers)


@then('every answer says {states}')
def every_answer(context, states):
    allowed = set(states.split(' or '))
    said = {answer['run'] for answer in context.answers}
    assert said, 'no answer'
    assert said <= allowed, context.answers


@then('the last answer says {state}')
def last_answer(context, state):
    assert context.answers[-1]['run'] == state, context.answers


def claims_of(context):
    return context.loads['claims'].stop()


@then('no claim ran twice')
def check_no_claim_ran_twice(context):
    claims_of(context)
    context.fleet.wait_idle()
    runs = context.fleet.claim_runs()
    assert runs, 'no claim ran'
    assert max(runs.values()) == 1, {k: v for k, v in runs.items() if v > 1}


@then('no claim that was answered not_run ran')
def check_not_run_claims(context):
    sent = claims_of(context)
    context.fleet.wait_idle()
    runs = context.fleet.claim_runs()
    wrongly_not_run = [
        claim
        for claim in sent
        if claim.run is RunState.NOT_RUN and claim.name in runs
    ]
    assert not wrongly_not_run, wrongly_not_run[:5]


@then('at least {count:d} claims were answered {state}')
def count_answers(context, count, state):
    states = [claim.run for claim in claims_of(context)]
    assert states.count(RunState(state)) >= count, states.count(RunState(state))


@then('every claim that was answered run ran once')
def check_run_claims_ran_once(context):
    runs = context.fleet.claim_runs()
    ran = [c for c in claims_of(context) if c.run is RunState.RUN]
    assert ran, 'no claim was answered run'
    assert all(runs.get(claim.name) == 1 for claim in ran)
