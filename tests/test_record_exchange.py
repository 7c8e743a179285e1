"""Exchange of server records: digests, comparisons, sizes and versions."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool import backends
from boragespool.backends.record_table import server_key
from boragespool.controllers.backend_servers.record_repair import RecordRepair
from boragespool.controllers.context import Context
from boragespool.messages import (
    Holding,
    ServerDigest,
    ServerRecord,
    ServersWanted,
)
from boragespool.peers import Sender
from boragespool.timers import VirtualTimers
from boragespool.types import ServerState

DAEMONS = 4
SERVERS = tuple(f's{number}' for number in range(12))
#: Too small to send all records in one exchange.
LIMITS = backends.ExchangeLimits(1, 2, 500)
PROFILE = settings(derandomize=True, max_examples=150, deadline=None)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(('observe', 'exchange', 'deliver', 'repeat', 'lose')),
        st.integers(0, DAEMONS - 1),
        st.sampled_from(SERVERS),
        st.sampled_from(ServerState),
    ),
    max_size=80,
)


def record(server, dispatcher='a', **fields):
    """Build a server record with version 1 and the given fields."""
    base = ServerRecord(
        server, 'v', 'north', dispatcher, 1, 1, 1, ServerState.SERVING, 1
    )
    return replace(base, **fields)


def order(known):
    """Return the sort key of the versions of a server; the highest wins."""
    return known.sequence, -known.dispatcher_incarnation, known.dispatcher


class Daemons:
    """Simulates record tables of several daemons and the messages in transit.

    `bag` holds the undelivered messages: the target daemon and the records.
    """

    def __init__(self, seed):
        self.random_source = random.Random(seed)
        self.tables = [backends.RecordTable() for _ in range(DAEMONS)]
        self.bag = []
        self.newest = {}

    def observe(self, daemon, server, state):
        """Let a daemon announce a server as if it were its dispatcher."""
        table = self.tables[daemon]
        announced = backends.next_version(
            table.by_server.get(server),
            record(server, f'd{daemon}', state=state),
            100,
            known_dispatcher_is_live=True,
        )
        if announced is None:
            return
        table.merge(announced)
        self.newest[server] = max(
            self.newest.get(server, announced), announced, key=order
        )
        for target in range(DAEMONS):
            self.bag.append((target, (announced,)))

    def exchange(self, first, second):
        """Compare two tables and send the records that differ."""
        own, other = self.tables[first], self.tables[second]
        count = backends.group_count(len(own.by_server))
        groups = backends.differing_groups(
            other.digest(count),
            own.digest(count),
            LIMITS,
            self.random_source.random,
        )
        versions = backends.pack_versions(other, groups, count)
        compared = backends.compare_versions(own, groups, count, versions)
        for target, records in (
            (second, compared.to_send),
            (first, other.find(compared.wanted)),
        ):
            self.bag.append(
                (target, backends.limit_total_size(records, LIMITS.size_bytes))
            )

    def carry(self, *, keep):
        """Deliver a random message; no older record may replace a newer one."""
        if not self.bag:
            return
        place = self.random_source.randrange(len(self.bag))
        target, records = self.bag[place] if keep else self.bag.pop(place)
        table = self.tables[target]
        before = dict(table.by_server)
        for each in records:
            table.merge(each)
        for server, known in before.items():
            assert order(table.by_server[server]) >= order(known)

    def step(self, kind, daemon, server, state):
        """Execute one generated step."""
        if kind == 'observe':
            self.observe(daemon, server, state)
        elif kind == 'exchange':
            self.exchange(daemon, self.random_source.randrange(DAEMONS))
        elif kind == 'lose' and self.bag:
            self.bag.pop(self.random_source.randrange(len(self.bag)))
        else:
            self.carry(keep=kind == 'repeat')


@PROFILE
@given(STEPS, st.integers(0, 999))
def test_all_daemons_converge_to_the_newest_records(steps, seed):
    """Guards against records that a lost or late message leaves behind."""
    # After random losses, delays and repetitions, comparisons alone must bring
    # the newest record of each server to all daemons.
    daemons = Daemons(seed)
    for step in steps:
        daemons.step(*step)
    daemons.bag.clear()
    for _ in range(40):
        for first in range(DAEMONS):
            daemons.exchange(first, (first + 1) % DAEMONS)
        while daemons.bag:
            daemons.carry(keep=False)
    for table in daemons.tables:
        assert table.by_server == daemons.newest
        assert table.digest(1) == daemons.tables[0].digest(1)


@PROFILE
@given(
    st.sets(st.integers(0, 2_000), max_size=300),
    st.sets(st.integers(0, 2_000), max_size=300),
    st.integers(0, 9),
)
def test_digests_show_each_difference_at_any_size(first, second, power):
    """A hash that misses a change would never be repaired."""
    # Guards against differences that comparisons never repair because the
    # digests of different tables are equal.
    tables = []
    for numbers in (first, second):
        table = backends.RecordTable()
        for number in numbers | {2_001}:
            # The hashes must not depend on the versions seen before.
            if numbers is first:
                table.merge(record(f's{number}'))
            table.merge(record(f's{number}', sequence=2))
        table.keep_only({f's{number}' for number in numbers})
        tables.append(table)
    count = 2**power
    digests = [table.digest(count) for table in tables]
    assert (digests[0] == digests[1]) == (first == second)
    sent, wanted = set(), set()
    for group in range(count):
        versions = backends.pack_versions(tables[1], (group,), count)
        compared = backends.compare_versions(
            tables[0], (group,), count, versions
        )
        sent |= {each.server for each in compared.to_send}
        wanted |= {each.server for each in tables[1].find(compared.wanted)}
    assert sent == {f's{number}' for number in first - second}
    assert wanted == {f's{number}' for number in second - first}


def test_far_behind_tables_compare_more_groups():
    """Guards against an exchange that takes hours after the start of a fleet.

    Tables that differ in most groups must compare many groups at once; nearly
    equal tables compare only those that differ.
    """
    full, empty = backends.RecordTable(), backends.RecordTable()
    for number in range(5_000):
        full.merge(record(f's{number}'))
    limits = backends.ExchangeLimits()
    count = backends.group_count(5_000)
    groups = backends.differing_groups(
        full.digest(count), empty.digest(count), limits, lambda: 0.9
    )
    assert len(groups) == limits.catch_up_group_count
    full.merge(record('s1', sequence=2))
    nearly = backends.RecordTable()
    for number in range(5_000):
        nearly.merge(record(f's{number}'))
    groups = backends.differing_groups(
        full.digest(count), nearly.digest(count), limits, lambda: 0.9
    )
    assert len(groups) == 1


class FakePeers(dict):
    """Records the registered handlers and the sent messages."""

    def __init__(self):
        super().__init__()
        self.sent = []
        self.on_message = self.on_request = self.__setitem__

    def send(self, host, message):
        self.sent.append(message)


def test_catching_up_stays_within_its_allowance():
    """Guards against catch-up traffic beyond its budget.

    A peer that repeatedly sends an empty digest would otherwise get all
    records each time; after the burst it gets the usual size.
    """
    table = backends.RecordTable()
    for number in range(5_000):
        table.merge(record(f's{number}'))
    limits = backends.ExchangeLimits(
        catch_up_bytes_per_s=0, catch_up_burst_bytes=100_000
    )
    peers = FakePeers()
    context = Context(None, None, VirtualTimers(), peers, lambda: 0)
    RecordRepair(
        context, table, limits, lambda: 5_000, table.merge
    ).register_handlers()
    empty = ServerDigest(backends.RecordTable().digest(128))
    sender = Sender('b', 1, '')
    wanted = ServersWanted(tuple(map(server_key, table.by_server)))
    sizes = []
    for _ in range(20):
        answer = asyncio.run(peers[ServerDigest](sender, empty))
        peers[ServersWanted](sender, wanted)
        records = peers.sent.pop().records
        size_bytes = sum(map(backends.record_size_bytes, records))
        sizes.append((len(answer.groups), size_bytes))
    assert sizes[0][0] == limits.catch_up_group_count
    assert sizes[0][1] > limits.group_count * limits.size_bytes
    assert sizes[-1][0] == limits.group_count
    assert sizes[-1][1] <= limits.group_count * limits.size_bytes


@PROFILE
@given(st.integers(0, 5), st.integers(0, 5), st.text('abc', max_size=40))
def test_size_of_a_record_is_not_underestimated(versions, ranges, name):
    """The bounds count estimated bytes."""
    # Guards against messages beyond their size limit: the limits use this
    # estimate instead of the encoded size.
    holdings = tuple(
        Holding(2**30 + version, ((2**31, 2**32),) * ranges)
        for version in range(versions)
    )
    built = record(
        name, dispatcher_incarnation=2**41, incarnation=2**41, holdings=holdings
    )
    size_bytes = len(msgspec.msgpack.encode(built))
    assert size_bytes <= backends.record_size_bytes(built) <= 2 * size_bytes


def test_two_dispatchers_do_not_replace_each_other_at_each_poll():
    """Guards against two dispatchers that announce a server at each poll.

    Daemons with different views of the members can poll the same server. A
    record with the same state from a live dispatcher is replaced only some
    time after the assignment, a record with another state at once.
    """
    theirs = record('s', 'b', sequence=7, limit=4)
    own = record('s', 'a')

    def version(since_s, *, seen=own, live=True):
        return backends.next_version(
            theirs, seen, since_s, known_dispatcher_is_live=live
        )

    assert version(5) is None
    assert version(11) == replace(own, sequence=8)
    assert version(5, live=False) == replace(own, sequence=8)
    lost = replace(own, state=ServerState.LOST)
    assert version(5, seen=lost) == replace(lost, sequence=8)
    assert (
        backends.next_version(own, own, 99, known_dispatcher_is_live=True)
        is None
    )
