"""Spreads server records between the daemons.

A change goes to a few members at once, and they pass it on. In addition each
daemon compares a digest of all records with a random member now and then,
which repairs what was lost. A daemon that starts fetches all records.
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

#: Urgent changes within this time share one message.
_URGENT_DELAY_S: Final = 0.01
#: Members asked for all records before a new daemon relies on digests, and
#: members that it compares digests with at once after that.
_JOIN_HOST_COUNT: Final = 3
_LIVE_STATUSES: Final = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


@dataclass(frozen=True, slots=True)
class ExchangeOptions:
    """Times and bounds of the exchange of records.

    Attributes
    ----------
    spread_interval_s : float
        Time between two messages with changes of others.
    digest_interval_s : float
        Time between two comparisons with a random member.
    spread_limits, exchange_limits : SpreadLimits, ExchangeLimits
        Bounds on what is sent.
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
    """What the exchange asks and tells its owner.

    Attributes
    ----------
    accepts : callable
        Whether records of a server are kept.
    server_count : callable
        Returns the number of configured servers.
    on_changed : callable
        Called with each record of a peer that was newer.
    """

    accepts: Callable[[ServerName], bool]
    server_count: Callable[[], int]
    on_changed: Callable[[ServerRecord], None]


class RecordExchange:
    """Sends and receives server records, an async context manager."""

    def __init__(
        self,
        context: Context,
        table: backends.RecordTable,
        options: ExchangeOptions,
        hooks: ExchangeHooks,
    ) -> None:
        """Keep the parts; `__aenter__` begins to exchange."""
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
        """Answer peers, and exchange with them from now on."""
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
        """Stop the exchange."""
        self._stack.close()
        await self._tasks.close()

    def announce(self, record: ServerRecord) -> None:
        """Send an own record that changed to a few members at once."""
        self._enqueue(record, is_urgent=True)

    def _on_members(
        self,
        members_by_host: Mapping[HostName, MemberRecord],
    ) -> None:
        """Keep the hosts to exchange with; fetch all records at the start."""
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
        """Fetch all records of one member, then compare with others."""
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
        """Keep and return the newer records."""
        kept = [
            record
            for record in records
            if self._hooks.accepts(record.server) and self._table.merge(record)
        ]
        for record in kept:
            self._queue.forget(record.server)
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

    def _send_changes(self, targets: int, *, urgent_only: bool) -> None:
        if not self._peer_hosts:
            return
        records = self._queue.take(
            targets,
            self._context.timers.now_s(),
            urgent_only=urgent_only,
        )
        if records:
            for host in self._choose_peers(targets):
                self._context.peers.send(host, ServerAnnouncement(records))

    def _choose_peers(self, count: int) -> tuple[HostName, ...]:
        return backends.choose_targets(
            self._peer_hosts, count, self._context.draw
        )
