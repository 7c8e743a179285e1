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
from boragespool.messages import (
    ServerAnnouncement,
    ServerDigest,
    ServerPage,
    ServerPageRequest,
    ServerRecord,
    ServersWanted,
    ServerVersions,
)
from boragespool.results import Failure, ResultCode
from boragespool.tasks import TaskSet
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from boragespool.controllers.context import Context
    from boragespool.messages import MemberRecord
    from boragespool.peers import Sender
    from boragespool.types import HostName, Seconds, ServerName

#: Urgent changes within this time share one message.
_GATHER_S: Final = 0.01
_TIMEOUT_S: Final = 1
#: Members asked for all records before a new daemon relies on digests, and
#: members that it compares digests with at once after that.
_JOIN_ATTEMPTS: Final = 3
#: Records in one page, in bytes; below the size of a peer frame.
_PAGE_BYTES: Final = 131_072
#: A digest of a daemon with fewer records may have this many times fewer
#: groups. The versions of larger groups would exceed the bytes of a period.
_LARGEST_GROUP_RATIO: Final = 4
_LIVE: Final = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


@dataclass(frozen=True, slots=True)
class ExchangeOptions:
    """Times and bounds of the exchange of records.

    Attributes
    ----------
    spread_interval_s : float
        Time between two messages with changes of others.
    digest_interval_s : float
        Time between two comparisons with a random member.
    spread, exchange : SpreadLimits, ExchangeLimits
        Bounds on what is sent.
    """

    spread_interval_s: Seconds = 1
    digest_interval_s: Seconds = 3
    spread: backends.SpreadLimits = field(
        default_factory=backends.SpreadLimits,
    )
    exchange: backends.ExchangeLimits = field(
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
    changed : callable
        Called with each record of a peer that was newer.
    """

    accepts: Callable[[ServerName], bool]
    server_count: Callable[[], int]
    changed: Callable[[ServerRecord], None]


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
        self._hosts: tuple[HostName, ...] = ()
        self._has_joined = False
        self._flush_is_due = False
        self._queue = backends.SpreadQueue(
            options.spread,
            context.timers.now_s(),
        )
        self._tasks = TaskSet()
        self._stack = contextlib.ExitStack()

    async def __aenter__(self) -> Self:
        """Answer peers, and exchange with them from now on."""
        context = self._context
        context.peers.on_message(ServerAnnouncement, self._receive)
        context.peers.on_message(ServersWanted, self._send_wanted)
        context.peers.on_request(ServerDigest, self._answer_digest)
        context.peers.on_request(ServerPageRequest, self._answer_page)
        unsubscribe = context.board.subscribe(MEMBERS, self._follow_members)
        self._stack.callback(unsubscribe)
        for interval_s, tick in (
            (self._options.spread_interval_s, self._spread),
            (self._options.digest_interval_s, self._compare_with_one),
        ):
            timer = context.timers.every(interval_s, tick)
            self._stack.callback(timer.cancel)
        self._follow_members(context.board.read(MEMBERS))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the exchange."""
        self._stack.close()
        await self._tasks.close()

    def announce(self, record: ServerRecord) -> None:
        """Send an own record that changed to a few members at once."""
        self._note(record, is_urgent=True)

    def _follow_members(
        self,
        members_by_host: Mapping[HostName, MemberRecord],
    ) -> None:
        """Keep the hosts to exchange with; fetch all records at the start."""
        own = self._context.identity.host
        self._hosts = tuple(
            host
            for host, member in members_by_host.items()
            if host != own and member.status in _LIVE
        )
        if self._hosts and not self._has_joined:
            self._has_joined = True
            self._tasks.spawn(self._join())

    async def _join(self) -> None:
        """Fetch all records of one member, then compare with others."""
        for host in self._choose(_JOIN_ATTEMPTS):
            if await self._fetch_all(host):
                break
        for other in self._choose(_JOIN_ATTEMPTS):
            await self._compare_with(other)

    async def _fetch_all(self, host: HostName) -> bool:
        """Fetch the records page by page; tell whether all were answered."""
        group = 0
        while group < backends.GROUP_COUNT:
            page = await self._context.peers.request(
                host,
                ServerPageRequest(group),
                _TIMEOUT_S,
            )
            if not isinstance(page, ServerPage) or page.next_group <= group:
                return False
            self._merge(page.records)
            group = page.next_group
        return True

    async def _answer_page(
        self,
        _sender: Sender,
        asked: ServerPageRequest,
    ) -> ServerPage:
        records: list[ServerRecord] = []
        size_bytes = 0
        group = max(0, asked.group)
        while group < backends.GROUP_COUNT and size_bytes < _PAGE_BYTES:
            found = self._table.group(group, backends.GROUP_COUNT).values()
            records.extend(found)
            size_bytes += sum(map(backends.record_size_bytes, found))
            group += 1
        return ServerPage(tuple(records), group)

    def _compare_with_one(self) -> None:
        for host in self._choose(1):
            self._tasks.spawn(self._compare_with(host))

    async def _compare_with(self, host: HostName) -> None:
        """Compare digests; send what the peer lacks and ask for the rest."""
        count = backends.group_count(
            max(len(self._table.by_server), self._hooks.server_count()),
        )
        answer = await self._context.peers.request(
            host,
            ServerDigest(self._table.digest(count)),
            _TIMEOUT_S,
        )
        if not isinstance(answer, ServerVersions) or not answer.groups:
            return
        compared = backends.compare(
            self._table,
            answer.groups,
            count,
            answer.versions,
        )
        if compared.wanted:
            self._context.peers.send(host, ServersWanted(compared.wanted))
        self._repair(host, compared.to_send, len(answer.groups))

    async def _answer_digest(
        self,
        _sender: Sender,
        digest: ServerDigest,
    ) -> ServerVersions | Failure:
        count, rest = divmod(len(digest.hashes), backends.HASH_BYTES)
        lowest = backends.group_count(
            len(self._table.by_server) // _LARGEST_GROUP_RATIO,
        )
        if rest or not backends.is_group_count(count) or count < lowest:
            size = len(digest.hashes)
            return Failure(
                ResultCode.PEER_REFUSED,
                f'digest of {size!r} bytes is not 4 bytes for each of '
                f'{lowest} to {backends.GROUP_COUNT} groups, a power of two',
            )
        groups = backends.differing_groups(
            self._table.digest(count),
            digest.hashes,
            self._options.exchange,
            self._context.draw,
        )
        versions = backends.versions_of(self._table, groups, count)
        return ServerVersions(groups, versions)

    def _send_wanted(self, sender: Sender, message: ServersWanted) -> None:
        limit = self._options.exchange.catch_up_groups
        self._repair(sender.host, self._table.find(message.keys), limit)

    def _repair(
        self,
        host: HostName,
        records: tuple[ServerRecord, ...],
        group_count: int,
    ) -> None:
        size_bytes = group_count * self._options.exchange.size_bytes
        chosen = backends.bounded(records, size_bytes)
        if chosen:
            message = ServerAnnouncement(chosen, is_repair=True)
            self._context.peers.send(host, message)

    def _receive(self, _sender: Sender, message: ServerAnnouncement) -> None:
        for record in self._merge(message.records):
            if not message.is_repair:
                is_urgent = record.state in backends.OUT_OF_USE
                self._note(record, is_urgent=is_urgent)

    def _merge(self, records: Iterable[ServerRecord]) -> list[ServerRecord]:
        """Keep and return the newer records."""
        kept = [
            record
            for record in records
            if self._hooks.accepts(record.server) and self._table.merge(record)
        ]
        for record in kept:
            self._queue.forget(record.server)
            self._hooks.changed(record)
        return kept

    def _note(self, record: ServerRecord, *, is_urgent: bool) -> None:
        self._queue.note(record, is_urgent=is_urgent)
        if is_urgent and not self._flush_is_due:
            self._flush_is_due = True
            self._context.timers.after(_GATHER_S, self._spread_urgent)

    def _spread_urgent(self) -> None:
        self._flush_is_due = False
        self._send_changes(self._options.spread.sends, urgent_only=True)

    def _spread(self) -> None:
        self._send_changes(self._options.spread.targets, urgent_only=False)

    def _send_changes(self, targets: int, *, urgent_only: bool) -> None:
        if not self._hosts:
            return
        records = self._queue.take(
            targets,
            self._context.timers.now_s(),
            urgent_only=urgent_only,
        )
        if records:
            for host in self._choose(targets):
                self._context.peers.send(host, ServerAnnouncement(records))

    def _choose(self, count: int) -> tuple[HostName, ...]:
        return backends.choose_targets(self._hosts, count, self._context.draw)
