"""Functions on the member table: merging, gossip, pings and addresses."""

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
    """Build a table that received the records of `count` alive members."""
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
    # Guards against daemons whose tables differ for ever because messages with
    # the same records arrived late, twice or in another order.
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
    # Guards against a live daemon that stays suspect or dead at its peers: its
    # refutation must have a higher precedence than the received record of the
    # same incarnation.
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
    # Guards against a ping round that skips members when others join during the
    # round.
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
    """Guards against a failure of the first daemon, which knows no members."""
    assert membership.next_target(
        membership.PingRound(),
        frozenset(),
        random.Random(1).random,
    ) == (None, membership.PingRound())


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 300))
def test_message_size_is_bounded(count):
    """Bytes per message must not grow with the fleet."""
    # Guards against messages that carry a record of every member.
    table = table_of(count)
    for _ in range(5):
        sent, table = membership.compose_message(table, 'h0', OPTIONS)
        assert len(sent) <= OPTIONS.record_count
        assert len({each.host for each in sent}) == len(sent)
        assert sent[0] == table.own


def test_change_goes_first_and_ends():
    """Guards against late or endless gossip about a change.

    A death that was only in the random sample of a message would spread
    slowly; one that is always included would use up the message size.
    """
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
    """Guards against members that stay unknown to a peer.

    A message with their records can be lost, so each record is sent again in
    some later sample.
    """
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
    """Guards against gossip that repeats what all others know.

    A joining daemon receives a bulk of records that are new only to itself;
    spreading them as changes would fill its messages.
    """
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
    """Guards against memory and pings that grow with other data centres.

    A daemon keeps a bounded sample of their members, and different daemons
    keep different samples.
    """
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
    """Guards against a death that its remote observers learn late.

    A daemon that doesn't keep the member must still gossip its death, and
    must not start again when it receives the same record once more.
    """
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
    """Guards against silent members that are never declared dead or removed.

    A suspect becomes dead after the suspicion time; a dead member is dropped
    after its keep time.
    """
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
    """Guards against a suspicion of a member that has already refuted it.

    A ping that times out late refers to the record that was pinged; a newer
    record makes its suspicion void.
    """
    table = table_of(3)
    tested = table.members_by_host['h1']
    table = membership.merge_message(
        table, [record('h1', beat=1)], 'h1', 0, OPTIONS
    )
    assert membership.suspect(table, tested, 1, OPTIONS) == table


def test_leaving_member_that_stopped_is_found_dead():
    """Guards against a leaving member that stays in the table after it ended.

    A suspicion doesn't replace the leaving status, so its time is kept
    separately; an answered ping clears it.
    """
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
    # Guards against address answers with dead or excluded members, or with
    # remote members although local ones are left; one address is reserved for
    # another data centre.
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
    """Guards against callers that are sent to a daemon with a high load.

    The power of two choices picks the less loaded of two random members.
    """
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
    """Guards against a leaving member that appears as only suspect.

    The suspicion carries the beat that the member left with, so the status
    decides which record is newer.
    """
    left = record('a', MemberStatus.LEAVING)
    doubted = record('a', MemberStatus.SUSPECT)
    assert membership.merge_records(doubted, left) == left
    assert membership.merge_records(left, doubted) == left


def test_members_without_a_revision_are_not_ready():
    """Guards against address answers with a daemon that refuses all requests.

    A starting daemon has no revision in force, even if its load is lowest.
    """
    known = [record('ready', revision=1, load=9), record('starting')]
    for count in (1, 2):
        assert membership.choose_addresses(
            known, 'north', count, random.Random(1).random, frozenset()
        ) == ('ready',)


def test_a_stale_list_keeps_at_most_half_of_the_members_from_callers():
    """Guards against a stale host list that concentrates all callers.

    Hosts that restarted stay listed as leaving; if more than half of the
    members are listed, the list is ignored.
    """
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
