"""Simulation of queries on backend servers with random, seeded changes.

An oracle checks the merged state after every reply. It divides the key space
into `CELL_COUNT` cells and works on sets of cells, so that it shares no
interval arithmetic with the code under test.
"""

from __future__ import annotations

import random

from boragespool.messages import Holding, Item, WorkReply
from boragespool.results import Failure, ResultCode
from boragespool.snapshots import (
    MergeState,
    NotHeldRanges,
    build_catalogue,
    choose_restart_version,
    choose_version,
    plan_ranges,
    reachable_key_count,
)
from boragespool.types import KEY_SPACE_SIZE, RunState

CELL_COUNT = 16
KEYS_PER_CELL = KEY_SPACE_SIZE // CELL_COUNT
COMPLETE = int(ResultCode.COMPLETE)


def key_range_of(cells):
    """Return the key range of a ``(first, stop)`` range of cells."""
    return cells[0] * KEYS_PER_CELL, cells[1] * KEYS_PER_CELL


def cells_of(start, end):
    """Return the cells that a key range overlaps."""
    return range(start // KEYS_PER_CELL, -(-end // KEYS_PER_CELL))


def items_for(request, version, cells):
    """Return the items of a correct reply; each value names its origin."""
    return tuple(
        Item(cell * KEYS_PER_CELL + 7, (request, version, cell))
        for cell in cells
    )


class SimulatedServers:
    """Backend servers whose holdings change, behind an unreliable network.

    Attributes
    ----------
    holdings_by_server : dict
        Ranges of cells that each server holds, by version.
    catalogue : Catalogue
        Plans from the holdings that were announced last.
    delayed_replies : list of WorkReply
        Replies that the network has not delivered yet.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.holdings_by_server = {f's{number}': {} for number in range(6)}
        self.newest_version = 0
        self.add_version()
        self.announce()
        self.delayed_replies = []

    def announce(self):
        """Build the catalogue from the current holdings."""
        announced = {
            server: tuple(
                Holding(version, tuple(map(key_range_of, ranges)))
                for version, ranges in versions.items()
            )
            for server, versions in self.holdings_by_server.items()
        }
        self.catalogue = build_catalogue(announced)

    def add_version(self):
        """Load a new version, with randomly assigned ranges."""
        self.newest_version += 1
        self.assign_ranges(self.newest_version)

    def assign_ranges(self, version):
        """Divide the key space at random within each of two server groups."""
        servers = list(self.holdings_by_server)
        self.rng.shuffle(servers)
        for group in (servers[:3], servers[3:]):
            cuts = sorted(self.rng.sample(range(1, CELL_COUNT), 2))
            edges = [0, *cuts, CELL_COUNT]
            for index, server in enumerate(group):
                self.holdings_by_server[server][version] = [
                    (edges[index], edges[index + 1]),
                ]

    def change_randomly(self):
        """Change the holdings at random; announce them with probability 0.5.

        A version is added, assigned anew, or dropped by one or all servers.
        """
        kind = self.rng.randrange(10)
        if kind == 0:
            self.add_version()
        elif kind == 1:
            self.assign_ranges(self.rng.randint(1, self.newest_version))
        elif kind == 2:
            server = self.rng.choice(list(self.holdings_by_server))
            self.holdings_by_server[server].pop(self.newest_version - 1, None)
        elif kind == 3:
            dropped = self.rng.randint(1, self.newest_version)
            for versions in self.holdings_by_server.values():
                versions.pop(dropped, None)
        if self.rng.random() < 0.5:
            self.announce()

    def answer(self, attempt):
        """Return the replies that the network delivers for one attempt."""
        attempt_id, request, server, version, (start, end) = attempt
        wanted = cells_of(start, end)
        held = any(
            first <= wanted.start and wanted.stop <= last
            for first, last in self.holdings_by_server[server].get(version, ())
        )
        if not held:
            return [
                WorkReply(
                    attempt_id,
                    int(ResultCode.VERSION_NOT_HELD),
                    RunState.NOT_RUN,
                ),
            ]
        return self.add_fault(attempt_id, request, version, wanted)

    def add_fault(self, attempt_id, request, version, wanted):
        """Return the replies to an attempt, possibly with a random fault.

        Faults are a missing cell, another version, a missing or foreign item,
        a wrong range, a delay and a duplicate.
        """
        kind = self.rng.randrange(12)
        if kind == 0 and len(wanted) > 1:
            wanted = wanted[1:]
        given = version + 1 if kind == 1 else version
        items = items_for(request, given, wanted)
        start, end = key_range_of((wanted.start, wanted.stop))
        counted = len(items)
        if kind == 2:
            items = items[:-1]
        elif kind == 3:
            items += items_for(
                request, version, [(wanted.stop + 1) % CELL_COUNT]
            )
            counted += 1
        elif kind == 4:
            end += KEYS_PER_CELL
        reply = WorkReply(
            attempt_id,
            COMPLETE,
            RunState.RUN,
            given,
            start,
            end,
            items,
            item_count=counted,
        )
        if kind == 5:
            self.delayed_replies.append(reply)
            return []
        return [reply, reply] if kind == 6 else [reply]


class SimulatedQuery:
    """One query, whose merged state the oracle checks.

    Attributes
    ----------
    state : MergeState
        Replies that were merged so far.
    not_held : NotHeldRanges
        Ranges that servers refused as not held.
    open_attempts : dict
        Attempts without a reply, by identifier.
    """

    def __init__(self, servers, request):
        self.servers, self.request = servers, request
        self.attempts = 0
        self.restarts = 0
        self.pin_version()

    def pin_version(self):
        """Pin the best of the announced versions."""
        self.start_merge(choose_version(self.servers.catalogue) or 0)

    def start_merge(self, version):
        """Start to merge replies of a version."""
        self.state = MergeState(version)
        self.not_held = NotHeldRanges()
        self.open_attempts = {}

    def send_attempts(self):
        """Ask for the missing ranges, or restart on a newer version."""
        catalogue = self.servers.catalogue
        open_ranges = [attempt[4] for attempt in self.open_attempts.values()]
        plan = plan_ranges(
            catalogue,
            self.state.version,
            self.state.missing(),
            self.not_held.may_ask,
        )
        reachable_ranges = [
            *open_ranges,
            *((part.start, part.end) for part in plan),
        ]
        reachable = reachable_key_count(self.state, reachable_ranges)
        newer = choose_restart_version(catalogue, self.state.version, reachable)
        if newer is not None and not self.restarts:
            self.restarts += 1
            self.start_merge(newer)
            return
        for part in plan:
            self.attempts += 1
            name = f'{self.request}-{self.attempts}'
            key_range = (part.start, part.end)
            server = self.servers.rng.choice(part.replicas)
            self.open_attempts[name] = (
                name,
                self.request,
                server,
                self.state.version,
                key_range,
            )
            self.state.open_attempt(name, key_range)

    def deliver(self, attempt, reply):
        """Handle a reply as the reply to an attempt; check the merged state."""
        before = self.state.coverage
        if reply.code != COMPLETE:
            self.not_held.add(attempt[2], attempt[4])
            self.state.close_attempt(attempt[0])
        else:
            merged = self.state.merge(attempt[0], reply)
            if isinstance(merged, Failure):
                assert self.state.coverage == before
        self.open_attempts.pop(attempt[0], None)
        self.check()

    def check(self):
        """Compare items, coverage and missing ranges with the oracle."""
        missing = {
            cell
            for start, end in self.state.missing()
            for cell in cells_of(start, end)
        }
        covered = [cell for cell in range(CELL_COUNT) if cell not in missing]
        expected = items_for(self.request, self.state.version, covered)
        assert self.state.merged_items() == expected
        assert self.state.coverage == len(covered) / CELL_COUNT
        assert self.state.complete == (not missing)


def run_simulation(seed):
    """Run two queries on the same servers; return their final states."""
    servers = SimulatedServers(seed)
    queries = [SimulatedQuery(servers, 'p'), SimulatedQuery(servers, 'q')]
    for _ in range(3):
        for query in queries:
            query.send_attempts()
            servers.change_randomly()
            for attempt in tuple(query.open_attempts.values()):
                if servers.rng.random() < 0.75:
                    deliver_replies(servers, queries, query, attempt)
            deliver_late(servers, queries)
    return [query.state for query in queries]


def deliver_replies(servers, queries, query, attempt):
    """Deliver the replies to an attempt, some as those to another one."""
    for reply in servers.answer(attempt):
        target, receiver = query, attempt
        if servers.rng.random() < 0.1:
            target = servers.rng.choice(queries)
            receiver = servers.rng.choice(
                [attempt, *target.open_attempts.values()]
            )
        target.deliver(receiver, reply)


def deliver_late(servers, queries):
    """Deliver delayed replies to their own and to other attempts."""
    while servers.delayed_replies and servers.rng.random() < 0.7:
        late = servers.delayed_replies.pop()
        target = servers.rng.choice(queries)
        own = (late.attempt_id, '', '', 0, (0, 1))
        for receiver in [*target.open_attempts.values()][:1] + [own]:
            target.deliver(receiver, late)
