"""Steps with callers whose connections go through a relay."""

from __future__ import annotations

import itertools

from behave import given, then, when

from features.raw_callers import RawCaller
from features.relays import RelayThread
from tests.processes import wait_until


class RawCallerGroup:
    """Several raw callers with the interface of one load generator."""

    def __init__(self, callers) -> None:
        self.name = callers[0].name
        self.callers = callers

    @property
    def sent(self):
        """Answered queries of all callers."""
        return list(itertools.chain.from_iterable(c.sent for c in self.callers))

    def stop(self):
        """Stop all callers; return their answered queries."""
        for caller in self.callers:
            caller.stop()
        return self.sent


def start_raw_callers(context, callers):
    group = RawCallerGroup(callers)
    context.loads['queries'] = group
    for caller in callers:
        caller.start()
    wait_until(lambda: len(group.sent) >= 20, 15, 'first answers')


@given('callers behind a relay that keep sending a different query')
def relayed_callers(context):
    relays = RelayThread(context.fleet.addresses())
    context.relays = context.stack.enter_context(relays)
    start_raw_callers(
        context,
        [RawCaller(f'till-{n}', relays.addresses) for n in range(6)],
    )


@when('the connections of the callers are cut')
def cut(context):
    context.relays.cut()


@when('the connections of the callers go silent')
def silence(context):
    context.relays.silence()


@then('the callers saw broken connections')
def saw_broken(context):
    """Guards against a scenario that broke no connection."""
    assert any(c.connection_errors for c in context.loads['queries'].callers)
