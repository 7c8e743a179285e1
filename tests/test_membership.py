"""Decisions about members."""

from __future__ import annotations

import itertools
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool import membership
from boragespool.membership import MembershipOptions, MemberTable
from boragespool.types import MemberStatus
from tests.member_records import record

OPTIONS = MembershipOptions(record_count=6, remote_count=3)
ALIVE, DEAD = MemberStatus.ALIVE, MemberStatus.DEAD
versions = st.builds(
    lambda status, incarnation, beat, revision: record(
        'a',
        status,
        incarnation=incarnation,
        beat=beat,
        revision=revision,
    ),
    st.sampled_from(MemberStatus),
    st.integers(1, 3),
    st.integers(0, 3),
    st.integers(0, 2),
)


def table_of(count: int, data_centre: str = 'north') -> MemberTable:
    """A table that received `count` alive members."""
    return membership.merge_message(
        MemberTable(record('own')),
        [record(f'h{n}', data_centre=data_centre) for n in range(count)],
        'h0',
        0,
        OPTIONS,
    )


@settings(derandomize=True)
@given(st.lists(versions, min_size=1, max_size=5))
def test_merging_does_not_depend_on_the_order(records):
    """Daemons that hear the same records late or twice must agree."""
    results = set()
    for order in itertools.permutations([*records, records[0]]):
        merged = order[0]
        for received in order[1:]:
            merged = membership.merge_records(merged, received)
        results.add(merged)
    assert len(results) == 1
    assert max(map(membership.precedence, records)) == (
        membership.precedence(results.pop())
    )


@settings(derandomize=True)
@given(versions, versions)
def test_refutation_wins(own, received):
    """A live daemon must outbid what is said about its incarnation."""
    refuted = membership.refute(own, received)
    assert refuted.incarnation == own.incarnation
    assert refuted.status == own.status
    if received.incarnation == own.incarnation and received.status in {
        MemberStatus.SUSPECT,
        DEAD,
    }:
        assert membership.merge_records(received, refuted) == refuted


@settings(derandomize=True)
@given(st.integers(1, 40), st.integers(0, 30), st.randoms())
def test_a_round_pings_every_member_once(count, joined_after, random_source):
    """A member that is never pinged would never be found dead."""
    hosts = frozenset(f'h{n}' for n in range(count))
    order = membership.PingRound()
    pinged = []
    for step in range(count + 1):
        joined = {'new'} if step > joined_after else set()
        target, order = membership.next_target(
            order,
            hosts | joined,
            random_source.random,
        )
        pinged.append(target)
    assert hosts <= set(pinged)


def test_no_target_without_members():
    """A daemon that knows nobody must not fail."""
    assert membership.next_target(
        membership.PingRound(),
        frozenset(),
        random.Random(1).random,
    ) == (None, membership.PingRound())


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 300))
def test_message_size_is_bounded(count):
    """Bytes per message must not grow with the fleet."""
    table = table_of(count)
    for _ in range(5):
        sent, table = membership.compose_message(table, 'h0', OPTIONS)
        assert len(sent) <= OPTIONS.record_count
        assert len({each.host for each in sent}) == len(sent)
        assert sent[0] == table.own


def test_change_goes_first_and_ends():
    """A death must not wait for the sample, nor be repeated for ever."""
    table = table_of(60)
    for _ in range(200):
        _, table = membership.compose_message(table, 'h0', OPTIONS)
    table = membership.merge_message(
        table, [record('h9', DEAD)], 'h0', 0, OPTIONS
    )
    carried = []
    for _ in range(40):
        sent, table = membership.compose_message(table, 'h0', OPTIONS)
        carried.append(any(each.status == DEAD for each in sent))
    expected = membership.send_count(60, OPTIONS.send_factor)
    assert carried == [True] * expected + [False] * (40 - expected)


def test_sample_reaches_every_member():
    """A record lost by a peer must be sent again some time."""
    table = table_of(50)
    sent_hosts = set()
    for _ in range(400):
        sent, table = membership.compose_message(table, 'h0', OPTIONS)
        sent_hosts |= {each.host for each in sent}
    for _ in range(60):
        sent, table = membership.compose_message(table, 'h0', OPTIONS)
        sent_hosts -= {each.host for each in sent}
    assert not sent_hosts


def test_whole_view_is_not_spread_again():
    """Joining daemons must not fill messages with what all others know."""
    records = [record(f'h{n}') for n in range(50)]
    table = membership.merge_message(
        MemberTable(record('own')),
        records,
        'h0',
        0,
        OPTIONS,
        is_bulk=True,
    )
    assert len(table.members_by_host) == 50
    assert not table.rumours_by_host


def test_other_data_centres_are_sampled():
    """Memory and pings must not grow with the other data centres."""
    table = table_of(100, 'south')
    assert len(table.members_by_host) == OPTIONS.remote_count
    other = membership.merge_message(
        MemberTable(record('other')),
        [record(f'h{n}', data_centre='south') for n in range(100)],
        'h0',
        0,
        OPTIONS,
    )
    assert set(table.members_by_host) != set(other.members_by_host)
    assert len(table_of(100).members_by_host) == 100


def test_death_of_an_unkept_member_is_passed_on():
    """Holders of a remote member must hear of its death in seconds."""
    table = table_of(100, 'south')
    unkept = next(
        f'h{n}' for n in range(100) if f'h{n}' not in table.members_by_host
    )
    dead = record(unkept, DEAD, 'south')
    table = membership.merge_message(table, [dead], 'h0', 1, OPTIONS)
    sent, table = membership.compose_message(table, 'h1', OPTIONS)
    assert dead in sent
    for _ in range(30):
        _, table = membership.compose_message(table, 'h1', OPTIONS)
    again = membership.merge_message(table, [dead], 'h0', 1, OPTIONS)
    assert dead not in membership.compose_message(again, 'h1', OPTIONS)[0]


def test_suspect_dies_after_its_time_and_is_dropped():
    """A dead member must be noticed in seconds and forgotten later."""
    table = table_of(3)
    tested = table.members_by_host['h1']
    table = membership.suspect(table, tested, 10, OPTIONS)
    assert table.members_by_host['h1'].status == MemberStatus.SUSPECT
    early = membership.expire_members(
        table, 10 + OPTIONS.suspicion_s / 2, OPTIONS
    )
    assert early.members_by_host['h1'].status == MemberStatus.SUSPECT
    late = membership.expire_members(table, 10 + OPTIONS.suspicion_s, OPTIONS)
    assert late.members_by_host['h1'].status == DEAD
    end_s = 20 + OPTIONS.dead_keep_s
    assert (
        'h1'
        not in membership.expire_members(late, end_s, OPTIONS).members_by_host
    )


def test_suspicion_about_an_older_record_is_void():
    """A slow ping must not accuse a member that has refuted meanwhile."""
    table = table_of(3)
    tested = table.members_by_host['h1']
    table = membership.merge_message(
        table, [record('h1', beat=1)], 'h1', 0, OPTIONS
    )
    assert membership.suspect(table, tested, 1, OPTIONS) == table


def test_leaving_member_that_stopped_is_found_dead():
    """The leaving status must not protect a member from being removed."""
    left = record('h1', MemberStatus.LEAVING, beat=1)
    table = membership.merge_message(table_of(3), [left], 'h1', 0, OPTIONS)
    doubted = membership.suspect(table, left, 1, OPTIONS)
    assert doubted.members_by_host['h1'] == left
    answered = membership.clear_leaving_suspicion(doubted, 'h1')
    assert membership.expire_members(answered, 9, OPTIONS) == answered
    expired = membership.expire_members(doubted, 9, OPTIONS)
    assert expired.members_by_host['h1'].status == DEAD


members = st.lists(
    st.builds(
        lambda number, status, centre, load: record(
            f'h{number}',
            status,
            centre,
            load=load,
        ),
        st.integers(0, 30),
        st.sampled_from(MemberStatus),
        st.sampled_from(('north', 'south', 'west')),
        st.floats(0, 9),
    ),
    unique_by=lambda member: member.host,
)


@settings(derandomize=True)
@given(members, st.integers(1, 5), st.randoms())
def test_addresses_are_alive_and_near(known, count, random_source):
    """Callers must not be sent to members that are gone or far away."""
    chosen = membership.choose_addresses(
        known,
        'north',
        count,
        random_source.random,
        frozenset(('h0',)),
    )
    alive = {
        member.host: member
        for member in known
        if member.status == ALIVE and (member.host != 'h0')
    }
    expected = min(count, len(alive))
    if alive:
        assert len(set(chosen)) == len(chosen) == expected
        assert set(chosen) <= set(alive)
        centres = [alive[address].data_centre for address in chosen]
        local = sum(m.data_centre == 'north' for m in alive.values())
        reserved = count > 1 and local < len(alive)
        wanted = min(local, count - reserved)
        assert centres[:wanted] == ['north'] * wanted
        assert 'north' not in centres[wanted:]


def test_loaded_members_are_chosen_less():
    """Power of two choices must keep callers off a loaded daemon."""
    source = random.Random(5)
    known = [record(f'h{n}', load=n) for n in range(10)]
    picks = [
        membership.choose_addresses(
            known, 'north', 1, source.random, frozenset()
        )[0]
        for _ in range(2_000)
    ]
    assert picks.count('h0') > 5 * picks.count('h9')
    assert picks.count('h9') < 60


def test_suspicion_does_not_hide_leaving():
    """At the same beat a suspicion must not look newer than leaving."""
    left = record('a', MemberStatus.LEAVING)
    doubted = record('a', MemberStatus.SUSPECT)
    assert membership.merge_records(doubted, left) == left
    assert membership.merge_records(left, doubted) == left


def test_members_without_a_revision_are_not_ready():
    """Callers must not be sent to a daemon that refuses them."""
    known = [record('ready', revision=1, load=9), record('starting')]
    for count in (1, 2):
        assert membership.choose_addresses(
            known, 'north', count, random.Random(1).random, frozenset()
        ) == ('ready',)


def test_a_stale_list_keeps_at_most_half_of_the_members_from_callers():
    """Hosts that restarted stay listed; the rest must not get all callers."""
    known = [record(f'h{number}') for number in range(4)]
    for listed, expected in ((2, 2), (3, 4), (4, 4)):
        chosen = membership.choose_addresses(
            known,
            'north',
            4,
            random.Random(1).random,
            frozenset(f'h{number}' for number in range(listed)),
        )
        assert len(chosen) == expected
