"""Replicates server records between the daemons.

A daemon sends a changed record to a few members, which forward it. In addition
each daemon periodically compares a digest of its records with a random member
to find the changes that either of them missed. A daemon that starts fetches all
records.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, Self

from boragespool import backends
from boragespool.blackboard.topics import MEMBERS
from boragespool.controllers.backend_servers.record_repair import RecordRepair
from boragespool.messages import ServerAnnouncement, ServerRecord
from boragespool.tasks import TaskSet
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from boragespool.controllers.context import Context
    from boragespool.messages import MemberRecord
    from boragespool.peers import Sender
    from boragespool.types import HostName, Seconds, ServerName

#: Urgent changes within this time are sent in one message.
_URGENT_DELAY_S: Final = 0.01
#: Largest number of members that a starting daemon asks for all records, until
#: one has sent them, and number of members that it compares digests with after
#: that.
_JOIN_HOST_COUNT: Final = 3
_LIVE_STATUSES: Final = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


@dataclass(frozen=True, slots=True)
class ExchangeOptions:
    """Intervals and bounds of the exchange of records.

    Attributes
    ----------
    spread_interval_s : float
        Time between two messages with all pending changes, in seconds. Urgent
        changes do not wait for it.
    digest_interval_s : float
        Time between two comparisons with a random member, in seconds.
    spread_limits, exchange_limits : SpreadLimits, ExchangeLimits
        Bounds on the gossip of changes, and on one comparison.
    """

    spread_interval_s: Seconds = 1
    digest_interval_s: Seconds = 3
    spread_limits: backends.SpreadLimits = field(
        default_factory=backends.SpreadLimits,
    )
    exchange_limits: backends.ExchangeLimits = field(
        default_factory=backends.ExchangeLimits,
    )


@dataclass(frozen=True, slots=True)
class ExchangeHooks:
    """Callbacks of the exchange to its owner.

    Attributes
    ----------
    accepts : callable
        Returns whether records of a server are stored.
    server_count : callable
        Returns the number of configured servers.
    on_changed : callable
        Called with each newer record from a peer.
    """

    accepts: Callable[[ServerName], bool]
    server_count: Callable[[], int]
    on_changed: Callable[[ServerRecord], None]


class RecordExchange:
    """Sends and receives server records, an async context manager.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    table : RecordTable
        Records of this daemon; newer records of peers are merged into it.
    options : ExchangeOptions
        Intervals and bounds.
    hooks : ExchangeHooks
        Callbacks to the owner.
    """

    def __init__(
        self,
        context: Context,
        table: backends.RecordTable,
        options: ExchangeOptions,
        hooks: ExchangeHooks,
    ) -> None:
        """Set up without peers; `__aenter__` starts the exchange."""
        self._context = context
        self._table = table
        self._options = options
        self._hooks = hooks
        self._peer_hosts: tuple[HostName, ...] = ()
        self._has_joined = False
        self._is_urgent_send_scheduled = False
        self._queue = backends.SpreadQueue(
            options.spread_limits,
            context.timers.now_s(),
        )
        self._repair = RecordRepair(
            context,
            table,
            options.exchange_limits,
            hooks.server_count,
            self._merge,
        )
        self._tasks = TaskSet()
        self._stack = contextlib.ExitStack()

    async def __aenter__(self) -> Self:
        """Register the handlers and start the timers."""
        context = self._context
        context.peers.on_message(ServerAnnouncement, self._handle_announcement)
        self._repair.register_handlers()
        unsubscribe = context.board.subscribe(MEMBERS, self._on_members)
        self._stack.callback(unsubscribe)
        for interval_s, tick in (
            (self._options.spread_interval_s, self._send_all_changes),
            (self._options.digest_interval_s, self._compare_with_random_peer),
        ):
            timer = context.timers.every(interval_s, tick)
            self._stack.callback(timer.cancel)
        self._on_members(context.board.read(MEMBERS))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the timers and the running comparisons."""
        self._stack.close()
        await self._tasks.close()

    def announce(self, record: ServerRecord) -> None:
        """Send a changed record to a few members within about 10 ms."""
        self._enqueue(record, is_urgent=True)

    def _on_members(
        self,
        members_by_host: Mapping[HostName, MemberRecord],
    ) -> None:
        """Update the peers; fetch all records once the first ones are known."""
        own_host = self._context.identity.host
        self._peer_hosts = tuple(
            host
            for host, member in members_by_host.items()
            if host != own_host and member.status in _LIVE_STATUSES
        )
        if self._peer_hosts and not self._has_joined:
            self._has_joined = True
            self._tasks.spawn(self._fetch_and_compare())

    async def _fetch_and_compare(self) -> None:
        """Fetch all records from one peer, then compare with a few peers."""
        for host in self._choose_peers(_JOIN_HOST_COUNT):
            if await self._repair.fetch_all(host):
                break
        for other in self._choose_peers(_JOIN_HOST_COUNT):
            await self._repair.compare_with(other)

    def _compare_with_random_peer(self) -> None:
        for host in self._choose_peers(1):
            self._tasks.spawn(self._repair.compare_with(host))

    def _handle_announcement(
        self, _sender: Sender, message: ServerAnnouncement
    ) -> None:
        for record in self._merge(message.records):
            if not message.is_repair:
                is_urgent = record.state in backends.OUT_OF_SERVICE
                self._enqueue(record, is_urgent=is_urgent)

    def _merge(self, records: Iterable[ServerRecord]) -> list[ServerRecord]:
        """Store and return the records that are newer than the stored ones."""
        kept = [
            record
            for record in records
            if self._hooks.accepts(record.server) and self._table.merge(record)
        ]
        for record in kept:
            self._queue.discard(record.server)
            self._hooks.on_changed(record)
        return kept

    def _enqueue(self, record: ServerRecord, *, is_urgent: bool) -> None:
        self._queue.enqueue(record, is_urgent=is_urgent)
        if is_urgent and not self._is_urgent_send_scheduled:
            self._is_urgent_send_scheduled = True
            self._context.timers.after(_URGENT_DELAY_S, self._send_urgent)

    def _send_urgent(self) -> None:
        self._is_urgent_send_scheduled = False
        self._send_changes(
            self._options.spread_limits.send_count, urgent_only=True
        )

    def _send_all_changes(self) -> None:
        self._send_changes(
            self._options.spread_limits.target_count, urgent_only=False
        )

    def _send_changes(self, target_count: int, *, urgent_only: bool) -> None:
        if not self._peer_hosts:
            return
        records = self._queue.take(
            target_count,
            self._context.timers.now_s(),
            urgent_only=urgent_only,
        )
        if records:
            for host in self._choose_peers(target_count):
                self._context.peers.send(host, ServerAnnouncement(records))

    def _choose_peers(self, count: int) -> tuple[HostName, ...]:
        return backends.choose_targets(
            self._peer_hosts, count, self._context.draw
        )
