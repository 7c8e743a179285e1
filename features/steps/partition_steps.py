"""Steps that partition the network between two groups of daemons."""

from __future__ import annotations

from behave import given, then, when

from features.callers import LoadGenerator, make_query_sender, single_item_body
from features.fleet import DATA_CENTRES, DEAD_LIMIT_S
from features.partition import Partition
from features.steps.fleet_steps import QUERY_DEADLINE_S, start_load
from tests.processes import wait_until


@given('a network that can be cut between daemons {hosts} and the rest')
def add_partition(context, hosts):
    partition = Partition(hosts.replace(',', ''))
    context.fleet.partition = context.stack.enter_context(partition)


@given('callers of each side that keep sending queries')
def query_each_side(context):
    addresses = context.fleet.addresses()
    for number, data_centre in enumerate(DATA_CENTRES):
        load = LoadGenerator(
            f'queries-{data_centre}',
            addresses[number :: len(DATA_CENTRES)],
            make_query_sender('find', QUERY_DEADLINE_S),
            single_item_body,
            workers=4,
            data_centre=data_centre,
        )
        start_load(context, load)


@when('the network is cut')
def cut(context):
    context.fleet.partition.cut()


@when('the network is whole again')
def heal(context):
    context.fleet.partition.heal()


@when('the sides {near} and {far} take each other for dead')
def sides_dead(context, near, far):
    sides = (near.split(','), far.split(','))
    for here, there in (sides, sides[::-1]):
        for observer in here:
            wait_until(
                lambda observer=observer, there=there: all(
                    context.fleet.member_status(observer, host) == 'dead'
                    for host in there
                ),
                DEAD_LIMIT_S,
                f'{observer} sees {there} dead',
            )


@then('all daemons know each other again')
def wait_all_alive(context):
    for host in context.fleet.entries:
        context.fleet.wait_member_status(host, 'alive')
