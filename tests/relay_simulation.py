"""Daemons of one data centre that follow a store, in virtual time.

Real mirrors, relays, registries and change feeds run against a model of the
store. Daemons are restarted and suspended, the store fails for some or all of
them, drops its history and returns stale pages. At rest, each daemon must know
exactly the registrations that the store holds.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from unittest import mock

import msgspec
from boragespool_platform.messages import CODEC

from boragespool.bench.virtual_time import run_in_virtual_time
from boragespool.blackboard import Blackboard
from boragespool.blackboard.forwarding_topics import REGISTRATIONS
from boragespool.controllers.forwarding import feed
from boragespool.controllers.forwarding.feed_http import handle_feed_request
from boragespool.controllers.forwarding.mirror import (
    MirrorOptions,
    PrefixMirror,
)
from boragespool.controllers.forwarding.registry import ServerRegistry
from boragespool.controllers.forwarding.relay import RelayedSource, RelayOptions
from boragespool.forwarding import HostRecord, plan_reads
from boragespool.http import ExchangeFailure, FailureKind
from boragespool.item_store import (
    HistoryLost,
    Item,
    ItemEvents,
    ItemPage,
    Removal,
)
from boragespool.results import Failure, ResultCode
from boragespool.timers import LoopTimers
from tests.platform_standins.options import simple_options

PREFIX = 'servers/'
DAEMONS = 5
SERVERS = 8
STEPS = 40
LATENCY_S = 0.004
SETTLE_S = 20
MAX_STALE_S = 3
RENEWAL_S = 1
#: Longest time for which an earlier write may still reach a daemon.
MAX_DELAY_S = 10
OPTIONS = simple_options()
UNAVAILABLE = Failure(ResultCode.STORE_UNAVAILABLE, 'away')


class ModelStore:
    """Store with history, pages of a few items and stale reads."""

    def __init__(self, rng):
        self.rng = rng
        self.page_size = rng.choice((2, 3, 500))
        self.revision = 1
        self.oldest_revision = 0
        self.is_up = True
        self.items_by_key = {}
        self.events = []
        self.snapshots = [(0, 1, {})]
        self.changed = asyncio.Event()

    def write(self, key, value):
        """Put a key, or remove it if the value is None."""
        if value is None and key not in self.items_by_key:
            return
        self.revision += 1
        if value is None:
            del self.items_by_key[key]
            self.events.append(Removal(key, self.revision))
        else:
            item = Item(key, value, self.revision)
            self.items_by_key[key] = item
            self.events.append(item)
        now_s = asyncio.get_running_loop().time()
        self.snapshots.append((now_s, self.revision, dict(self.items_by_key)))
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_history(self):
        """Forget all changes so far; watches from before get 410."""
        self.events.clear()
        self.oldest_revision = self.revision

    def events_after(self, revision):
        """Return the kept changes after a revision."""
        return tuple(
            event for event in self.events if event.revision > revision
        )

    def page(self, after, *, may_be_stale):
        """Return one page, which may be out of date."""
        stale_s = self.rng.uniform(0, MAX_STALE_S) if may_be_stale else 0
        latest_s = asyncio.get_running_loop().time() - stale_s
        _, revision, items_by_key = next(
            snapshot
            for snapshot in reversed(self.snapshots)
            if snapshot[0] <= latest_s or snapshot[1] == 1
        )
        keys = sorted(key for key in items_by_key if key > after)
        return ItemPage(
            tuple(items_by_key[key] for key in keys[: self.page_size]),
            revision,
            truncated=len(keys) > self.page_size,
        )


class StoreClient:
    """Store as one daemon sees it."""

    def __init__(self, store, daemon):
        self.store, self.daemon = store, daemon

    async def reach(self):
        """Wait for one call; return whether it reaches the store."""
        await self.daemon.awake.wait()
        await asyncio.sleep(LATENCY_S)
        return self.store.is_up and not self.daemon.is_turned_away

    async def read_page(self, prefix, after='', *, may_be_stale=False):
        """Read a page as `ItemSource`."""
        if not await self.reach():
            return UNAVAILABLE
        page = self.store.page(after, may_be_stale=may_be_stale)
        await asyncio.sleep(self.store.rng.uniform(0, 0.2))
        await self.daemon.awake.wait()
        return page

    async def watch(self, prefix, after_revision, wait_s):
        """Wait for changes as `ItemSource`."""
        store = self.store
        if not await self.reach():
            return UNAVAILABLE
        if after_revision < store.oldest_revision:
            return HistoryLost()
        try:
            async with asyncio.timeout(wait_s):
                while not store.events_after(after_revision):
                    await store.changed.wait()
        except TimeoutError:
            pass
        result = HistoryLost()
        if after_revision >= store.oldest_revision:
            result = ItemEvents(
                store.events_after(after_revision), store.revision
            )
        await self.daemon.awake.wait()
        return result if await self.reach() else UNAVAILABLE


class PeerPool:
    """Connections of one daemon to the change feeds of the others."""

    def __init__(self, world, daemon):
        self.world, self.daemon = world, daemon

    async def exchange(self, address, request, timeout_s):
        """Run one exchange as `ConnectionPool`."""
        await self.daemon.awake.wait()
        await asyncio.sleep(LATENCY_S)
        peer = self.world.daemons_by_address[address]
        if not peer.is_running:
            return ExchangeFailure(FailureKind.REFUSED, False, 'refused')
        try:
            async with asyncio.timeout(timeout_s):
                await peer.awake.wait()
                response = await handle_feed_request(
                    {PREFIX: peer.registry.feed}, request, 2
                )
                await peer.awake.wait()
        except TimeoutError:
            return ExchangeFailure(FailureKind.TIMEOUT, True, 'timeout')
        await self.daemon.awake.wait()
        return response

    async def __aexit__(self, *exc_info):
        pass


class SimulatedDaemon:
    """Mirror, relay and registry of one daemon, which can be restarted."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.record = HostRecord(address, 'here', 'r', address, address)
        self.awake = asyncio.Event()
        self.awake.set()
        self.is_turned_away = False
        self.is_running = False
        self.dropped_addresses = set()
        self.stack = AsyncExitStack()

    async def start(self):
        """Start a process without any state."""
        timers = LoopTimers()
        board = self.board = Blackboard()
        self.dropped_addresses = set()
        self.known_addresses = set()
        self.board.subscribe(
            REGISTRATIONS,
            lambda known: board is self.board and self.check_known(known),
        )
        self.registry = ServerRegistry(self.board, timers, OPTIONS, CODEC)
        source = RelayedSource(
            StoreClient(self.world.store, self),
            RelayOptions(self.plan, self.others, 'hosts/', 1.6, 4.6, 1),
        )
        source._feed_client._pool = PeerPool(self.world, self)
        self.mirror = PrefixMirror(
            source,
            timers,
            MirrorOptions(PREFIX, 0.4, 4),
            self.registry.apply_state,
        )
        self.stack = AsyncExitStack()
        await self.stack.enter_async_context(source)
        await self.stack.enter_async_context(self.mirror)
        renewal = asyncio.ensure_future(self.renew())
        self.stack.callback(renewal.cancel)
        self.is_running = True

    async def stop(self):
        """End the process."""
        self.is_running = False
        await self.stack.aclose()

    async def renew(self):
        """Renew the lease, which proves that the store responds."""
        while True:
            await asyncio.sleep(RENEWAL_S)
            is_reached = await StoreClient(self.world.store, self).reach()
            if (
                is_reached
                and self.plan().is_reader
                and not self.mirror.is_failing
            ):
                self.registry.feed.mark_read()

    def plan(self):
        """Return the sources of this daemon."""
        return plan_reads(self.world.running_records(), self.record)

    def others(self):
        """Return the addresses of the other daemons."""
        return tuple(
            record.control_address
            for record in self.world.running_records()
            if record != self.record
        )

    def check_known(self, registrations):
        """Record the servers that were removed for good and come back."""
        addresses = {entry.address for entry in registrations.values()}
        returned = addresses & self.dropped_addresses
        if returned:
            self.world.returned.append((self.address, returned))
        self.dropped_addresses |= {
            address
            for address in self.known_addresses - addresses
            if self.world.is_gone(address)
        }
        self.known_addresses = addresses

    def known(self):
        """Return service, address and state of each known server."""
        return {
            server: (entry.address, entry.draining)
            for server, entry in self.board.read(REGISTRATIONS).items()
        }


class World:
    """Store, daemons and the disturbances of one seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = ModelStore(self.rng)
        self.birth = 0
        self.sequences_by_key = {}
        self.daemons_by_address = {
            f'd-{number}': SimulatedDaemon(self, f'd-{number}')
            for number in range(DAEMONS)
        }
        self.tasks = []
        self.returned = []
        self.written_at_s = {}

    def is_gone(self, address):
        """Return whether a server was removed and not written recently."""
        now_s = asyncio.get_running_loop().time()
        return now_s > self.written_at_s[address] + MAX_DELAY_S and not any(
            address.encode() in item.value
            for item in self.store.items_by_key.values()
        )

    def running_records(self):
        """Return the records of the daemons that run."""
        return tuple(
            daemon.record
            for daemon in self.daemons_by_address.values()
            if daemon.is_running
        )

    def register(self, key, state='ready', *, is_new=False):
        """Write a registration; `is_new` starts another incarnation."""
        self.birth += is_new
        born, sequence = self.sequences_by_key.get(key, (self.birth, 0))
        if is_new:
            born, sequence = self.birth, 0
        self.sequences_by_key[key] = born, sequence + 1
        value = {
            'service': 'one',
            'address': f'10.0.0.1:{10_000 + born}',
            'zone': 'here',
            'version': 'v1',
            'concurrency': 5,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': sequence + 1,
            'born': born,
        }
        self.written_at_s[value['address']] = asyncio.get_running_loop().time()
        for daemon in self.daemons_by_address.values():
            daemon.dropped_addresses.discard(value['address'])
        self.store.write(key, msgspec.json.encode(value))

    def change_server(self):
        """Add, remove, drain or replace a server, or repeat its entry."""
        key = f'{PREFIX}i-{self.rng.randrange(SERVERS)}'
        if key not in self.store.items_by_key:
            self.register(key, is_new=self.rng.random() < 0.7)
            return
        what = self.rng.random()
        if what < 0.5:
            self.store.write(key, None)
        elif what < 0.65:
            self.register(key, 'draining')
        elif what < 0.75:
            self.store.write(key, None)
            self.register(key, is_new=self.rng.random() < 0.5)
        else:
            self.register(key)

    async def restart(self, daemon, down_s):
        """Stop a daemon and start it again after a while."""
        if not daemon.is_running:
            return
        await daemon.stop()
        await asyncio.sleep(down_s)
        await daemon.start()

    async def suspend(self, daemon, duration_s):
        """Suspend the exchanges of a daemon for a while."""
        daemon.awake.clear()
        await asyncio.sleep(duration_s)
        daemon.awake.set()

    async def turn_away(self, daemon, duration_s):
        """Let the store refuse a daemon for a while."""
        daemon.is_turned_away = True
        await asyncio.sleep(duration_s)
        daemon.is_turned_away = False

    async def stop_store(self, duration_s):
        """Let the store be down for a while."""
        self.store.is_up = False
        await asyncio.sleep(duration_s)
        self.store.is_up = True

    def disturb(self):
        """Start a random disturbance."""
        rng = self.rng
        daemon = rng.choice(tuple(self.daemons_by_address.values()))
        if rng.random() < 0.5:
            daemon = self.daemons_by_address['d-0']
        duration_s = rng.choice((0.1, 0.5, 2, 6))
        what = rng.random()
        if what < 0.5:
            disturbance = self.restart(daemon, duration_s)
        elif what < 0.65:
            disturbance = self.suspend(daemon, duration_s)
        elif what < 0.8:
            disturbance = self.turn_away(daemon, duration_s)
        elif what < 0.9:
            disturbance = self.stop_store(duration_s)
        else:
            self.store.drop_history()
            return
        self.tasks.append(asyncio.ensure_future(disturbance))

    async def run(self):
        """Return what each daemon knows wrongly at rest, by address.

        The key ``returned`` lists the daemons at which a server that had been
        removed for good was in use again.
        """
        for daemon in self.daemons_by_address.values():
            await daemon.start()
        for _ in range(STEPS):
            await asyncio.sleep(self.rng.choice((0, 0.05, 0.3, 1)))
            if self.rng.random() < 0.25:
                self.disturb()
            else:
                self.change_server()
        await asyncio.gather(*self.tasks)
        await asyncio.sleep(SETTLE_S)
        expected = {
            key.removeprefix(PREFIX): (
                (entry := msgspec.json.decode(item.value))['address'],
                entry['state'] == 'draining',
            )
            for key, item in self.store.items_by_key.items()
        }
        wrong_by_address = {
            address: {
                'known': daemon.known().items() - expected.items(),
                'missing': expected.items() - daemon.known().items(),
            }
            for address, daemon in self.daemons_by_address.items()
            if daemon.known() != expected
        }
        for daemon in self.daemons_by_address.values():
            await daemon.stop()
        if self.returned:
            wrong_by_address['returned'] = self.returned
        return wrong_by_address


async def run_world(seed):
    return await World(seed).run()


def run_simulation(seed):
    """Play one seed; return what each daemon knows wrongly at rest."""
    removal_count = 2_000 if seed % 2 else 3
    random.seed(seed)  # delays of the relays
    with mock.patch.object(feed, '_MAX_REMOVAL_COUNT', removal_count):
        return run_in_virtual_time(run_world(seed))
