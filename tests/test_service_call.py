"""Service call: attempts and waiting while servers have no room."""

from __future__ import annotations

import itertools
from types import SimpleNamespace

import pytest

from boragespool.blackboard import Blackboard
from boragespool.controllers.forwarding.calls import RoutedRequest, ServiceCall
from boragespool.controllers.forwarding.crash_guard import CrashGuard
from boragespool.controllers.forwarding.route_times import RouteTimes
from boragespool.controllers.forwarding.server_rate import ServerRate
from boragespool.controllers.forwarding.service_queues import ServiceQueues
from boragespool.forwarding import (
    Deadlines,
    ForwardRequest,
    ForwardRoute,
    Reply,
    ServerLoad,
    request_identity,
)
from boragespool.http import ExchangeFailure, FailureKind
from boragespool.results import Failure
from boragespool.timers import VirtualTimers
from boragespool.types import RunState

CONNECTION_RESET = ExchangeFailure(
    FailureKind.CLOSED, sent=True, reason='reset'
)
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
    """Server whose attempts the test ends through the callbacks in `sent`."""

    def __init__(self, name):
        self.registration = SimpleNamespace(server=name)
        self.load = ServerLoad(5)
        self.rate = ServerRate(name, VirtualTimers(), lambda: None)
        self.connections = self
        self.has_capacity = True
        self.sent = []

    def send(self, outgoing, on_end):
        self.sent.append(on_end)
        return SimpleNamespace(cancel=lambda: None, sent_at_s=None)

    def probe(self, on_end):
        """Accept each connection."""
        on_end(None)

    def record_reply(self, *args):
        """Ignore the reply; `has_capacity` is set by the test."""

    record_abandoned = record_failure = record_reply


class FakeFleet:
    """Fleet of three servers that chooses the first one with room."""

    def __init__(self):
        self.timers = VirtualTimers()
        self.route_times = RouteTimes(0.9)
        self.queues = ServiceQueues(self.timers)
        self.servers = {name: FakeServer(name) for name in 'abc'}
        self.numbers = itertools.count()
        self.crash_guard = CrashGuard(
            Blackboard(), self.timers, 'host-1', lambda server: False
        )

    def servers_of(self, service):
        return self.servers

    def choose(self, service, route, tried):
        for name, server in self.servers.items():
            if server.has_capacity and name not in tried:
                return server
        return None

    def has_capacity(self, service, tried):
        return self.choose(service, 'r', tried) is not None

    def min_round_trip_s(self, service, tried):
        return 0

    def retry_budget(self, service):
        return SimpleNamespace(record_request=lambda now_s: None)

    def spend_retry_budget(self, service, *, is_hedge):
        return True

    def next_attempt_number(self):
        return next(self.numbers)

    def update_round_trip(self, server):
        """Ignore the round trip time."""


@pytest.fixture
def harness():
    """Fleet, a call that is not started, and the outcomes it reported."""
    fleet = FakeFleet()
    codec = SimpleNamespace(
        echo_header='request-id',
        write_request=lambda *args: None,
        read_reply=lambda response: response,
    )
    outcomes = []
    call = ServiceCall(
        fleet,
        codec,
        RoutedRequest(
            REQUEST,
            ROUTE,
            Deadlines(0.4, 1.9, 2),
            request_identity(REQUEST, 'request-id'),
        ),
        'one',
        lambda ended, outcome: outcomes.append(outcome),
    )
    return SimpleNamespace(fleet=fleet, call=call, outcomes=outcomes)


def sent_names(harness):
    """Return the names of the servers, once for each attempt."""
    servers = harness.fleet.servers.items()
    return [name for name, server in servers for _ in server.sent]


def test_call_joins_the_queue_once(harness):
    """A call must join the queue once, however many attempts fail.

    A second entry in the queue would send another attempt after the call
    has ended.
    """
    fleet = harness.fleet
    fleet.servers['c'].has_capacity = False
    harness.call.start()
    fleet.timers.advance(0.25)
    assert sent_names(harness) == ['a', 'b']
    for name in 'ab':
        fleet.servers[name].sent[0](CONNECTION_RESET)
    assert not harness.outcomes
    fleet.servers['c'].has_capacity = True
    fleet.queues.dispatch_all()
    assert sent_names(harness) == ['a', 'b', 'c']
    fleet.servers['c'].sent[0](CONNECTION_RESET)
    assert [end.run for end in harness.outcomes] == [RunState.UNKNOWN]
    assert not fleet.queues.has_waiting('one')


def test_cancelled_call_leaves_the_queue(harness):
    """A cancelled call must leave the queue and send no further attempt."""
    fleet = harness.fleet
    fleet.servers['b'].has_capacity = fleet.servers['c'].has_capacity = False
    harness.call.start()
    fleet.servers['a'].sent[0](CONNECTION_RESET)
    assert fleet.queues.has_waiting('one')
    harness.call.cancel()
    fleet.servers['b'].has_capacity = True
    fleet.queues.dispatch_all()
    assert sent_names(harness) == ['a']
    assert not fleet.queues.has_waiting('one')


def test_ended_call_sends_nothing(harness):
    """An abandoned call must not be sent when a server gets room."""
    fleet = harness.fleet
    for server in fleet.servers.values():
        server.has_capacity = False
    harness.call.start()
    assert harness.call.run_state is RunState.NOT_RUN
    harness.call.abandon()
    for server in fleet.servers.values():
        server.has_capacity = True
    fleet.queues.dispatch_all()
    assert not sent_names(harness)


def test_wait_for_one_server_ends_with_the_answer_of_another(harness):
    """A call that waits to retry must leave the queue on an answer.

    One attempt has failed and waits for room while the hedge is answered.
    Left in the queue, the call would be sent again after its answer.
    """
    fleet = harness.fleet
    fleet.servers['c'].has_capacity = False
    harness.call.start()
    fleet.timers.advance(0.25)
    fleet.servers['a'].sent[0](CONNECTION_RESET)
    assert fleet.queues.has_waiting('one')
    reply = Reply(200, b'', (), 's', not_run=False)
    fleet.servers['b'].sent[0](reply)
    assert harness.outcomes == [reply]
    assert not isinstance(harness.outcomes[0], Failure)
    assert not fleet.queues.has_waiting('one')
