"""Backend servers in virtual time, for tests of decisions under load.

Only the connections are simulated: routing, hedges, retries and budgets are
those of the product.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

from boragespool.blackboard import Blackboard
from boragespool.blackboard.forwarding_topics import (
    REGISTRATIONS,
    ROUTES,
    SERVING_HOSTS,
)
from boragespool.controllers.forwarding import fleet as fleet_module
from boragespool.controllers.forwarding.calls import RoutedRequest
from boragespool.controllers.forwarding.codec import MergedReply
from boragespool.controllers.forwarding.connection_warmer import (
    ConnectionWarmer,
)
from boragespool.controllers.forwarding.fleet import ServerFleet
from boragespool.controllers.forwarding.options import ForwardingOptions
from boragespool.controllers.forwarding.scatter_gather import ScatterGather
from boragespool.forwarding import (
    ForwardConfiguration,
    ForwardRequest,
    ForwardRoute,
    HostRecord,
    Registration,
    Reply,
    RetryLimits,
    index_routes,
    plan_deadlines,
    request_identity,
)
from boragespool.http import ExchangeFailure, FailureKind, HttpResponse
from boragespool.timers import VirtualTimers

REGIONS = ('north', 'central', 'south')
DATA_CENTRES = tuple(
    f'{region}-{site}' for site in ('yard', 'port') for region in REGIONS
)
ROUND_TRIP_S = 0.024
ACCEPT_S = 0.006
IDLE_S = 7
PAUSE_S, PAUSE_INTERVAL_S = 0.3, 7.5


@dataclass
class World:
    """Servers of all shards: speeds, pauses and slow phases.

    Attributes
    ----------
    mean_s : float
        Mean service time of the present request, in seconds.
    slow_factor : float
        Service time of the slow servers, as a multiple of the usual one.
    slow_from_s, slow_until_s : float
        Time in which they are slow, in seconds.
    lost_ratio : float
        Share of the requests whose connection ends without a response.
    """

    seed: int
    slow_factor: float = 1
    slow_ratio: float = 0
    slow_from_s: float = 0
    slow_until_s: float = 0
    lost_ratio: float = 0
    mean_s: float = 0.014
    timers: VirtualTimers = field(default_factory=VirtualTimers)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self._phases, self._slow = {}, {}

    def service_s(self, address):
        """Return how long a server takes for a request sent now."""
        draw, now_s = self.random, self.timers.now_s()
        phase_s = self._phases.setdefault(
            address, draw.uniform(0, PAUSE_INTERVAL_S)
        )
        is_slow = self._slow.setdefault(
            address, draw.random() < self.slow_ratio
        )
        work_s = self.mean_s * draw.lognormvariate(-0.06, 0.35)
        if draw.random() < 0.01:
            work_s *= 5
        if is_slow and self.slow_from_s <= now_s < self.slow_until_s:
            work_s *= self.slow_factor
        into_pause_s = (now_s + phase_s) % PAUSE_INTERVAL_S
        return work_s + max(0, PAUSE_S - into_pause_s)


class SimulatedConnections:
    """Connections to one simulated server."""

    def __init__(self, world, address, on_capacity_available):
        self.address, self.limit = address, 1
        self.min_handshake_s = None
        self._world = world
        self._round_trip_s = (
            0.001 if address.startswith(REGIONS[0]) else ROUND_TRIP_S
        )
        self._on_capacity_available = on_capacity_available
        self._idle_until_s = -math.inf
        self._busy_count = 0
        self.opened_count = 0

    has_capacity = property(lambda self: self._busy_count < self.limit)
    idle_until_s = property(lambda self: self._idle_until_s)
    may_warm_up = has_capacity

    @property
    def has_idle(self):
        return self._idle_until_s > self._world.timers.now_s()

    def probe(self, on_end):
        self.opened_count += 1
        self._set_idle()
        on_end(None)

    def warm_up(self, on_failure):
        self.opened_count += 1
        self._set_idle()

    def send(self, outgoing, on_end):
        """Send a request; the response comes in virtual time."""
        timers = self._world.timers
        self._busy_count += 1
        opening_s = 0
        if not self.has_idle:
            self.opened_count += 1
            opening_s = self._round_trip_s + ACCEPT_S
        self._idle_until_s = -math.inf
        exchange = SimpleNamespace(sent_at_s=timers.now_s() + opening_s)
        took_s = (
            opening_s + self._round_trip_s + self._world.service_s(self.address)
        )
        is_lost = self._world.random.random() < self._world.lost_ratio

        def end():
            self._release()
            self.min_handshake_s = self._round_trip_s
            if is_lost:
                on_end(ExchangeFailure(FailureKind.CLOSED, True, 'reset'))
            else:
                self._set_idle()
                on_end(HttpResponse(200, b''))

        timer = timers.after(took_s, end)

        def cancel():
            timer.cancel()
            self._release()

        exchange.cancel = cancel
        return exchange

    def close(self):
        self.limit = 0

    def close_expired(self):
        """Ignored: expiry is a time here."""

    def _release(self):
        self._busy_count -= 1
        self._on_capacity_available()

    def _set_idle(self):
        self._idle_until_s = self._world.timers.now_s() + IDLE_S


@dataclass
class Result:
    """Future-like receiver of the outcome of one gather."""

    timers: VirtualTimers
    outcome: object = None
    ended_at_s: float = math.inf

    def done(self):
        return self.outcome is not None

    def set_result(self, outcome):
        self.outcome, self.ended_at_s = outcome, self.timers.now_s()


def play_gathers(monkeypatch, world, gathers, *, sharing_hosts, warm=True):
    """Let one of several daemons send gathers over 42 shards.

    Parameters
    ----------
    gathers : list of tuple
        Start time and route of each gather, and its mean service time.
    sharing_hosts : int
        Number of daemons, all of which take callers.
    warm : bool
        Whether idle connections are opened before they are needed.

    Returns
    -------
    list of tuple
        Start, share of the credit (0 if late) and whether it was covered.
    """
    monkeypatch.setattr(
        fleet_module,
        'ServerConnections',
        lambda address, timers, buffers, on_capacity: SimulatedConnections(
            world, address, on_capacity
        ),
    )
    board = Blackboard()
    fleet = ServerFleet(board, world.timers, _options(), world.random.random)
    codec = SimpleNamespace(
        echo_header='request-id',
        write_request=lambda *args: None,
        read_reply=lambda response: Reply(200, b'', (), 's', False),
    )
    outcomes = []
    with fleet:
        board.post(SERVING_HOSTS, _records(sharing_hosts))
        routes = {route.name: route for _, route, _ in gathers}
        board.post(REGISTRATIONS, _registrations(next(iter(routes.values()))))
        board.post(
            ROUTES,
            index_routes(ForwardConfiguration(1, tuple(routes.values()), {})),
        )
        warmer = ConnectionWarmer(fleet)
        if warm:
            warmer.__enter__()
        # The allowance reaches its full size before the load begins.
        world.timers.advance(gathers[0][0])
        for start_s, route, mean_s in gathers:
            world.timers.advance(start_s - world.timers.now_s())
            world.mean_s = mean_s
            outcomes.append(_start_gather(fleet, codec, route))
        world.timers.advance(5)
    return [
        (start_s, *_credit(route, start_s, result))
        for (start_s, route, _), result in zip(gathers, outcomes, strict=True)
    ]


def gather_route(name, target_s, coverage, priority):
    """Return a route over 42 shards."""
    return ForwardRoute(
        name,
        'shop.example',
        f'/{name}/',
        idempotent=True,
        max_attempt_count=2,
        timeout_s=1.5,
        target_latency_s=target_s,
        priority=priority,
        shards=tuple(f's-{number}' for number in range(42)),
        record_count=5,
        required_coverage=coverage,
    )


def _start_gather(fleet, codec, route):
    now_s = fleet.timers.now_s()
    fleet.route_times.set_initial(route.name, route.target_latency_s)
    request = ForwardRequest(
        'shop.example', 'GET', '/x', '/x', b'', (), 'q', route.timeout_s
    )
    result = Result(fleet.timers)
    ScatterGather(
        fleet,
        codec,
        RoutedRequest(
            request,
            route,
            plan_deadlines(route, route.timeout_s, now_s),
            request_identity(request, 'request-id'),
        ),
        result,
    ).start()
    return result


def _credit(route, start_s, result):
    is_reply = isinstance(result.outcome, MergedReply)
    is_late = result.ended_at_s - start_s > route.target_latency_s
    if not is_reply or is_late:
        return 0, is_reply
    shard_count = len(route.shards)
    return ((shard_count - result.outcome.missing_count) / shard_count) ** 2, (
        True
    )


def _options():
    names = {'host': 'h-0', 'data_centre': 'north-yard', 'region': 'north'}
    return ForwardingOptions(
        **names,
        regions_by_data_centre=tuple(
            (name, name.partition('-')[0]) for name in DATA_CENTRES
        ),
        caller_address='',
        directory_address='',
        readiness_address='',
        control_address='',
        seeds=(),
        host_prefix='hosts/',
        configuration_prefix='op/config',
        registration_prefix='servers/',
        retry_limits=RetryLimits(0.2, 10, 430),
        stop_timeout_s=6,
    )


def _records(count):
    return tuple(
        HostRecord(
            f'h-{number}',
            DATA_CENTRES[number % len(DATA_CENTRES)],
            REGIONS[number % len(REGIONS)],
            'a:1',
        )
        for number in range(count)
    )


def _registrations(route):
    return {
        f'{shard}-{region}': Registration(
            f'{shard}-{region}',
            shard,
            f'{region}:{shard}',
            f'{region}-yard',
            slots=3,
            draining=False,
            warm_up_s=0,
            started_at_ms=1,
            sequence=1,
        )
        for shard in route.shards
        for region in REGIONS
    }
