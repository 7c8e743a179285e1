"""Concurrency limits, states and records of backend servers.

Also covers the detection of requests that crash servers.
"""

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
SIGNALS = st.builds(
    ServerSignals,
    announced=st.sampled_from(ServerState),
    drained=st.booleans(),
    host_leaving=st.booleans(),
    reply_draining=st.booleans(),
    unreachable=st.booleans(),
)
REPORTED_SIGNALS = st.builds(
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


def states_of(signals_by_server):
    """Return the states of all servers of a service by name."""
    states = ServiceStates()
    for server, signals in signals_by_server.items():
        states.set_signals(server, signals)
    return {server: states.state(server) for server in states.servers}


@DETERMINISTIC
@given(
    st.integers(1, 8),
    st.lists(st.one_of(st.just('shed'), st.integers(1, 8))),
)
def test_limit_stays_between_one_and_the_slots(slots, events):
    """Guards against a concurrency limit that is out of range.

    A limit of 0 would stay 0, since only replies raise it. With a limit above
    the slots, the server would shed the requests that exceed its slots.
    """
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
    """Guards against overload of a cold server, and against a stuck limit.

    The limit grows by one per round of replies up to the slots. It is halved
    once per burst of shed requests.
    """
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
@given(st.lists(REPORTED_SIGNALS, min_size=1, max_size=9))
def test_reports_take_out_at_most_half(signals_list):
    """Guards against an outage of a service caused by false reports.

    Reports that servers are draining can be wrong or outdated, and may then
    concern most servers of a service at the same time.
    """
    states = states_of(
        {str(number): signals for number, signals in enumerate(signals_list)}
    )
    out = [state for state in states.values() if state in OUT_OF_SERVICE]
    assert len(out) <= len(signals_list) // 2


@DETERMINISTIC
@given(st.lists(SIGNALS, min_size=1, max_size=9))
def test_drained_and_lost_servers_stay_out_of_use(signals_list):
    """Guards against work for servers that are drained or lost.

    Ignoring reports that concern too many servers must not put such servers
    back into use.
    """
    signals_by_server = {
        str(number): signals for number, signals in enumerate(signals_list)
    }
    for server, state in states_of(signals_by_server).items():
        signals = signals_by_server[server]
        if signals.unreachable or signals.announced == ServerState.LOST:
            assert state == ServerState.LOST
        elif signals.drained:
            assert state == ServerState.DRAINING


def test_each_signal_alone_stops_new_work():
    """Guards against work that is sent to a server which is leaving.

    This would happen if its state changed only after two signals agree.
    """
    for signal in (
        {'announced': ServerState.DRAINING},
        {'drained': True},
        {'host_leaving': True},
        {'reply_draining': True},
    ):
        signals_by_server = {
            'leaving': ServerSignals(**signal),
            'b': ServerSignals(),
            'c': ServerSignals(announced=ServerState.COLD),
        }
        assert states_of(signals_by_server) == {
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
    """Guards against blocking requests that crash no server.

    Notices of one loss can arrive twice and in any order. Servers that fail
    together, as in a rack, share many requests, none of which ran alone.
    """
    shuffled = list(notices)
    shuffle.shuffle(shuffled)
    tracker = CrashTracker()
    for at_s, (fingerprint, loss_id, alone) in enumerate(shuffled):
        tracker.record_loss(fingerprint, loss_id, at_s, alone=alone)
    loss_ids_by_fingerprint, ran_alone = {}, set()
    for fingerprint, loss_id, alone in notices:
        loss_ids_by_fingerprint.setdefault(fingerprint, set()).add(loss_id)
        if alone:
            ran_alone.add(fingerprint)
    blocked = {
        fingerprint
        for fingerprint, loss_ids in loss_ids_by_fingerprint.items()
        if len(loss_ids) >= 2 and fingerprint in ran_alone
    }
    assert tracker.blocked(20) == blocked
    assert tracker.suspects(20) == loss_ids_by_fingerprint.keys() - blocked
    assert set(tracker.losses()) == {notice[:2] for notice in notices}


def test_verdicts_expire():
    """Guards against a request that stays blocked by mistake.

    Suspicions and blocks must end some time after the latest loss.
    """
    tracker = CrashTracker(suspect_age_s=10, block_age_s=30)
    tracker.record_loss(1, 'x@1', 0)
    tracker.record_loss(2, 'x@1', 0)
    tracker.record_loss(2, 'y@1', 5, alone=True)
    assert tracker.suspects(9.9) == {1}
    assert not tracker.suspects(10)
    assert tracker.blocked(34.9) == {2}
    assert not tracker.blocked(35)


def test_cleared_losses_do_not_come_back():
    """Guards against late notices that undo an operator's decision.

    A notice of a loss that an operator cleared may still arrive from a peer.
    Later losses must count again.
    """
    tracker = CrashTracker()
    tracker.record_loss(1, 'x@1', 0)
    tracker.record_loss(1, 'y@1', 0, alone=True)
    assert tracker.clear(1, 1)
    assert not tracker.record_loss(1, 'x@1', 2)
    assert not tracker.blocked(2) | tracker.suspects(2)
    assert tracker.record_loss(1, 'x@2', 3)
    assert tracker.suspects(3) == {1}


def test_crash_tracker_is_bounded(monkeypatch):
    """Guards against unbounded memory use of the crash tracker.

    A server that crashes in a loop adds new fingerprints with every loss.
    """
    monkeypatch.setattr('boragespool.backends.crashes._CAPACITY', 5)
    tracker = CrashTracker()
    for fingerprint in range(20):
        tracker.record_loss(fingerprint, 'x@1', fingerprint)
    assert tracker.suspects(20) == set(range(15, 20))


@DETERMINISTIC
@given(st.permutations(range(4)), st.lists(RECORDS, min_size=4, max_size=4))
def test_newest_record_is_kept_in_any_order(order, records):
    """Guards against an old state that replaces a newer one.

    Announcements of a server can arrive in any order.
    """
    kept = None
    for index in order:
        kept = newer_record(kept, records[index])
    newest = max(
        (record.sequence, -record.dispatcher_incarnation, record.dispatcher)
        for record in records
    )
    found = (kept.sequence, -kept.dispatcher_incarnation, kept.dispatcher)
    assert found == newest


@DETERMINISTIC
@given(RECORDS, RECORDS)
def test_new_dispatcher_replaces_the_record_of_a_gone_one(known, observed):
    """Guards against daemons that keep the record of a former dispatcher.

    A new dispatcher must choose a version that every daemon takes as newer,
    whatever its view of the members.
    """
    next_record = next_version(
        known, observed, 0, known_dispatcher_is_live=False
    )
    if next_record is None:
        assert dataclasses.replace(observed, sequence=known.sequence) == known
    else:
        assert (
            newer_record(known, next_record)
            == newer_record(next_record, known)
            == next_record
        )
