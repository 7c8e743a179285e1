"""Limits, states and crash verdicts of backend servers."""

from __future__ import annotations

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.backends import (
    CrashTracker,
    ServerSignals,
    ServiceStates,
    after_reply,
    after_shed,
    initial_limit,
    newer_record,
    next_version,
    with_slots,
)
from boragespool.messages import ServerRecord
from boragespool.types import ServerState

DETERMINISTIC = settings(derandomize=True, max_examples=200, deadline=None)
OUT_OF_SERVICE = {ServerState.DRAINING, ServerState.LOST}
SIGNS = st.builds(
    ServerSignals,
    announced=st.sampled_from(ServerState),
    drained=st.booleans(),
    host_leaving=st.booleans(),
    reply_draining=st.booleans(),
    unreachable=st.booleans(),
)
REPORTS = st.builds(
    ServerSignals,
    announced=st.sampled_from(
        [ServerState.SERVING, ServerState.COLD, ServerState.DRAINING],
    ),
    host_leaving=st.booleans(),
    reply_draining=st.booleans(),
)
RECORDS = st.builds(
    ServerRecord,
    server=st.just('s'),
    service=st.just('v'),
    data_centre=st.just('d'),
    dispatcher=st.sampled_from('abc'),
    dispatcher_incarnation=st.integers(1, 2),
    sequence=st.integers(1, 4),
    incarnation=st.integers(1, 2),
    state=st.just(ServerState.SERVING),
    limit=st.just(1),
)


def states_of(signs_by_server):
    """Return the states of all servers of a service."""
    states = ServiceStates()
    for server, signs in signs_by_server.items():
        states.set_signals(server, signs)
    return {server: states.state(server) for server in states.servers}


@DETERMINISTIC
@given(
    st.integers(1, 8),
    st.lists(st.one_of(st.just('shed'), st.integers(1, 8))),
)
def test_limit_stays_between_one_and_the_slots(slots, events):
    """A limit of 0 would never recover; one above the slots only sheds."""
    state = initial_limit(slots)
    assert state.limit == 1
    for at_s, event in enumerate(events):
        before = state
        if event == 'shed':
            state = after_shed(state, at_s)
            assert state.limit <= max(1, before.limit // 2 + 1)
        else:
            state = after_reply(state, event)
            assert before.limit <= state.limit <= before.limit + 1
        assert 1 <= state.limit <= slots


def test_limit_ramps_up_and_halves():
    """A cold server must not get all slots at once, nor stay cold."""
    state = initial_limit(5)
    limits = []
    for _ in range(15):
        state = after_reply(state, state.limit)
        limits.append(state.limit)
    assert limits[:5] == [2, 2, 3, 3, 3]
    assert limits[-1] == 5
    assert after_reply(initial_limit(5), 0).limit == 1
    shed = after_shed(state, 10)
    assert shed.limit == 2
    assert after_shed(shed, 10.05) == shed
    assert after_shed(shed, 10.2).limit == 1
    assert with_slots(state, 3).limit == 3
    assert with_slots(state, 9).limit == 5


@DETERMINISTIC
@given(st.lists(REPORTS, min_size=1, max_size=9))
def test_reports_take_out_at_most_half(signs):
    """A wave of false reports must not stop a service."""
    states = states_of({str(place): each for place, each in enumerate(signs)})
    out = [state for state in states.values() if state in OUT_OF_SERVICE]
    assert len(out) <= len(signs) // 2


@DETERMINISTIC
@given(st.lists(SIGNS, min_size=1, max_size=9))
def test_operators_and_lost_servers_are_obeyed(signs):
    """Drained and lost servers must stay out of use in any company."""
    by_server = {str(place): each for place, each in enumerate(signs)}
    for server, state in states_of(by_server).items():
        each = by_server[server]
        if each.unreachable or each.announced == ServerState.LOST:
            assert state == ServerState.LOST
        elif each.drained:
            assert state == ServerState.DRAINING


def test_each_sign_alone_stops_new_work():
    """A leaving server must not get work until a second sign arrives."""
    for sign in (
        {'announced': ServerState.DRAINING},
        {'drained': True},
        {'host_leaving': True},
        {'reply_draining': True},
    ):
        by_server = {
            'leaving': ServerSignals(**sign),
            'b': ServerSignals(),
            'c': ServerSignals(announced=ServerState.COLD),
        }
        assert states_of(by_server) == {
            'leaving': ServerState.DRAINING,
            'b': ServerState.SERVING,
            'c': ServerState.COLD,
        }


NOTICES = st.lists(
    st.tuples(
        st.integers(1, 3),
        st.sampled_from(['x@1', 'x@2', 'y@1']),
        st.booleans(),
    ),
    max_size=12,
)


@DETERMINISTIC
@given(NOTICES, st.randoms(use_true_random=False))
def test_verdict_counts_distinct_losses(notices, shuffle):
    """One loss told twice, or a failed rack, must not block a request."""
    shuffled = list(notices)
    shuffle.shuffle(shuffled)
    ledger = CrashTracker()
    for at_s, (fingerprint, loss_id, alone) in enumerate(shuffled):
        ledger.record_loss(fingerprint, loss_id, at_s, alone=alone)
    losses, ran_alone = {}, set()
    for fingerprint, loss_id, alone in notices:
        losses.setdefault(fingerprint, set()).add(loss_id)
        if alone:
            ran_alone.add(fingerprint)
    blocked = {
        each
        for each, ids in losses.items()
        if len(ids) >= 2 and each in ran_alone
    }
    assert ledger.blocked(20) == blocked
    assert ledger.suspects(20) == losses.keys() - blocked
    assert set(ledger.losses()) == {notice[:2] for notice in notices}


def test_verdicts_expire():
    """A false verdict must not last for ever."""
    ledger = CrashTracker(suspect_age_s=10, block_age_s=30)
    ledger.record_loss(1, 'x@1', 0)
    ledger.record_loss(2, 'x@1', 0)
    ledger.record_loss(2, 'y@1', 5, alone=True)
    assert ledger.suspects(9.9) == {1}
    assert not ledger.suspects(10)
    assert ledger.blocked(34.9) == {2}
    assert not ledger.blocked(35)


def test_cleared_losses_do_not_come_back():
    """A late notice must not undo an operator's decision."""
    ledger = CrashTracker()
    ledger.record_loss(1, 'x@1', 0)
    ledger.record_loss(1, 'y@1', 0, alone=True)
    assert ledger.clear(1, 1)
    assert not ledger.record_loss(1, 'x@1', 2)
    assert not ledger.blocked(2) | ledger.suspects(2)
    assert ledger.record_loss(1, 'x@2', 3)
    assert ledger.suspects(3) == {1}


def test_ledger_is_bounded(monkeypatch):
    """A crash loop of distinct requests must not fill the memory."""
    monkeypatch.setattr('boragespool.backends.crashes._CAPACITY', 5)
    ledger = CrashTracker()
    for fingerprint in range(20):
        ledger.record_loss(fingerprint, 'x@1', fingerprint)
    assert ledger.suspects(20) == set(range(15, 20))


@DETERMINISTIC
@given(st.permutations(range(4)), st.lists(RECORDS, min_size=4, max_size=4))
def test_newest_record_is_kept_in_any_order(order, records):
    """Late announcements must not bring an old state back."""
    kept = None
    for place in order:
        kept = newer_record(kept, records[place])
    newest = max(
        (each.sequence, -each.dispatcher_incarnation, each.dispatcher)
        for each in records
    )
    found = (kept.sequence, -kept.dispatcher_incarnation, kept.dispatcher)
    assert found == newest


@DETERMINISTIC
@given(RECORDS, RECORDS)
def test_new_dispatcher_replaces_the_record_of_a_gone_one(known, seen):
    """Views of any members must follow a dispatcher that takes over."""
    taken = next_version(known, seen, 0, known_dispatcher_is_live=False)
    if taken is None:
        assert dataclasses.replace(seen, sequence=known.sequence) == known
    else:
        assert newer_record(known, taken) == newer_record(taken, known) == taken
