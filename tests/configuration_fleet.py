"""Configuration controllers on fake peer links and a fake platform.

Time is virtual.
"""

from __future__ import annotations

import asyncio
import functools
import random
from contextlib import AsyncExitStack
from types import SimpleNamespace

from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import (
    DOCUMENT_IN_FORCE,
    LEAVING_HOSTS,
    MEMBERS,
)
from boragespool.controllers.configuration.configuration import (
    ConfigurationController,
)
from boragespool.controllers.context import Context, Identity
from boragespool.controllers.pauses import pause
from boragespool.messages import MemberRecord
from boragespool.results import Failure, ResultCode
from boragespool.revisions import part_key
from boragespool.store import Missing, StoredValue
from boragespool.timers import VirtualTimers
from boragespool.types import MemberStatus

STEP_S = 0.05
STORE_DOWN = Failure(ResultCode.STORE_UNAVAILABLE, 'switched off')


class FakePlatform:
    """Fake of the platform's store and host list.

    Attributes
    ----------
    value, version : str, int
        Current revision in the store and its version there.
    down : bool
        Whether all calls fail.
    leaving_hosts : tuple of str
        Hosts that the host list shows as leaving.
    texts_by_part_key : dict
        Parts of revisions in the store.
    call_counts : dict
        Number of calls by kind.
    calling_hosts : set of str
        Hosts that watched the current revision or read a part.
    """

    def __init__(self, timers):
        self.timers = timers
        self.value = ''
        self.version = 0
        self.down = False
        self.leaving_hosts = ()
        self.texts_by_part_key = {}
        self.call_counts = {'watch': 0, 'hosts': 0, 'get': 0}
        self.calling_hosts = set()

    def put(self, value):
        """Store the next version of the current revision."""
        self.value = value
        self.version += 1

    def put_parts(self, encoded_revision):
        """Store a revision in parts, as the operators' command does."""
        for part, text in encoded_revision.parts.items():
            self.texts_by_part_key[part_key(part)] = text.decode()
        self.put(encoded_revision.encoded.decode())

    async def read_part(self, host, key):
        """Return the stored text of a part."""
        self.calling_hosts.add(host)
        self.call_counts['get'] += 1
        if self.down:
            return STORE_DOWN
        if key not in self.texts_by_part_key:
            return Missing(key)
        return StoredValue(key, self.texts_by_part_key[key], 1)

    def client(self, host):
        """Return the store client of the daemon on a host."""

        async def watch(key, after_version, wait_s):
            assert key == 'config/current'
            self.call_counts['watch'] += 1
            self.calling_hosts.add(host)
            end_s = self.timers.now_s() + wait_s
            while True:
                if self.down:
                    await pause(self.timers, 1)
                    return STORE_DOWN
                if self.version > after_version:
                    return SimpleNamespace(
                        value=self.value, version=self.version
                    )
                if self.timers.now_s() >= end_s:
                    return SimpleNamespace(version=self.version)
                await pause(self.timers, STEP_S)

        async def hosts():
            self.call_counts['hosts'] += 1
            if self.down:
                return STORE_DOWN
            return tuple(
                SimpleNamespace(host=name, state='leaving')
                for name in self.leaving_hosts
            )

        get = functools.partial(self.read_part, host)
        return SimpleNamespace(watch=watch, hosts=hosts, get=get)


class FakePeers:
    """Peer links of one daemon.

    Messages without a reply are lost at the loss rate of the fleet. Nothing
    arrives from or at an isolated host.
    """

    def __init__(self, host, fleet):
        self.host = host
        self.fleet = fleet
        self.handlers = {}
        self.sent_count = 0

    def on_message(self, kind, handler):
        self.handlers[kind] = handler

    on_request = on_message

    def send(self, host, message):
        self.sent_count += 1
        other = self.reachable_peer(host)
        if other and self.fleet.rng.random() >= self.fleet.loss_rate:
            other.handlers[type(message)](self, message)
        return True

    async def request(self, host, message, timeout_s):
        other = self.reachable_peer(host)
        if other is None:
            await pause(self.fleet.timers, timeout_s)
            return Failure(ResultCode.PEER_UNREACHABLE, host)
        return await other.handlers[type(message)](self, message)

    def reachable_peer(self, host):
        """Return the links of a peer; None if it or this host is isolated."""
        if {host, self.host} & self.fleet.isolated_hosts:
            return None
        return self.fleet.peers_by_host.get(host)


class Fleet:
    """Daemons in one data centre, an async context manager.

    Member records are posted at all daemons every 0.5 s, in place of gossip.

    Attributes
    ----------
    loss_rate : float
        Probability that a message without a reply is lost.
    isolated_hosts : set of str
        Hosts without links to others, which the member records show as dead.
    """

    def __init__(self, size, options=None):
        self.timers = VirtualTimers()
        self.platform = FakePlatform(self.timers)
        self.options = options
        self.rng = random.Random(7)
        self.loss_rate = 0
        self.isolated_hosts = set()
        self.boards_by_host = {}
        self.peers_by_host = {}
        self.controllers_by_host = {}
        self.hosts = [f'h{number}' for number in range(size)]
        self.stack = AsyncExitStack()
        self.timers.every(0.5, self.gossip)

    async def __aenter__(self):
        for host in self.hosts:
            await self.start(host)
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.aclose()

    async def start(self, host):
        """Start the daemon of a host."""
        self.boards_by_host[host] = Blackboard()
        self.peers_by_host[host] = FakePeers(host, self)
        self.gossip()
        context = Context(
            Identity(host, 1, 'north', 'north', '', ''),
            self.boards_by_host[host],
            self.timers,
            self.peers_by_host[host],
            self.rng.random,
        )
        self.controllers_by_host[host] = await self.stack.enter_async_context(
            ConfigurationController(
                context, self.platform.client(host), self.options
            )
        )

    def gossip(self):
        """Post the same member records at every daemon."""
        members_by_host = {
            host: MemberRecord(
                host,
                1,
                1,
                MemberStatus.DEAD
                if host in self.isolated_hosts
                else MemberStatus.ALIVE,
                'north',
                'north',
                '',
                '',
                revision=self.revision_in_force(host),
            )
            for host in self.boards_by_host
        }
        for board in self.boards_by_host.values():
            board.post(MEMBERS, members_by_host)

    async def advance(self, duration_s):
        """Advance virtual time in steps of `STEP_S` and let all tasks run."""
        for _ in range(round(duration_s / STEP_S)):
            self.timers.advance(STEP_S)
            for _ in range(12):
                await asyncio.sleep(0)

    def revision_in_force(self, host):
        """Return the revision in force at one daemon; 0 if there is none."""
        document = self.boards_by_host[host].read(DOCUMENT_IN_FORCE)
        return document.revision if document else 0

    def revisions_in_force(self):
        """Return the distinct revisions in force at the daemons."""
        return {self.revision_in_force(host) for host in self.boards_by_host}

    def leaving_host_sets(self):
        """Return the distinct sets of leaving hosts at the daemons."""
        return {
            board.read(LEAVING_HOSTS) for board in self.boards_by_host.values()
        }
