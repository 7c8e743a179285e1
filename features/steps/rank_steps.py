"""Steps that overload a server and check how the ranks are served."""

from __future__ import annotations

import time

from behave import given, then, when

from features.callers import LoadGenerator, claim_body, make_claim_sender
from features.fleet import ROUTES
from tests.processes import wait_until

SLOTS = 10
SERVICE_TIME_S = 0.2
CAPACITY_PER_S = SLOTS / SERVICE_TIME_S
DEADLINE_S = 2
ROUTES_BY_RANK = {'urgent': 'claim', 'routine': 'look-up'} | {
    'deferrable': 'upload'
}


@given('1 server with 10 slots that runs claims')
def add_ledger(context):
    context.fleet.add_servers(
        'ledger', 1, 1, slots=SLOTS, service_time_s=SERVICE_TIME_S
    )


def start_overload(context, per_s_by_rank):
    for rank, rate_per_s in per_s_by_rank.items():
        load = LoadGenerator(
            'claims' if rank == 'urgent' else rank,
            context.fleet.addresses(),
            make_claim_sender(ROUTES_BY_RANK[rank], DEADLINE_S),
            claim_body,
            rate_per_s=rate_per_s,
            tickets_per_claim=1,
            connection_count=512,
            ticket_count=64,
        )
        context.loads[load.name] = load
        load.start()


@given('urgent claims below and {rank} claims far above the capacity')
def overload_lower_rank(context, rank):
    assert ROUTES['claim'].rank.value == 'urgent'
    start_overload(context, {'urgent': 15, rank: 5 * CAPACITY_PER_S})


@given('urgent claims far above the capacity and enough of the other ranks')
def overload_urgent(context):
    rates = {'routine': 25, 'deferrable': 15}
    start_overload(context, {'urgent': 5 * CAPACITY_PER_S} | rates)


def counters(context):
    return context.fleet.counters()['ledger-0-0']


@when('the flood has lasted long enough to fill all slots')
def fill_slots(context):
    """The concurrency limit of a new server starts at one and rises."""
    wait_until(
        lambda: counters(context)['peak_in_flight'] >= SLOTS,
        20,
        'all slots are used',
    )
    context.times_s_by_name['time'] = time.monotonic()


@when('the runs of {duration_s:g} s of the flood are counted')
def count_runs(context, duration_s):
    before = counters(context)['work_run_by_rank']
    began_s = time.monotonic()
    time.sleep(duration_s)
    after = counters(context)['work_run_by_rank']
    context.count_duration_s = time.monotonic() - began_s
    context.runs = {
        rank: count - before.get(rank, 0) for rank, count in after.items()
    }
    print(f'runs by rank: {context.runs}')


@then('at least {share:d} in 100 urgent claims met their deadline')
def urgent_served(context, share):
    sent = [
        claim
        for claim in context.loads['claims'].stop()
        if claim.began_s >= context.times_s_by_name['time']
    ]
    served = [c for c in sent if getattr(c.answer, 'code', 0) == 1002]
    slowest_s = max((c.took_s for c in served), default=0)
    print(f'{len(served)} of {len(sent)} served, slowest {slowest_s:.2f} s')
    assert len(sent) >= 20
    assert len(served) * 100 >= share * len(sent), [
        c.answer for c in sent if c not in served
    ][:5]


@then('the server was busy for at least {share:d} in 100 of its slots')
def check_slot_usage(context, share):
    ran = sum(context.runs.values())
    assert ran * 100 >= share * CAPACITY_PER_S * context.count_duration_s, ran


@then('{rank} work got at least {share:g} of the runs')
def check_rank_share(context, rank, share):
    total = sum(context.runs.values())
    assert total >= 0.75 * CAPACITY_PER_S * context.count_duration_s, (
        context.runs
    )
    assert context.runs.get(rank, 0) >= share * total, context.runs
