"""Steps that check the snapshot, coverage and items of query answers."""

from __future__ import annotations

import time

from behave import given, then, when

from boragespool.client.answers import QueryResult
from boragespool.standins.items import all_items, items_between
from boragespool.types import KEY_SPACE_SIZE
from features.callers import ITEM_COUNT
from features.fleet import shard_key_range
from tests.processes import wait_until


def results(context):
    """Stop the queries; return those that have a query result."""
    sent = context.loads['queries'].stop()
    answered = [s for s in sent if isinstance(s.answer, QueryResult)]
    assert answered, [s.answer for s in sent][:3]
    return answered


def replicas(context, replica):
    """Return the names of the servers with this replica number."""
    return [
        spec['name']
        for spec in context.fleet.specs
        if spec['name'].endswith(f'-{replica}') and spec['service'] == 'lots'
    ]


def load_versions(context, specs, versions):
    for spec in specs:
        held = shard_key_range(spec['shard'], spec['shards'])
        context.fleet.control_servers(
            spec['name'],
            holdings={version: [held] for version in versions},
        )


@when('all servers hold index version {versions}')
def hold_versions(context, versions):
    """The servers change one after another, as with an index loader."""
    numbers = [int(word) for word in versions.split(' and ')]
    load_versions(context, context.fleet.specs, numbers)


@when('servers {names} hold index version {version:d}')
def some_hold(context, names, version):
    specs = [s for s in context.fleet.specs if s['name'] in names.split(',')]
    load_versions(context, specs, [version])


@when('replica {replica:d} of every shard is split into {parts:d} new shards')
def split_replica(context, replica, parts):
    """The replica of shard i then holds part i of the new partitioning."""
    for shard, name in enumerate(replicas(context, replica)):
        context.fleet.control_servers(
            name, holdings={1: [shard_key_range(shard, parts)]}
        )


@when('the servers are partitioned anew into {parts:d} shards')
def repartition(context, parts):
    """Each server loads its new key range before it drops the old one."""
    for drop_old in (False, True):
        for number, spec in enumerate(context.fleet.specs):
            held = [shard_key_range(number % parts, parts)]
            if not drop_old:
                held.append(shard_key_range(spec['shard'], spec['shards']))
            context.fleet.control_servers(spec['name'], holdings={1: held})
        wait_until(
            lambda: all_holdings_known(context), 10, 'holdings are announced'
        )


def all_holdings_known(context):
    held_ranges_by_server = {
        name: sorted(report['switches']['holdings']['1'])
        for name, report in context.fleet.report().items()
    }
    for host, entry in context.fleet.entries.items():
        if entry.process.poll() is not None:
            continue
        for server in context.fleet.status(host)['servers']:
            seen = [r for held in server['holdings'] for r in held['ranges']]
            if sorted(seen) != held_ranges_by_server[server['server']]:
                return False
    return True


@when('all replicas of shard {shard:d} break down')
def lose_shard(context, shard):
    names = [
        spec['name']
        for spec in context.fleet.specs
        if spec['shard'] == shard and spec['service'] == 'lots'
    ]
    context.fleet.control_servers(*names, crash=True)


@when('server {name} claims to hold index version {version:d}')
def report_unheld_version(context, name, version):
    spec = next(s for s in context.fleet.specs if s['name'] == name)
    held = shard_key_range(spec['shard'], spec['shards'])
    context.fleet.control_servers(
        name,
        reported={'holdings': {1: [held], version: [held]}},
    )


@when('the callers get snapshot {version:d}')
def wait_snapshot(context, version):
    load = context.loads['queries']
    wait_until(
        lambda: getattr(load.sent[-1].answer, 'snapshot', 0) == version,
        10,
        f'snapshot {version}',
    )


@when('the callers get coverage {coverage:g}')
def wait_coverage(context, coverage):
    load = context.loads['queries']
    wait_until(
        lambda: getattr(load.sent[-1].answer, 'coverage', -1) == coverage,
        20,
        f'coverage {coverage}',
    )


@given('servers of which {share:d} in 100 replies take {factor:d} times longer')
def add_stragglers(context, share, factor):
    context.fleet.add_servers(
        'lots',
        3,
        3,
        service_time_s=0.01,
        straggler_probability=share / 100,
        straggler_factor=factor,
    )


@then('every answer comes from one snapshot')
def one_snapshot(context):
    for sent in results(context):
        answer = sent.answer
        versions = {item.value['version'] for item in answer.items}
        assert versions <= {answer.snapshot}, (versions, answer.snapshot)


@then('every answer has exactly the items of its snapshot and coverage')
def true_coverage(context):
    """Recompute the coverage from the known items of the stand-in servers."""
    for sent in results(context):
        answer = sent.answer
        missing_size = sum(end - start for start, end in answer.missing)
        covered = 1 - missing_size / KEY_SPACE_SIZE
        assert abs(answer.coverage - covered) < 1e-6, answer
        assert (answer.code == 1000) == (not answer.missing), answer
        expected = items_between(
            all_items('lots', answer.snapshot, ITEM_COUNT),
            body=sent.body,
        )
        present = [
            item
            for item in expected
            if not any(s <= item.key < e for s, e in answer.missing)
        ]
        assert sorted(i.key for i in answer.items) == sorted(
            i.key for i in present
        ), (answer.snapshot, answer.coverage, answer.missing)


@then('every answer belongs to its own request')
def check_own_answers(context):
    for sent in results(context):
        names = {item.value['name'] for item in sent.answer.items}
        assert names <= {sent.body['match']}, (sent.body, names)


@then('every answer misses exactly shard {shard:d} or nothing')
def check_missing_shard(context, shard):
    spec = next(s for s in context.fleet.specs if s['shard'] == shard)
    lost = tuple(shard_key_range(shard, spec['shards']))
    for sent in results(context):
        assert all(
            lost[0] <= start < end <= lost[1]
            for start, end in sent.answer.missing
        ), sent.answer.missing


@then('the last answer is complete and comes from snapshot {version:d}')
def last_complete(context, version):
    last = max(results(context), key=lambda s: s.began_s + s.took_s).answer
    assert (last.snapshot, last.coverage) == (version, 1), last


@then('at least {count:d} answers come from snapshot {version:d}')
def count_snapshot(context, count, version):
    got = [s for s in results(context) if s.answer.snapshot == version]
    assert len(got) >= count, len(got)


@then('at least {count:d} answers are complete')
def count_complete(context, count):
    got = [s for s in results(context) if s.answer.coverage == 1]
    assert len(got) >= count, len(got)


@then('no answer took longer than {limit_s:g} s')
def check_max_duration(context, limit_s):
    slowest = max(s.took_s for s in context.loads['queries'].stop())
    assert slowest < limit_s, slowest


@then('every claim got the outcome of its own request')
def own_outcomes(context):
    ran = 0
    for sent in context.loads['claims'].stop():
        outcome = getattr(sent.answer, 'outcome', None)
        if outcome is not None:
            ran += 1
            assert outcome['claim_id'] == sent.name, (sent.name, outcome)
    assert ran, 'no claim ran'


@when('{duration_s:g} s pass')
def let_time_pass(context, duration_s):
    time.sleep(duration_s)
