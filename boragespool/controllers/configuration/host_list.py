"""Distributes the list of leaving hosts to all daemons.

Watchers read the platform's host list. Each daemon forwards a newer list to a
few random peers, and asks random peers for one at intervals.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import LEAVING_HOSTS, MEMBERS
from boragespool.controllers.pauses import backoff_s, pause
from boragespool.events import Event, log_event
from boragespool.messages import LeavingHosts, LeavingHostsRequest
from boragespool.results import Failure
from boragespool.revisions.host_list import (
    EMPTY_HOST_LIST,
    next_host_list,
    supersedes,
)
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    import asyncio

    from boragespool.controllers.configuration.configuration_store import (
        HostListSource,
    )
    from boragespool.controllers.context import Context
    from boragespool.peers import Sender
    from boragespool.types import HostName, Seconds

_LEAVING: Final = 'leaving'


@dataclass(frozen=True, slots=True)
class HostListOptions:
    """Intervals, timeouts and limits of the host list.

    Attributes
    ----------
    read_interval_s : float
        Time between two reads of the platform's list by a watcher, in
        seconds.
    exchange_interval_s : float
        Time between two requests to a random peer, in seconds. They make up
        for lost messages.
    timeout_s : float
        Timeout of a request to a peer, in seconds.
    backoff_first_s, backoff_limit_s : float
        Delay after the first failed read, and the maximum delay, in seconds.
    fanout : int
        Number of peers to which a daemon forwards a newer list.
    """

    read_interval_s: Seconds = 0.5
    exchange_interval_s: Seconds = 1
    timeout_s: Seconds = 1
    backoff_first_s: Seconds = 0.5
    backoff_limit_s: Seconds = 5
    fanout: int = 4


class HostList:
    """Newest list of leaving hosts that this daemon has received or read.

    It is posted on the blackboard as `LEAVING_HOSTS`.

    Parameters
    ----------
    context : Context
        Identity, blackboard, timers and peers of the daemon.
    source : HostListSource
        Client of the platform's host list.
    options : HostListOptions
        Intervals, timeouts and limits.
    """

    def __init__(
        self,
        context: Context,
        source: HostListSource,
        options: HostListOptions,
    ) -> None:
        """Start with an empty list."""
        self._context = context
        self._source = source
        self._options = options
        self._newest = EMPTY_HOST_LIST
        # Leaving hosts in the platform's previous answer. None before the
        # first read, after a failed one, and after this daemon was no watcher.
        self._last_leaving_hosts: frozenset[HostName] | None = None
        self._failure_count = 0

    def register(self) -> None:
        """Register the handlers for messages of peers."""
        self._context.peers.on_message(LeavingHosts, self._receive)
        self._context.peers.on_request(LeavingHostsRequest, self._answer)

    async def poll_while(self, watch_enabled: asyncio.Event) -> None:
        """Read the platform's list at intervals while this daemon watches.

        Never returns: waits while the event is not set.

        Parameters
        ----------
        watch_enabled : asyncio.Event
            Set while this daemon is a watcher.
        """
        while True:
            if not watch_enabled.is_set():
                self._last_leaving_hosts = None
                await watch_enabled.wait()
            await self.read()
            await pause(self._context.timers, self._read_delay_s())

    async def read(self) -> None:
        """Read the platform's list once; publish a new list if it changed."""
        known = self._newest
        entries = await self._source.hosts()
        if isinstance(entries, Failure):
            self._failure_count += 1
            self._last_leaving_hosts = None
            return
        self._failure_count = 0
        leaving_hosts = frozenset(
            entry.host for entry in entries if entry.state == _LEAVING
        )
        before = self._last_leaving_hosts
        if before is None:
            before = frozenset(known.hosts)
        self._last_leaving_hosts = leaving_hosts
        if self._newest is not known:
            # A peer sent a newer list during the call, and the answer may
            # be older than that list.
            return
        own_host = self._context.identity.host
        updated = next_host_list(known, leaving_hosts, before, own_host)
        if updated is not None:
            self._apply(updated)

    async def poll_peers(self) -> None:
        """Ask a random peer for a newer list at intervals; never return."""
        while True:
            await pause(
                self._context.timers,
                self._options.exchange_interval_s,
            )
            for host in self._random_peers(1):
                reply = await self._context.peers.request(
                    host,
                    LeavingHostsRequest(
                        self._newest.sequence,
                        self._newest.watcher,
                    ),
                    self._options.timeout_s,
                )
                if isinstance(reply, LeavingHosts):
                    self._merge_received(reply)

    def _receive(self, _: Sender, received: LeavingHosts) -> None:
        self._merge_received(received)

    async def _answer(
        self,
        _: Sender,
        request: LeavingHostsRequest,
    ) -> LeavingHosts:
        known = LeavingHosts(request.sequence, request.watcher)
        return (
            self._newest if supersedes(known, self._newest) else EMPTY_HOST_LIST
        )

    def _merge_received(self, received: LeavingHosts) -> None:
        if supersedes(self._newest, received):
            self._apply(received)

    def _apply(self, newest: LeavingHosts) -> None:
        """Post a newer list and forward it once to a few random peers."""
        self._newest = newest
        hosts = frozenset(newest.hosts)
        if hosts != self._context.board.read(LEAVING_HOSTS):
            log_event(
                Event.HOST_LIST_CHANGED,
                f'{len(hosts)} hosts are leaving',
                hosts=newest.hosts,
                watcher=newest.watcher,
            )
        self._context.board.post(LEAVING_HOSTS, hosts)
        for host in self._random_peers(self._options.fanout):
            self._context.peers.send(host, newest)

    def _random_peers(self, count: int) -> list[HostName]:
        own_host = self._context.identity.host
        hosts = [
            member.host
            for member in self._context.board.read(MEMBERS).values()
            if member.host != own_host
            and member.status is not MemberStatus.DEAD
        ]
        chosen: list[HostName] = []
        while hosts and len(chosen) < count:
            index = int(self._context.draw() * len(hosts))
            chosen.append(hosts.pop(index))
        return chosen

    def _read_delay_s(self) -> Seconds:
        if not self._failure_count:
            return self._options.read_interval_s
        return backoff_s(
            self._failure_count,
            self._options.backoff_first_s,
            self._options.backoff_limit_s,
            self._context.draw(),
        )
