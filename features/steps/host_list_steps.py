"""Steps with a host list of the platform that is out of date."""

from __future__ import annotations

import threading
import time

from behave import given, then, when

from features.fleet import ADDRESS_KEEP_S, CONNECTION_ERRORS
from features.steps.stop_steps import stop_together
from tests.processes import fetch, wait_until

ADDRESSES_LIMIT_S = 10


class AddressObserver(threading.Thread):
    """A thread that polls the address answers of all daemons every 20 ms.

    Attributes
    ----------
    answers : list of tuple
        Time of each answer and the addresses in it.
    """

    def __init__(self, fleet) -> None:
        super().__init__(name='address-observer')
        self.answers: list[tuple[float, tuple[str, ...]]] = []
        self._fleet = fleet
        self._is_stopping = threading.Event()

    def run(self) -> None:
        while not self._is_stopping.wait(0.02):
            for address in self._fleet.addresses():
                addresses = fetch_addresses(address)
                if addresses:
                    self.answers.append((time.monotonic(), addresses))

    def stop(self) -> None:
        self._is_stopping.set()
        if self.ident is not None:
            self.join()


def fetch_addresses(address):
    """Return the addresses that a daemon gives; () if it does not answer."""
    try:
        status, answer = fetch(address, '/v1/addresses?count=8')
    except CONNECTION_ERRORS:
        return ()
    return tuple(answer['addresses']) if status == 200 else ()


@given(
    'the platform lists daemons {hosts} as {state} and never changes its list'
)
def list_daemons(context, hosts, state):
    listed = [
        {
            'host': host,
            'state': state,
            'data_centre': 'north',
            'address': context.fleet.entries[host].peer_address,
        }
        for host in hosts.split(',')
    ]
    context.fleet.control_platform(hosts=context.fleet.host_list() + listed)


@given('an observer of the address answers')
def observe_addresses(context):
    observer = AddressObserver(context.fleet)
    context.address_observer = observer
    context.stack.callback(observer.stop)
    context.stopped_s_by_address = {}
    observer.start()


@when('daemon {host} is replaced by daemon {successor}')
def replace(context, host, successor):
    address = context.fleet.entries[host].address
    stop_together(context, [host])
    context.stopped_s_by_address[address] = time.monotonic()
    del context.fleet.entries[host]
    context.fleet.start_daemon(successor)
    context.fleet.wait_ready()


@then('every address was served for as long as it could be kept')
def served_long_enough(context):
    context.address_observer.stop()
    answers = context.address_observer.answers
    assert len(answers) > 100, len(answers)
    for answered_s, addresses in answers:
        for address in addresses:
            stopped_s = context.stopped_s_by_address.get(address, float('inf'))
            assert answered_s + ADDRESS_KEEP_S <= stopped_s, (
                address,
                stopped_s - answered_s,
            )


@then('callers are given the addresses of {hosts}')
def all_given(context, hosts):
    entries = context.fleet.entries
    wanted = {entries[host].address for host in hosts.split(',')}
    for entry in entries.values():
        wait_until(
            lambda entry=entry: set(fetch_addresses(entry.address)) == wanted,
            ADDRESSES_LIMIT_S,
            f'{entry.address} gives {wanted}',
        )
