"""Open-loop load driver."""

from __future__ import annotations

import random

from boragespool.bench.caller import Flow, arrival_times_s
from boragespool.bench.load_driver import LoadDriver
from boragespool.bench.process_fleet import ProcessFleet
from boragespool.types import Rank, WorkKind
from tests.test_process_fleet import SMALL

FIND = Flow('find', WorkKind.QUERY, Rank.ROUTINE, 20, 1)
PAY = Flow('pay', WorkKind.CLAIM, Rank.URGENT, 10, 2)


def test_arrivals_keep_the_mean_rate_and_the_window():
    """A flow must not exceed its window or drift from its rate."""
    flow = Flow('find', WorkKind.QUERY, Rank.ROUTINE, 200, 1, 2, 6)
    times_s = list(arrival_times_s(flow, 10, random.Random(1)))
    assert times_s == sorted(times_s)
    assert 2 <= times_s[0]
    assert times_s[-1] < 6
    assert 700 < len(times_s) < 900


def test_counts_every_request_and_what_backend_servers_received():
    """Guards against requests that are neither answered nor reported."""
    with LoadDriver(2) as driver, ProcessFleet(SMALL) as fleet:
        summary = driver.run(fleet, (FIND, PAY), 2)
        routine = summary.by_rank[Rank.ROUTINE]
        urgent = summary.by_rank[Rank.URGENT]
        for one in (routine, urgent):
            assert 0 < one.answered <= one.offered
            assert sum(one.codes.values()) == one.offered - one.answered
            assert 0 < one.p50_s <= one.p99_s
        assert summary.received > 0
        assert summary.needed == (
            (routine.offered - routine.refused) * 2
            + urgent.offered
            - urgent.refused
        )


def test_slow_servers_do_not_slow_the_load():
    """A closed loop would offer less, and hide the latency of the rest."""
    with LoadDriver(1) as driver, ProcessFleet(SMALL) as fleet:
        names = [server.spec.name for server in fleet.placed_servers]
        fleet.control(names, service_time_s=5)
        find = Flow('find', WorkKind.QUERY, Rank.ROUTINE, 20, 0.3)
        routine = driver.run(fleet, (find,), 2).by_rank[Rank.ROUTINE]
        assert routine.offered > 20
        assert routine.p99_s <= 0.3
        assert routine.answered_share < 0.5 or routine.coverage < 1
