"""One request to one service while its servers have no room."""

from __future__ import annotations

import itertools
from types import SimpleNamespace

import pytest

from boragespool.controllers.forwarding.calls import RoutedRequest, ServiceCall
from boragespool.controllers.forwarding.route_times import RouteTimes
from boragespool.controllers.forwarding.service_queues import ServiceQueues
from boragespool.forwarding import (
    Deadlines,
    ForwardRequest,
    ForwardRoute,
    Reply,
    ServerLoad,
)
from boragespool.http import ExchangeFailure, FailureKind
from boragespool.results import Failure
from boragespool.timers import VirtualTimers
from boragespool.types import RunState

BROKEN = ExchangeFailure(FailureKind.CLOSED, sent=True, reason='reset')
ROUTE = ForwardRoute(
    name='r',
    domain='shop.example',
    prefix='/a/',
    idempotent=True,
    max_attempt_count=3,
    timeout_s=2,
    target_latency_s=0.4,
    priority=0,
)
REQUEST = ForwardRequest(
    domain='shop.example',
    method='GET',
    target='/a/x',
    path='/a/x',
    body=b'',
    fields=(),
    request_id='q1',
    timeout_s=2,
)


class FakeServer:
    """Keeps what is sent until the test ends it."""

    def __init__(self, name):
        self.registration = SimpleNamespace(server=name)
        self.load = ServerLoad(5)
        self.connections = self
        self.has_capacity = True
        self.sent = []

    def send(self, outgoing, on_end):
        self.sent.append(on_end)
        return SimpleNamespace(cancel=lambda: None)

    def record_reply(self, *args):
        """Keep no window."""

    record_abandoned = record_failure = record_reply


class FakeFleet:
    """Three servers; the first one with room is chosen."""

    def __init__(self):
        self.timers = VirtualTimers()
        self.route_times = RouteTimes(0.9)
        self.queues = ServiceQueues(self.timers)
        self.servers = {name: FakeServer(name) for name in 'abc'}
        self.numbers = itertools.count()

    def servers_of(self, service):
        return self.servers

    def choose(self, service, route, tried):
        for name, server in self.servers.items():
            if server.has_capacity and name not in tried:
                return server
        return None

    def has_capacity(self, service, tried):
        return self.choose(service, 'r', tried) is not None

    def retry_budget(self, service):
        return SimpleNamespace(record_request=lambda now_s: None)

    def spend_retry_budget(self, service, *, is_hedge):
        return True

    def next_attempt_number(self):
        return next(self.numbers)

    def update_round_trip(self, server):
        """Learn no distance."""


@pytest.fixture
def world():
    fleet = FakeFleet()
    codec = SimpleNamespace(
        echo_header='request-id',
        write_request=lambda *args: None,
        read_reply=lambda response: response,
    )
    ends = []
    call = ServiceCall(
        fleet,
        codec,
        RoutedRequest(REQUEST, ROUTE, Deadlines(0.4, 1.9, 2)),
        'one',
        lambda ended, outcome: ends.append(outcome),
    )
    return SimpleNamespace(fleet=fleet, call=call, ends=ends)


def sent_names(world):
    servers = world.fleet.servers.items()
    return [name for name, server in servers for _ in server.sent]


def test_call_waits_once_whatever_ends(world):
    """A call that joins twice would be sent after its own end."""
    fleet = world.fleet
    fleet.servers['c'].has_capacity = False
    world.call.start()
    fleet.timers.advance(0.25)
    assert sent_names(world) == ['a', 'b']
    for name in 'ab':
        fleet.servers[name].sent[0](BROKEN)
    assert not world.ends
    fleet.servers['c'].has_capacity = True
    fleet.queues.dispatch_all()
    assert sent_names(world) == ['a', 'b', 'c']
    fleet.servers['c'].sent[0](BROKEN)
    assert [end.run for end in world.ends] == [RunState.UNKNOWN]
    assert not fleet.queues.has_waiting('one')


def test_call_that_is_hedged_waits_no_more(world):
    """An attempt must not follow the answer."""
    fleet = world.fleet
    fleet.servers['b'].has_capacity = fleet.servers['c'].has_capacity = False
    world.call.start()
    fleet.servers['a'].sent[0](BROKEN)
    assert fleet.queues.has_waiting('one')
    world.call.cancel()
    fleet.servers['b'].has_capacity = True
    fleet.queues.dispatch_all()
    assert sent_names(world) == ['a']
    assert not fleet.queues.has_waiting('one')


def test_ended_call_sends_nothing(world):
    """What waits in the queue is forgotten with the call."""
    fleet = world.fleet
    for server in fleet.servers.values():
        server.has_capacity = False
    world.call.start()
    assert world.call.run_state is RunState.NOT_RUN
    world.call.abandon()
    for server in fleet.servers.values():
        server.has_capacity = True
    fleet.queues.dispatch_all()
    assert not sent_names(world)


def test_wait_for_one_server_ends_with_the_answer_of_another(world):
    """An answer that comes first ends the wait for a retry."""
    fleet = world.fleet
    fleet.servers['c'].has_capacity = False
    world.call.start()
    fleet.timers.advance(0.25)
    fleet.servers['a'].sent[0](BROKEN)
    assert fleet.queues.has_waiting('one')
    reply = Reply(200, b'', (), 's', not_run=False)
    fleet.servers['b'].sent[0](reply)
    assert world.ends == [reply]
    assert not isinstance(world.ends[0], Failure)
    assert not fleet.queues.has_waiting('one')
