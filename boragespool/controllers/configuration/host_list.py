"""Reads the platform's host list and spreads the leaving hosts."""

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
    """Pace of the host list.

    Attributes
    ----------
    read_interval_s : float
        Time between two reads of a watcher.
    exchange_interval_s : float
        Time between two requests to a random peer, which repair lost
        messages.
    timeout_s : float
        Longest wait for a peer.
    backoff_first_s, backoff_limit_s : float
        Delays after failed reads.
    fanout : int
        Peers to which a daemon passes a new list on.
    """

    read_interval_s: Seconds = 0.5
    exchange_interval_s: Seconds = 1
    timeout_s: Seconds = 1
    backoff_first_s: Seconds = 0.5
    backoff_limit_s: Seconds = 5
    fanout: int = 4


class HostList:
    """The newest list of leaving hosts that this daemon knows.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    source : HostListSource
        Platform.
    options : HostListOptions
        Pace.
    """

    def __init__(
        self,
        context: Context,
        source: HostListSource,
        options: HostListOptions,
    ) -> None:
        """Start without a list."""
        self._context = context
        self._source = source
        self._options = options
        self._newest = EMPTY_HOST_LIST
        # None until two answers in a row can be compared.
        self._last_leaving_hosts: frozenset[HostName] | None = None
        self._failures = 0

    def register(self) -> None:
        """Receive lists of peers."""
        self._context.peers.on_message(LeavingHosts, self._receive)
        self._context.peers.on_request(LeavingHostsRequest, self._answer)

    async def poll_while(self, watch_enabled: asyncio.Event) -> None:
        """Read the platform's list for ever, whenever this daemon watches.

        Parameters
        ----------
        watching : asyncio.Event
            Set while this daemon is one of the watchers.
        """
        while True:
            if not watch_enabled.is_set():
                self._last_leaving_hosts = None
                await watch_enabled.wait()
            await self.read()
            await pause(self._context.timers, self._read_delay_s())

    async def read(self) -> None:
        """Read the platform's list once and publish what changed."""
        known = self._newest
        entries = await self._source.hosts()
        if isinstance(entries, Failure):
            self._failures += 1
            self._last_leaving_hosts = None
            return
        self._failures = 0
        leaving_hosts = frozenset(
            entry.host for entry in entries if entry.state == _LEAVING
        )
        before = self._last_leaving_hosts
        if before is None:
            before = frozenset(known.hosts)
        self._last_leaving_hosts = leaving_hosts
        if self._newest is not known:
            # The answer may be older than the list that arrived meanwhile.
            return
        own_host = self._context.identity.host
        updated = next_host_list(known, leaving_hosts, before, own_host)
        if updated is not None:
            self._apply(updated)

    async def poll_peers(self) -> None:
        """Ask one random peer after the other for a newer list, for ever."""
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
        """Use a newer list and pass it on once."""
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
        if not self._failures:
            return self._options.read_interval_s
        return backoff_s(
            self._failures,
            self._options.backoff_first_s,
            self._options.backoff_limit_s,
            self._context.draw(),
        )
