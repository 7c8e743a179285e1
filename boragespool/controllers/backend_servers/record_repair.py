"""Anti-entropy of server records: repairs what the gossip of changes missed.

A daemon compares digests with its peers, and fetches all records page by page
when it starts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool import backends
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

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragespool.controllers.context import Context
    from boragespool.peers import Sender
    from boragespool.types import HostName

_REQUEST_TIMEOUT_S: Final = 1
#: Size of the records in a page at which no further group is added, in bytes;
#: below the size of a peer frame.
_PAGE_BYTES: Final = 131_072
#: A peer with fewer records may send a digest with up to this many times fewer
#: groups. The versions of larger groups would exceed the bytes that may be sent
#: in one interval.
_MAX_GROUP_SIZE_RATIO: Final = 4


class RecordRepair:
    """Compares records with peers, and fetches and sends missing ones.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    table : RecordTable
        Records of this daemon, only read here.
    limits : ExchangeLimits
        Bounds on one comparison, and the rate limit for catching up.
    server_count : callable
        Returns the number of configured servers.
    merge : callable
        Stores those of the given records that are newer than the stored ones.
    """

    def __init__(
        self,
        context: Context,
        table: backends.RecordTable,
        limits: backends.ExchangeLimits,
        server_count: Callable[[], int],
        merge: Callable[[Iterable[ServerRecord]], object],
    ) -> None:
        """Set up the rate limiter with a full burst."""
        self._context = context
        self._table = table
        self._limits = limits
        self._server_count = server_count
        self._merge = merge
        self._rate_limiter = backends.ByteRateLimiter(
            limits.catch_up_bytes_per_s,
            limits.catch_up_burst_bytes,
            context.timers.now_s(),
        )

    def register_handlers(self) -> None:
        """Register the handlers for messages and requests of peers."""
        peers = self._context.peers
        peers.on_message(ServersWanted, self._send_wanted)
        peers.on_request(ServerDigest, self._answer_digest)
        peers.on_request(ServerPageRequest, self._answer_page)

    async def fetch_all(self, host: HostName) -> bool:
        """Fetch all records of a peer page by page.

        Returns
        -------
        bool
            Whether all pages were received.
        """
        group = 0
        while group < backends.GROUP_COUNT:
            page = await self._context.peers.request(
                host,
                ServerPageRequest(group),
                _REQUEST_TIMEOUT_S,
            )
            if not isinstance(page, ServerPage) or page.next_group <= group:
                return False
            self._merge(page.records)
            group = page.next_group
        return True

    async def compare_with(self, host: HostName) -> None:
        """Compare records with a peer, and exchange the newer ones."""
        count = backends.group_count(
            max(len(self._table.by_server), self._server_count()),
        )
        answer = await self._context.peers.request(
            host,
            ServerDigest(self._table.digest(count)),
            _REQUEST_TIMEOUT_S,
        )
        if not isinstance(answer, ServerVersions) or not answer.groups:
            return
        compared = backends.compare_versions(
            self._table,
            answer.groups,
            count,
            answer.versions,
        )
        if compared.wanted:
            self._context.peers.send(host, ServersWanted(compared.wanted))
        self._send_records(host, compared.to_send)

    async def _answer_page(
        self,
        _sender: Sender,
        request: ServerPageRequest,
    ) -> ServerPage:
        records: list[ServerRecord] = []
        size_bytes = 0
        group = max(0, request.group)
        while group < backends.GROUP_COUNT and size_bytes < _PAGE_BYTES:
            found = self._table.group(group, backends.GROUP_COUNT).values()
            records.extend(found)
            size_bytes += sum(map(backends.record_size_bytes, found))
            group += 1
        return ServerPage(tuple(records), group)

    async def _answer_digest(
        self,
        _sender: Sender,
        digest: ServerDigest,
    ) -> ServerVersions | Failure:
        count, remainder = divmod(len(digest.hashes), backends.HASH_BYTES)
        min_count = backends.group_count(
            len(self._table.by_server) // _MAX_GROUP_SIZE_RATIO,
        )
        if (
            remainder
            or not backends.is_valid_group_count(count)
            or count < min_count
        ):
            size = len(digest.hashes)
            return Failure(
                ResultCode.PEER_REFUSED,
                f'digest has {size!r} bytes; must have 4 for each group, and '
                f'{min_count} to {backends.GROUP_COUNT} groups, a power of two',
            )
        limits = self._limits
        groups = backends.differing_groups(
            self._table.digest(count),
            digest.hashes,
            limits,
            self._context.draw,
        )
        versions = backends.pack_versions(self._table, groups, count)
        if len(groups) > limits.group_count and not self._take_catch_up_bytes(
            len(versions)
        ):
            groups = groups[: limits.group_count]
            versions = backends.pack_versions(self._table, groups, count)
        return ServerVersions(groups, versions)

    def _send_wanted(self, sender: Sender, message: ServersWanted) -> None:
        self._send_records(sender.host, self._table.find(message.keys))

    def _send_records(
        self,
        host: HostName,
        records: tuple[ServerRecord, ...],
    ) -> None:
        limits = self._limits
        size_bytes = limits.group_count * limits.size_bytes
        needed_bytes = sum(map(backends.record_size_bytes, records))
        catch_up_bytes = min(
            needed_bytes, limits.catch_up_group_count * limits.size_bytes
        )
        if needed_bytes > size_bytes and self._take_catch_up_bytes(
            catch_up_bytes
        ):
            size_bytes = catch_up_bytes
        chosen = backends.limit_total_size(records, size_bytes)
        if chosen:
            message = ServerAnnouncement(chosen, is_repair=True)
            self._context.peers.send(host, message)

    def _take_catch_up_bytes(self, size_bytes: int) -> bool:
        """Take bytes from the rate limiter; False if too few are left."""
        return self._rate_limiter.take(size_bytes, self._context.timers.now_s())
