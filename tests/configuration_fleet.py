"""Daemons with fake links and a fake platform in virtual time."""

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
DOWN = Failure(ResultCode.STORE_UNAVAILABLE, 'switched off')


class FakePlatform:
    """Store and host list; counts calls and can be switched off."""

    def __init__(self, timers):
        self.timers = timers
        self.value = ''
        self.version = 0
        self.down = False
        self.leaving = ()
        self.parts = {}
        self.calls = {'watch': 0, 'hosts': 0, 'get': 0}
        self.watchers = set()

    def put(self, value):
        """Store the next version."""
        self.value = value
        self.version += 1

    def put_parts(self, packed):
        """Store a revision in parts, as the operator command does."""
        for part, text in packed.parts.items():
            self.parts[part_key(part)] = text.decode()
        self.put(packed.encoded.decode())

    async def read_part(self, host, key):
        """Answer a read of a part."""
        self.watchers.add(host)
        self.calls['get'] += 1
        if self.down:
            return DOWN
        if key not in self.parts:
            return Missing(key)
        return StoredValue(key, self.parts[key], 1)

    def client(self, host):
        """Return the client of one daemon."""

        async def watch(key, after_version, wait_s):
            assert key == 'config/current'
            self.calls['watch'] += 1
            self.watchers.add(host)
            end_s = self.timers.now_s() + wait_s
            while True:
                if self.down:
                    await pause(self.timers, 1)
                    return DOWN
                if self.version > after_version:
                    return SimpleNamespace(
                        value=self.value, version=self.version
                    )
                if self.timers.now_s() >= end_s:
                    return SimpleNamespace(version=self.version)
                await pause(self.timers, STEP_S)

        async def hosts():
            self.calls['hosts'] += 1
            if self.down:
                return DOWN
            return tuple(
                SimpleNamespace(host=name, state='leaving')
                for name in self.leaving
            )

        get = functools.partial(self.read_part, host)
        return SimpleNamespace(watch=watch, hosts=hosts, get=get)


class FakePeers:
    """Links of one daemon: messages arrive unless a host is cut off."""

    def __init__(self, host, fleet):
        self.host = host
        self.fleet = fleet
        self.handlers = {}
        self.sent = 0

    def on_message(self, kind, handler):
        self.handlers[kind] = handler

    on_request = on_message

    def send(self, host, message):
        self.sent += 1
        other = self.reach(host)
        if other and self.fleet.draw.random() >= self.fleet.loss:
            other.handlers[type(message)](self, message)
        return True

    async def request(self, host, message, timeout_s):
        other = self.reach(host)
        if other is None:
            await pause(self.fleet.timers, timeout_s)
            return Failure(ResultCode.PEER_UNREACHABLE, host)
        return await other.handlers[type(message)](self, message)

    def reach(self, host):
        """Return the links of a peer, or None if one side is cut off."""
        if {host, self.host} & self.fleet.cut_off:
            return None
        return self.fleet.peers.get(host)


class Fleet:
    """A number of daemons; gossip shows every record each half second."""

    def __init__(self, size, options=None):
        self.timers = VirtualTimers()
        self.platform = FakePlatform(self.timers)
        self.options = options
        self.draw = random.Random(7)
        self.loss = 0
        self.cut_off = set()
        self.boards = {}
        self.peers = {}
        self.controllers = {}
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
        """Start one daemon."""
        self.boards[host] = Blackboard()
        self.peers[host] = FakePeers(host, self)
        self.gossip()
        context = Context(
            Identity(host, 1, 'north', 'north', '', ''),
            self.boards[host],
            self.timers,
            self.peers[host],
            self.draw.random,
        )
        self.controllers[host] = await self.stack.enter_async_context(
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
                if host in self.cut_off
                else MemberStatus.ALIVE,
                'north',
                'north',
                '',
                '',
                revision=self.revision(host),
            )
            for host in self.boards
        }
        for board in self.boards.values():
            board.post(MEMBERS, members_by_host)

    async def advance(self, duration_s):
        """Move virtual time in steps and let all tasks run."""
        for _ in range(round(duration_s / STEP_S)):
            self.timers.advance(STEP_S)
            for _ in range(12):
                await asyncio.sleep(0)

    def revision(self, host):
        """Return the revision in force at one daemon; 0 for none."""
        document = self.boards[host].read(DOCUMENT_IN_FORCE)
        return document.revision if document else 0

    def revisions(self):
        """Return the set of revisions in force."""
        return {self.revision(host) for host in self.boards}

    def leaving(self):
        """Return the distinct lists of leaving hosts."""
        return {board.read(LEAVING_HOSTS) for board in self.boards.values()}
