"""Decisions of forwarding: routes, splits, records, choice and timing."""

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


def table(*prefixes):
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
    """A request must not run at the service of a shorter prefix."""
    found = table('/a/', '/a/b/').find('Shop.Example:80', path)
    assert (found and found.name) == expected


@DETERMINISTIC
@given(
    st.lists(st.text('ab/', max_size=6), max_size=6),
    st.text('ab/', max_size=12),
)
def test_route_is_that_of_a_linear_search(middles, path):
    """The index finds what a search through all routes finds."""
    prefixes = {f'/{m}/'.replace('//', '/') for m in middles}
    matching = [p for p in prefixes if path.startswith(p)]
    found = table(*prefixes).find('shop.example', path)
    assert (found and found.prefix) == max(matching, key=len, default=None)


def test_unknown_domain_has_no_route():
    """Requests for another domain must not run."""
    assert table('/').find('other.example', '/a') is None


@DETERMINISTIC
@given(st.lists(st.integers(1, 9), min_size=1, max_size=5))
def test_split_is_exact_after_each_round(weights):
    """Every part gets its weight in each round of the total."""
    parts = tuple(
        WeightedService(f's-{n}', weight) for n, weight in enumerate(weights)
    )
    turns = WeightedRoundRobin(parts)
    taken = [turns.next_service() for _ in range(3 * sum(weights))]
    assert [taken.count(p.service) for p in parts] == [3 * w for w in weights]


@DETERMINISTIC
@given(
    st.lists(st.lists(st.binary(min_size=16, max_size=16), max_size=5)),
    st.integers(0, 9),
    st.binary(max_size=15),
)
def test_greatest_records_of_all_bodies(bodies, count, rest):
    """The answer holds the greatest records, and no remainder of a body."""
    joined = [b''.join(body) + rest for body in bodies]
    everything = sorted((r for body in bodies for r in body), reverse=True)
    assert top_records(joined, count) == b''.join(everything[:count])


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
    """A status alone must not let a claim be sent again."""
    reply = Reply(200, b'', (), 'signed', not_run=False)
    assert classify_reply(replace(reply, **fields)) is expected


def candidate(name, *, locality=Locality.DATA_CENTRE, **fields):
    return Candidate(name, ServerLoad(slots=5, **fields), locality, True)


def chosen(*candidates, now_s=0, draw=0.0):
    found = choose_server(candidates, USUAL_S, now_s, draw)
    return found and found.server


def test_own_data_centre_comes_first():
    """Bytes between regions are dear."""
    far = candidate('far', locality=Locality.ELSEWHERE, round_trip_s=0.024)
    beside = candidate('beside', locality=Locality.REGION)
    assert chosen(far, beside, candidate('near')) == 'near'
    assert chosen(far, beside) == 'beside'


def test_stalled_server_is_passed_over():
    """A pause of one server must not hold up every query that follows."""
    near = candidate('near')
    far = candidate('far', locality=Locality.ELSEWHERE, round_trip_s=0.024)
    near.load.start_attempt(1, 0)
    assert chosen(near, far, now_s=0.02) == 'near'
    assert chosen(near, far, now_s=0.2) == 'far'
    near.load.complete_attempt(1, USUAL_S, 0.3)
    assert near.load.stalled_s(USUAL_S, 0.3) == 0


def test_slow_server_is_left_and_tried_again():
    """A server that was slow gets work again after a while."""
    near = candidate('near')
    far = candidate('far', locality=Locality.ELSEWHERE, round_trip_s=0.024)
    for number in range(6):
        near.load.start_attempt(number, number)
        near.load.complete_attempt(number, USUAL_S, number + 10 * USUAL_S)
    assert chosen(near, far, now_s=6) == 'far'
    assert chosen(near, far, now_s=16) == 'near'


def test_full_servers_share_the_load():
    """A server whose slots are taken costs more than a free one."""
    busy, free = candidate('busy'), candidate('free')
    for number in range(8):
        busy.load.start_attempt(number, 0)
    assert chosen(busy, free) == 'free'


def test_refusing_server_is_avoided_for_longer_each_time():
    """A crashed server must not get every first attempt."""
    gone, other = candidate('gone'), candidate('other', round_trip_s=0.1)
    gone.load.fail_attempt(1, 0, connection_failed=True)
    assert chosen(gone, other, now_s=0.1) == 'other'
    first_s = gone.load.suspect_until_s
    gone.load.fail_attempt(2, first_s, connection_failed=True)
    assert gone.load.suspect_until_s - first_s > first_s


def test_server_without_room_is_not_chosen():
    """Connections beyond the limit are reset by the server."""
    full = replace(candidate('full'), has_capacity=False)
    assert chosen(full) is None
    assert chosen(full, candidate('free')) == 'free'


@DETERMINISTIC
@given(st.floats(0, 1, exclude_max=True))
def test_equal_servers_are_drawn(draw):
    """Several daemons must not all pick the same server."""
    names = ['a', 'b', 'c', 'd']
    picked = chosen(*map(candidate, names), draw=draw)
    assert picked == names[int(draw * 4)]


@DETERMINISTIC
@given(
    st.one_of(st.none(), st.floats(0, 20)),
    st.floats(0.01, 10),
    st.floats(0.01, 10),
)
def test_deadlines_are_in_order(timeout_s, route_s, target_s):
    """No server is told a longer time than the caller or the route allows."""
    route = replace(ROUTE, timeout_s=route_s, target_latency_s=target_s)
    deadlines = plan_deadlines(route, timeout_s, 100)
    patience_s = route_s if timeout_s is None else min(route_s, timeout_s)
    assert deadlines.caller_deadline_at_s == pytest.approx(100 + patience_s)
    assert 100 <= deadlines.deadline_at_s <= deadlines.caller_deadline_at_s
    assert 100 < deadlines.target_at_s < 100 + target_s


def test_hedges_wait_for_the_way_to_the_server():
    """A distant server is not late while its answer is on its way."""
    near_s = hedge_delay_s(ROUTE, 0.06, 0)
    assert hedge_delay_s(ROUTE, 0.06, 0.024) == pytest.approx(near_s + 0.024)


@DETERMINISTIC
@given(st.integers(0, 40), st.integers(0, 40), st.floats(0, 1))
def test_coverage_is_never_rounded_up(answered, total, least):
    """An answer below the least coverage is no success."""
    route = replace(ROUTE, required_coverage=least)
    if meets_coverage(route, answered, total):
        assert 0 < answered
        assert answered / total >= least - 1e-6
