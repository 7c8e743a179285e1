"""Open-loop load driver: arrivals and reported counts."""

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
    """Arrivals must be sorted, inside the window and near the mean rate."""
    flow = Flow('find', WorkKind.QUERY, Rank.ROUTINE, 200, 1, 2, 6)
    times_s = list(arrival_times_s(flow, 10, random.Random(1)))
    assert times_s == sorted(times_s)
    assert 2 <= times_s[0]
    assert times_s[-1] < 6
    assert 700 < len(times_s) < 900


def test_counts_every_request_and_what_backend_servers_received():
    """Every request must be counted as answered or by its failure code.

    Otherwise a lost request would go unnoticed, and the load per request at
    the backend servers would be wrong.
    """
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
    """Slow servers must not reduce the offered load.

    A closed loop waits for answers before it sends the next request, offers
    less, and so hides the latency of the requests that it did not send.
    """
    with LoadDriver(1) as driver, ProcessFleet(SMALL) as fleet:
        names = [server.spec.name for server in fleet.placed_servers]
        fleet.control(names, service_time_s=5)
        find = Flow('find', WorkKind.QUERY, Rank.ROUTINE, 20, 0.3)
        routine = driver.run(fleet, (find,), 2).by_rank[Rank.ROUTINE]
        assert routine.offered > 20
        assert routine.p99_s <= 0.3
        assert routine.answered_share < 0.5 or routine.coverage < 1
