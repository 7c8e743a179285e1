"""A seeded world of backend servers that checks merged states by an oracle.

The key space has `CELLS` cells and the oracle works on sets of cells, so it
shares no interval arithmetic with the code under test.
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

CELLS = 16
WIDTH = KEY_SPACE_SIZE // CELLS
COMPLETE = int(ResultCode.COMPLETE)


def keys_of(cells):
    """Return the key range of a range of cells."""
    return cells[0] * WIDTH, cells[1] * WIDTH


def cells_of(start, end):
    """Return the cells of a key range."""
    return range(start // WIDTH, -(-end // WIDTH))


def items_for(request, version, cells):
    """Return what a correct server answers; every key names its origin."""
    return tuple(
        Item(cell * WIDTH + 7, (request, version, cell)) for cell in cells
    )


class SimulatedServers:
    """Servers that change at any moment and an unreliable network."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.holdings = {f's{number}': {} for number in range(6)}
        self.newest = 0
        self.add_version()
        self.announce()
        self.late = []

    def announce(self):
        """Tell the merger the true holdings."""
        announced = {
            server: tuple(
                Holding(version, tuple(map(keys_of, ranges)))
                for version, ranges in versions.items()
            )
            for server, versions in self.holdings.items()
        }
        self.catalogue = build_catalogue(announced)

    def add_version(self):
        """Load a new version in a random partition."""
        self.newest += 1
        self.partition(self.newest)

    def partition(self, version):
        """Give each of two replica groups a random partition."""
        servers = list(self.holdings)
        self.draw.shuffle(servers)
        for group in (servers[:3], servers[3:]):
            cuts = sorted(self.draw.sample(range(1, CELLS), 2))
            edges = [0, *cuts, CELLS]
            for index, server in enumerate(group):
                self.holdings[server][version] = [
                    (edges[index], edges[index + 1]),
                ]

    def step(self):
        """Change one thing, perhaps."""
        kind = self.draw.randrange(10)
        if kind == 0:
            self.add_version()
        elif kind == 1:
            self.partition(self.draw.randint(1, self.newest))
        elif kind == 2:
            server = self.draw.choice(list(self.holdings))
            self.holdings[server].pop(self.newest - 1, None)
        elif kind == 3:
            dropped = self.draw.randint(1, self.newest)
            for versions in self.holdings.values():
                versions.pop(dropped, None)
        if self.draw.random() < 0.5:
            self.announce()

    def answer(self, attempt):
        """Return the replies that the network delivers for one attempt."""
        attempt_id, request, server, version, (start, end) = attempt
        wanted = cells_of(start, end)
        held = any(
            first <= wanted.start and wanted.stop <= last
            for first, last in self.holdings[server].get(version, ())
        )
        if not held:
            return [
                WorkReply(
                    attempt_id,
                    int(ResultCode.VERSION_NOT_HELD),
                    RunState.NOT_RUN,
                ),
            ]
        return self.disturb(attempt_id, request, version, wanted)

    def disturb(self, attempt_id, request, version, wanted):
        """Return a reply with a fault, or the true one."""
        kind = self.draw.randrange(12)
        if kind == 0 and len(wanted) > 1:
            wanted = wanted[1:]
        given = version + 1 if kind == 1 else version
        items = items_for(request, given, wanted)
        start, end = keys_of((wanted.start, wanted.stop))
        counted = len(items)
        if kind == 2:
            items = items[:-1]
        elif kind == 3:
            items += items_for(request, version, [(wanted.stop + 1) % CELLS])
            counted += 1
        elif kind == 4:
            end += WIDTH
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
            self.late.append(reply)
            return []
        return [reply, reply] if kind == 6 else [reply]


class SimulatedQuery:
    """One query against the world, with the oracle's checks."""

    def __init__(self, world, request):
        self.world, self.request = world, request
        self.attempts = 0
        self.restarts = 0
        self.pin()

    def pin(self):
        """Pin the best version that is announced."""
        self.begin(choose_version(self.world.catalogue) or 0)

    def begin(self, version):
        """Start with an empty state."""
        self.state = MergeState(version)
        self.denials = NotHeldRanges()
        self.open = {}

    def act(self):
        """Ask for what is missing, or restart."""
        catalogue = self.world.catalogue
        asked = [attempt[4] for attempt in self.open.values()]
        plan = plan_ranges(
            catalogue,
            self.state.version,
            self.state.missing(),
            self.denials.may_ask,
        )
        hoped = [*asked, *((part.start, part.end) for part in plan)]
        reachable = reachable_key_count(self.state, hoped)
        newer = choose_restart_version(catalogue, self.state.version, reachable)
        if newer is not None and not self.restarts:
            self.restarts += 1
            self.begin(newer)
            return
        for part in plan:
            self.attempts += 1
            name = f'{self.request}-{self.attempts}'
            asked = (part.start, part.end)
            server = self.world.draw.choice(part.replicas)
            self.open[name] = (
                name,
                self.request,
                server,
                self.state.version,
                asked,
            )
            self.state.open_attempt(name, asked)

    def deliver(self, attempt, reply):
        """Give a reply to the exchange of an attempt; check the state."""
        before = self.state.coverage
        if reply.code != COMPLETE:
            self.denials.add(attempt[2], attempt[4])
            self.state.close_attempt(attempt[0])
        else:
            merged = self.state.merge(attempt[0], reply)
            if isinstance(merged, Failure):
                assert self.state.coverage == before
        self.open.pop(attempt[0], None)
        self.check()

    def check(self):
        """Compare items, coverage and missing ranges with the oracle."""
        missing = {
            cell
            for start, end in self.state.missing()
            for cell in cells_of(start, end)
        }
        covered = [cell for cell in range(CELLS) if cell not in missing]
        truth = items_for(self.request, self.state.version, covered)
        assert self.state.merged_items() == truth
        assert self.state.coverage == len(covered) / CELLS
        assert self.state.complete == (not missing)


def run_simulation(seed):
    """Run two queries in one world; return their final states."""
    world = SimulatedServers(seed)
    queries = [SimulatedQuery(world, 'p'), SimulatedQuery(world, 'q')]
    for _ in range(3):
        for query in queries:
            query.act()
            world.step()
            for attempt in tuple(query.open.values()):
                if world.draw.random() < 0.75:
                    deliver_replies(world, queries, query, attempt)
            deliver_late(world, queries)
    return [query.state for query in queries]


def deliver_replies(world, queries, query, attempt):
    """Deliver the replies to one attempt, some of them crossed."""
    for reply in world.answer(attempt):
        target, exchange = query, attempt
        if world.draw.random() < 0.1:
            target = world.draw.choice(queries)
            exchange = world.draw.choice([attempt, *target.open.values()])
        target.deliver(exchange, reply)


def deliver_late(world, queries):
    """Deliver old replies to their own and to other exchanges."""
    while world.late and world.draw.random() < 0.7:
        late = world.late.pop()
        target = world.draw.choice(queries)
        own = (late.attempt_id, '', '', 0, (0, 1))
        for exchange in [*target.open.values()][:1] + [own]:
            target.deliver(exchange, late)
