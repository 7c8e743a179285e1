"""Forwarding logic: routes, splits, merging, load balancing, deadlines."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.forwarding import (
    Candidate,
    ForwardConfiguration,
    ForwardRoute,
    Locality,
    Reply,
    ServerLoad,
    Verdict,
    WeightedRoundRobin,
    WeightedService,
    choose_server,
    classify_reply,
    HedgeTimes,
    hedge_delay_s,
    index_routes,
    meets_coverage,
    plan_deadlines,
    top_records,
)

DETERMINISTIC = settings(derandomize=True, max_examples=200, deadline=None)
USUAL_S = 0.03
ROUTE = ForwardRoute(
    name='r',
    domain='shop.example',
    prefix='/a/',
    idempotent=True,
    max_attempt_count=2,
    timeout_s=1.5,
    target_latency_s=0.3,
    priority=0,
    shards=('s-0', 's-1', 's-2', 's-3'),
    record_count=2,
    required_coverage=0.75,
)


def route_index(*prefixes):
    """Return an index of routes with the given prefixes."""
    routes = tuple(replace(ROUTE, name=p, prefix=p) for p in prefixes)
    return index_routes(ForwardConfiguration(1, routes, {}))


@pytest.mark.parametrize(
    ('path', 'expected'),
    [
        ('/a/x', '/a/'),
        ('/a/b/x/y', '/a/b/'),
        ('/a/bc/x', '/a/'),
        ('/a/b/', '/a/b/'),
        ('/a', None),
        ('/x/a/', None),
        ('', None),
    ],
)
def test_longest_prefix_selects_the_route(path, expected):
    """The route with the longest matching prefix must be selected.

    With a shorter one the request would run at another service.
    """
    found = route_index('/a/', '/a/b/').find('Shop.Example:80', path)
    assert (found and found.name) == expected


@DETERMINISTIC
@given(
    st.lists(st.text('ab/', max_size=6), max_size=6),
    st.text('ab/', max_size=12),
)
def test_route_matches_a_linear_search(segments, path):
    """The index must find the same route as a search through all routes."""
    prefixes = {f'/{m}/'.replace('//', '/') for m in segments}
    matching = [p for p in prefixes if path.startswith(p)]
    found = route_index(*prefixes).find('shop.example', path)
    assert (found and found.prefix) == max(matching, key=len, default=None)


def test_unknown_domain_has_no_route():
    """A request for an unknown domain must not find a route."""
    assert route_index('/').find('other.example', '/a') is None


@DETERMINISTIC
@given(st.lists(st.integers(1, 9), min_size=1, max_size=5))
def test_split_is_exact_after_each_round(weights):
    """Each service must get exactly its weight in each round.

    A random choice would miss the weights over short times.
    """
    parts = tuple(
        WeightedService(f's-{n}', weight) for n, weight in enumerate(weights)
    )
    round_robin = WeightedRoundRobin(parts)
    services = [round_robin.next_service() for _ in range(3 * sum(weights))]
    assert [services.count(p.service) for p in parts] == [
        3 * w for w in weights
    ]


@DETERMINISTIC
@given(
    st.lists(st.lists(st.binary(min_size=16, max_size=16), max_size=5)),
    st.integers(0, 9),
    st.binary(max_size=15),
)
def test_greatest_records_of_all_bodies(bodies, count, remainder):
    """The merge must return the greatest records of all bodies.

    An incomplete record at the end of a body must be ignored.
    """
    joined = [b''.join(body) + remainder for body in bodies]
    expected = sorted((r for body in bodies for r in body), reverse=True)
    assert top_records(joined, count) == b''.join(expected[:count])


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({}, Verdict.SUCCESS),
        ({'status': 500}, Verdict.ERROR),
        ({'signature': None}, Verdict.UNUSABLE),
        ({'is_encoded': True}, Verdict.UNUSABLE),
        ({'status': 503, 'not_run': True, 'signature': None}, Verdict.NOT_RUN),
        ({'status': 503, 'signature': None}, Verdict.UNUSABLE),
        ({'status': 421, 'is_other_server': True}, Verdict.NOT_RUN),
    ],
)
def test_only_an_explicit_refusal_proves_that_nothing_ran(fields, expected):
    """Only an explicit refusal must count as not run.

    Any other response may follow a run, and a claim that is sent again after
    it could run twice.
    """
    reply = Reply(200, b'', (), 'signed', not_run=False)
    assert classify_reply(replace(reply, **fields)) is expected


def candidate(name, *, locality=Locality.DATA_CENTRE, **fields):
    return Candidate(name, ServerLoad(slots=5, **fields), locality, True)


def choose(*candidates, now_s=0, draw=0.0):
    """Return the name of the chosen server, or None."""
    found = choose_server(candidates, USUAL_S, now_s, draw)
    return found and found.server


def test_own_data_centre_is_preferred():
    """Servers of the own data centre, then region, must be preferred.

    Traffic between regions is expensive.
    """
    far = candidate('far', locality=Locality.ELSEWHERE, round_trip_s=0.024)
    same_region = candidate('beside', locality=Locality.REGION)
    assert choose(far, same_region, candidate('near')) == 'near'
    assert choose(far, same_region) == 'beside'


def test_stalled_server_is_avoided():
    """A server whose oldest attempt is overdue must be avoided.

    While a server pauses, every request sent to it would wait.
    """
    near = candidate('near')
    far = candidate('far', locality=Locality.ELSEWHERE, round_trip_s=0.024)
    near.load.start_attempt(1, 0)
    assert choose(near, far, now_s=0.02) == 'near'
    assert choose(near, far, now_s=0.2) == 'far'
    near.load.complete_attempt(1, USUAL_S, 0.3)
    assert near.load.stalled_s(USUAL_S, 0.3) == 0


def test_slow_server_is_avoided_and_tried_again():
    """A slow server must be avoided, and be tried again after a while.

    Without requests there are no new measurements, so it would be avoided
    for ever.
    """
    near = candidate('near')
    far = candidate('far', locality=Locality.ELSEWHERE, round_trip_s=0.024)
    for number in range(6):
        near.load.start_attempt(number, number)
        near.load.complete_attempt(number, USUAL_S, number + 10 * USUAL_S)
    assert choose(near, far, now_s=6) == 'far'
    assert choose(near, far, now_s=16) == 'near'


def test_full_servers_share_the_load():
    """A server with free slots must be preferred over a full one."""
    busy, free = candidate('busy'), candidate('free')
    for number in range(8):
        busy.load.start_attempt(number, 0)
    assert choose(busy, free) == 'free'


def test_refusing_server_is_avoided_for_longer_each_time():
    """A server that refuses connections must be avoided, longer each time.

    A crashed server has no load, so it would get every first attempt.
    """
    crashed, other = candidate('gone'), candidate('other', round_trip_s=0.1)
    crashed.load.fail_attempt(1, 0, connection_failed=True)
    assert choose(crashed, other, now_s=0.1) == 'other'
    first_s = crashed.load.suspect_until_s
    crashed.load.fail_attempt(2, first_s, connection_failed=True)
    assert crashed.load.suspect_until_s - first_s > first_s


def test_server_without_room_is_not_chosen():
    """A server without a free connection must not be chosen.

    It resets connections beyond its limit.
    """
    full = replace(candidate('full'), has_capacity=False)
    assert choose(full) is None
    assert choose(full, candidate('free')) == 'free'


@DETERMINISTIC
@given(st.floats(0, 1, exclude_max=True))
def test_equal_servers_are_chosen_at_random(draw):
    """Equal servers must be chosen at random.

    With a fixed order all daemons would pick the same server.
    """
    names = ['a', 'b', 'c', 'd']
    choice = choose(*map(candidate, names), draw=draw)
    assert choice == names[int(draw * 4)]


@DETERMINISTIC
@given(
    st.one_of(st.none(), st.floats(0, 20)),
    st.floats(0.01, 10),
    st.floats(0.01, 10),
)
def test_deadlines_are_in_order(timeout_s, route_s, target_s):
    """Deadlines must stay within those of the caller and the route.

    A server with a later deadline would work for a caller that has given up.
    """
    route = replace(ROUTE, timeout_s=route_s, target_latency_s=target_s)
    deadlines = plan_deadlines(route, timeout_s, 100)
    expected_timeout_s = (
        route_s if timeout_s is None else min(route_s, timeout_s)
    )
    assert deadlines.caller_deadline_at_s == pytest.approx(
        100 + expected_timeout_s
    )
    assert 100 <= deadlines.deadline_at_s <= deadlines.caller_deadline_at_s
    assert 100 < deadlines.target_at_s < 100 + target_s


def hedge_times(quantile_s, **changes):
    """Return times at which a hedge has no lack of time."""
    times = HedgeTimes(quantile_s, 0.01, 0, 0.024, ROUTE.target_latency_s)
    return replace(times, **changes)


def test_hedge_delay_includes_the_round_trip():
    """The hedge delay must include the round trip to the server.

    Otherwise every request to a distant server would be hedged.
    """
    near_s = hedge_delay_s(ROUTE, hedge_times(0.06))
    far_s = hedge_delay_s(ROUTE, hedge_times(0.06, round_trip_s=0.024))
    assert far_s == pytest.approx(near_s + 0.024)


@DETERMINISTIC
@given(
    st.one_of(st.none(), st.floats(0, 3)),
    st.floats(0.001, 0.5),
    st.floats(0, 0.05),
    st.floats(0, 0.05),
    st.floats(0, 1),
)
def test_hedge_is_sent_while_it_can_meet_the_target(
    quantile_s, unloaded_s, round_trip_s, hedge_round_trip_s, left_s
):
    """A hedge that can meet the target must not be sent too late for it.

    The quantile of a daemon that sees few requests stayed at the service time
    of slow servers long after they had recovered.
    """
    delay_s = hedge_delay_s(
        ROUTE,
        HedgeTimes(
            quantile_s, unloaded_s, round_trip_s, hedge_round_trip_s, left_s
        ),
    )
    min_delay_s = 0.12 * ROUTE.target_latency_s + round_trip_s
    assert delay_s >= min_delay_s - 1e-9
    latest_s = left_s - hedge_round_trip_s - 2.5 * unloaded_s
    assert delay_s <= latest_s + 1e-9 or latest_s < min_delay_s


@DETERMINISTIC
@given(st.integers(0, 40), st.integers(0, 40), st.floats(0, 1))
def test_coverage_is_never_rounded_up(answered, total, required_ratio):
    """Coverage below the required one must not count as met by rounding."""
    route = replace(ROUTE, required_coverage=required_ratio)
    if meets_coverage(route, answered, total):
        assert 0 < answered
        assert answered / total >= required_ratio - 1e-6
