"""Division of connections and of the retry allowance between daemons."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.blackboard.forwarding_topics import SERVING_HOSTS
from boragespool.forwarding import (
    AllowanceShare,
    HostRecord,
    sharing_daemons,
)
from boragespool.timers import LoopTimers
from tests.platform_standins.cluster import route, run, send, wait_until

DETERMINISTIC = settings(derandomize=True, deadline=None)
WINDOW_S = 10
REGIONS = ('north', 'central', 'south')


def make_records(counts):
    """Return records of daemons, `counts[n]` of them in the n-th region."""
    return tuple(
        HostRecord(f'{region}-{number}', f'{region}-yard', region, 'a:1')
        for region, count in zip(REGIONS, counts, strict=True)
        for number in range(count)
    )


@DETERMINISTIC
@given(
    st.tuples(*[st.integers(1, 60)] * 3),
    st.sampled_from(REGIONS),
)
def test_daemons_that_take_callers_stay_within_a_server_limit(counts, region):
    """The parts of all daemons together must not exceed a server's limit.

    Servers reset the connections above it. Those of daemons without callers
    are counted at the division between all daemons.
    """
    records = make_records(counts)
    taking = [
        record
        for record in records
        if sharing_daemons(records, record.host).count < len(records)
    ] or records
    total = sum(
        sharing_daemons(records, record.host).connection_ratio(
            region, record.region
        )
        for record in taking
    )
    assert total <= 1 + 1e-9


def test_daemons_of_the_region_have_most_of_a_server():
    """A daemon must get more of the servers that it asks first.

    With one part for each data centre, the daemons of a data centre without
    servers shared what is left with those of all other regions.
    """
    records = tuple(
        HostRecord(f'{yard}-{number}', yard, region, 'a:1')
        for yard, region in (
            ('keelung', 'north'),
            ('taoyuan', 'north'),
            ('taichung', 'central'),
            ('tainan', 'south'),
        )
        for number in range(4)
    )
    own = sharing_daemons(records, 'taoyuan-1')
    assert own.connection_ratio('north', 'north') == 0.6 / 8
    assert own.connection_ratio('south', 'north') == 0.4 / 12


def test_daemon_without_callers_keeps_an_equal_part():
    """Requests of callers that have not left a daemon yet must be served.

    Its part is that of a division between all daemons, so that many such
    daemons do not exceed the limits either.
    """
    records = make_records((40, 0, 0))
    counts = {sharing_daemons(records, record.host).count for record in records}
    assert counts == {10, 40}
    assert sharing_daemons((), 'alone').count == 1


@DETERMINISTIC
@given(st.lists(st.tuples(st.integers(1, 50), st.floats(0, 15)), min_size=1))
def test_share_of_the_allowance_never_jumps_up(steps):
    """A share that rises must reach its new value only after a window.

    Other daemons may have used the difference just before.
    """
    share, now_s = AllowanceShare(), 0
    for count, pause_s in steps:
        before = share.at(now_s, WINDOW_S)
        share = share.changed(1 / count, now_s, WINDOW_S)
        after = share.at(now_s, WINDOW_S)
        assert after <= max(before, 0.3 / count) + 1e-9
        assert after <= 1 / count + 1e-9
        now_s += pause_s
        grown = share.at(now_s, WINDOW_S)
        assert after - 1e-9 <= grown <= 1 / count + 1e-9
    assert share.at(now_s + WINDOW_S, WINDOW_S) == 1 / steps[-1][0]


def test_share_falls_at_once():
    """A daemon that has to share with others must give up its part at once."""
    alone = AllowanceShare().changed(1, 0, WINDOW_S)
    shared = alone.changed(0.25, WINDOW_S, WINDOW_S)
    assert shared.at(WINDOW_S, WINDOW_S) == 0.25


def test_daemons_without_callers_keep_few_connections():
    """Single requests to each of many daemons must not use up a server.

    195 daemons share 125 connections. Each of them got a request every four
    seconds that went to the same server, and kept the connection for seven:
    servers reset 1,211 connections in one day of large.
    """
    records = make_records((65, 65, 65))
    keep_alive_s, check_s, request_interval_s = 7, 1, 4
    held = 0
    for record in records:
        sharing = sharing_daemons(records, record.host)
        idle_s = min(keep_alive_s, sharing.max_idle_s) + check_s
        held += min(1, idle_s / request_interval_s)
    assert held <= 125


def test_daemon_without_callers_closes_idle_connections():
    """A daemon must close its connections soon if others take the callers."""

    async def scenario(cluster):
        server = await cluster.serve('one', 'i-a')
        cluster.configure(route(service='one'))
        daemon = await cluster.start()
        own = HostRecord('host-1', 'here', 'here-region', 'a:1')
        others = tuple(
            HostRecord(
                f'host-{n}', 'here', 'here-region', 'a:1', processor_cores=9
            )
            for n in range(2, 9)
        )
        connections = daemon.fleet.servers_of('one')['i-a'].connections
        assert (await send(daemon, request_id='q1')).status == 200
        assert connections.idle_until_s - LoopTimers().now_s() > 3
        daemon.board.post(SERVING_HOSTS, (own, *others))
        assert (await send(daemon, request_id='q2')).status == 200
        await wait_until(lambda: not connections.has_idle, 2)
        assert server.runs == ['q1', 'q2']

    run(scenario)
