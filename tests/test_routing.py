"""Replica choice, hedging and the budget for retries and hedges."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.messages import Holding, ServerRecord
from boragespool.routing import (
    LatencyTracker,
    ServerObservations,
    TokenBudget,
    choose_replica,
    eligible_holdings,
    fingerprint_of,
    hedge_delay_s,
)
from boragespool.settings import (
    HedgingSettings,
    ServerSettings,
    ServiceSettings,
)
from boragespool.types import ServerState


@settings(derandomize=True, max_examples=300)
@given(
    st.floats(0, 0.2),
    st.floats(0, 30),
    st.lists(st.tuples(st.integers(0, 60), st.integers(0, 60)), max_size=40),
)
def test_budget_holds_over_every_period(ratio, burst, rounds):
    """Retries of several hops at once must not multiply the load."""
    # Guards against more second attempts than the budget allows in any period:
    # its ratio of the first attempts plus the saved tokens.
    budget = TokenBudget(HedgingSettings(budget_ratio=ratio, burst=burst))
    firsts, seconds = [], []
    for earned, wished in rounds:
        budget.earn(earned)
        firsts.append(earned)
        seconds.append(sum(budget.spend() for _ in range(wished)))
    assert sum(seconds) <= burst + ratio * sum(firsts) + 1e-6
    for begin in range(1, len(rounds)):
        saved = max(burst, ratio * max(firsts[:begin]))
        allowed = saved + ratio * sum(firsts[begin:])
        assert sum(seconds[begin:]) <= allowed + 1e-6


def test_budget_takes_over_new_settings():
    """Guards against tokens beyond a burst that an operator has lowered."""
    budget = TokenBudget(HedgingSettings(burst=20))
    budget.configure(HedgingSettings(burst=2))
    assert [budget.spend() for _ in range(4)] == [True, True, False, False]


def test_a_wide_query_can_use_the_tokens_it_earns():
    """Guards against a burst that limits the hedges of a wide query.

    A query over 1,900 shards earns more tokens at once than the burst of 20
    and needs them for its stragglers.
    """
    budget = TokenBudget(HedgingSettings(budget_ratio=0.045, burst=20))
    budget.earn(1_900)
    assert budget.tokens == pytest.approx(85.5)
    budget.earn(30)
    assert budget.tokens == 20


def service(names, drained=()):
    """Return a service with one server per name, on a host of that name."""
    return ServiceSettings(
        5,
        40,
        {
            name: ServerSettings('', 'dc', host=name, drained=name in drained)
            for name in names
        },
    )


def record(name, state):
    """Return a server record with one holding."""
    holdings = (Holding(1, ((0, 9),)),)
    return ServerRecord(name, 's', 'dc', 'd', 1, 1, 1, state, 5, holdings)


NAMES = ('a', 'b', 'c', 'd')
NAME_SETS = st.sets(st.sampled_from(NAMES))


@settings(derandomize=True, max_examples=500)
@given(
    st.tuples(*[st.sampled_from(ServerState)] * 4),
    NAME_SETS,
    NAME_SETS,
    NAME_SETS,
    NAME_SETS,
    st.integers(0, 2**32),
)
def test_no_new_work_to_servers_that_leave(
    states, drained, hosts, said, suspect, seed
):
    """Suspicion of the other replicas must not reopen a leaving one."""
    # Guards against new work for a leaving server when most other replicas are
    # suspect and their suspicion is ignored.
    records = {n: record(n, s) for n, s in zip(NAMES, states, strict=True)}
    replicas = tuple(eligible_holdings(service(NAMES, drained), records, hosts))
    observations = ServerObservations()
    for name in suspect:
        observations.record_failure(name, 0)
    for name in said:
        observations.record_draining(name, 0)
    closed = {
        name
        for name, state in zip(NAMES, states, strict=True)
        if state in {ServerState.DRAINING, ServerState.LOST}
    }
    usable = set(NAMES) - closed - drained - hosts - said
    draw = random.Random(seed).random
    chosen = {
        choose_replica(replicas, (), observations, (draw(), draw()), 0.1, 0)
        for _ in range(40)
    }
    assert chosen - {None} <= usable
    assert (None in chosen) == (not usable)
    if usable and len(usable & suspect) * 2 <= len(usable):
        assert not chosen & suspect


def choice_counts(observations, now_s=0.0, replicas=NAMES[:3]):
    """Return how often each replica is chosen in 300 choices."""
    draw = random.Random(1).random
    chosen = [
        choose_replica(replicas, (), observations, (draw(), draw()), now_s, 0)
        for _ in range(300)
    ]
    return {name: chosen.count(name) for name in replicas}


def test_all_replicas_are_used_when_most_are_suspect():
    """Guards against a service without usable servers.

    A fault of the daemon's own link makes most replicas suspect; then the
    suspicion must be ignored.
    """
    observations = ServerObservations()
    observations.record_failure('a', 0)
    assert choice_counts(observations)['a'] == 0
    observations.record_failure('b', 0)
    assert min(choice_counts(observations).values()) > 0


def test_own_observations_outweigh_reported_waits():
    """Guards against a false report that keeps all work from a server.

    A reported wait is capped and expires, so that attempts in flight at the
    other replicas can outweigh it.
    """
    observations = ServerObservations()
    for name in NAMES[:3]:
        observations.record_sent(name)
        observations.record_success(name, 0.01, 0)
    observations.record_waits('a', (1e9,), 0)
    assert choice_counts(observations)['a'] == 0
    for name in ('b', 'c'):
        observations.record_sent(name)
        observations.record_sent(name)
    assert choice_counts(observations)['a'] > 150
    assert observations.wait_s('a', 0, 1) == 1
    assert observations.wait_s('a', 0, 3) == 0


def test_lost_server_is_tried_by_one_attempt_at_a_time():
    """Guards against many concurrent attempts to a server that was lost.

    After a while one attempt tests whether it is back; until its reply, the
    server stays suspect for all others.
    """
    observations = ServerObservations()
    observations.record_sent('a')
    observations.record_failure('a', 0)
    assert observations.is_suspect('a', 0.4)
    assert not observations.is_suspect('a', 0.6)
    observations.record_sent('a')
    assert observations.is_suspect('a', 0.6)
    observations.record_success('a', 0.01, 0.7)
    assert not observations.is_suspect('a', 0.7)


def test_silent_server_becomes_suspect_and_one_straggler_does_not():
    """Guards against a silent server that keeps getting work.

    A dispatcher that died answers nothing. One overdue reply is a normal
    straggler; two without an answer between them make the server suspect.
    """
    observations = ServerObservations()
    observations.record_overdue('a', 0)
    observations.record_success('a', 0.01, 0)
    observations.record_overdue('a', 0)
    assert not observations.is_suspect('a', 0)
    observations.record_overdue('a', 0)
    assert observations.is_suspect('a', 0)


def test_one_straggler_does_not_shut_a_replica_out():
    """Guards against a server that gets no work for long after one slow reply.

    A reply that is 20 times slower must raise the latency estimate little.
    """
    observations = ServerObservations()
    for latency_s in (0.01, 0.2):
        observations.record_sent('a')
        observations.record_success('a', latency_s, 0)
    assert observations.latency_s('a', 0) == pytest.approx(0.013)


def test_latency_quantile_follows_recent_attempts():
    """Guards against hedges at the wrong time.

    The quantile must follow the recent attempts when the latency changes.
    """
    tracker = LatencyTracker(0.97)
    draw = random.Random(3)
    for _ in range(47):
        tracker.record(draw.uniform(0.5, 0.6))
    assert tracker.quantile_s is None
    for _ in range(5000):
        tracker.record(draw.uniform(0.5, 0.6))
    assert tracker.quantile_s == pytest.approx(0.597, rel=0.05)
    for _ in range(9000):
        tracker.record(draw.uniform(0, 0.1))
    assert tracker.quantile_s == pytest.approx(0.097, rel=0.05)


def test_hedge_only_where_it_can_help():
    """Guards against useless or harmful hedges.

    A hedge of a suspect request could crash a second server; one that starts
    after the deadline, or without a known latency, cannot help.
    """
    assert hedge_delay_s(0.02, 0.1, suspect=False) == 0.02
    assert hedge_delay_s(0.02, 0.1, suspect=True) is None
    assert hedge_delay_s(0.2, 0.1, suspect=False) is None
    assert hedge_delay_s(None, 0.1, suspect=False) is None


def test_fingerprint_separates_route_and_body():
    """Guards against different requests with the same fingerprint.

    If one of them were blocked, the other one would be refused with it.
    """
    assert fingerprint_of('ab', b'c') != fingerprint_of('a', b'bc')
    assert fingerprint_of('a', b'c') == fingerprint_of('a', b'c')
