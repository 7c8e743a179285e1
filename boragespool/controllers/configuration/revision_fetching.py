"""Gathers the parts of a revision from peers and from the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.controllers.configuration.part_reading import read_parts
from boragespool.messages import PartsReply, PartsRequest
from boragespool.results import Failure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from boragespool.controllers.configuration.configuration_store import (
        ValueSource,
    )
    from boragespool.controllers.configuration.local_revision import (
        LocalRevision,
    )
    from boragespool.controllers.context import Context
    from boragespool.revisions import Manifest, PartHash
    from boragespool.types import HostName, Seconds

    PartSource = Callable[[tuple[PartHash, ...]], Awaitable[Iterable[bytes]]]

#: Parts in one request; their hashes have 17 KB.
_PARTS_PER_REQUEST: Final = 500


@dataclass(frozen=True, slots=True)
class RevisionFetcher:
    """Sources of parts.

    Attributes
    ----------
    timeout_s : float
        Longest wait for a peer, in seconds.
    """

    context: Context
    store: ValueSource
    local_revision: LocalRevision
    timeout_s: Seconds

    def peer_source(self, host: HostName) -> PartSource:
        """Return the source that asks a peer."""

        async def request_parts(parts: tuple[PartHash, ...]) -> Iterable[bytes]:
            reply = await self.context.peers.request(
                host,
                PartsRequest(parts[:_PARTS_PER_REQUEST]),
                self.timeout_s,
            )
            return reply.texts if isinstance(reply, PartsReply) else ()

        return request_parts

    async def read_from_store(
        self, parts: tuple[PartHash, ...]
    ) -> Iterable[bytes]:
        """Read from the store."""
        found, _ = await read_parts(self.store, parts, self.context.timers)
        return found.values()

    async def fetch_parts(
        self,
        manifest: Manifest,
        sources: Iterable[PartSource],
    ) -> Failure | bool:
        """Fetch what a manifest lacks, from one source after the other.

        Parameters
        ----------
        manifest : Manifest
            Revision to complete.
        sources : iterable of callable
            Each is asked until it brings nothing new.

        Returns
        -------
        Failure or bool
            Whether nothing is lacking any more; a failure if an index is
            invalid. What was fetched is kept for the next attempt.
        """
        self.local_revision.set_target(manifest)
        for source in sources:
            made_progress = True
            while made_progress:
                made_progress = await self._fetch_once(manifest, source)
        lacked = self.local_revision.parts_to_fetch(manifest)
        return lacked if isinstance(lacked, Failure) else not lacked

    async def _fetch_once(self, manifest: Manifest, source: PartSource) -> bool:
        """Tell whether a source brought something and may bring more."""
        if manifest.revision <= self.local_revision.revision:
            return False
        lacked = self.local_revision.parts_to_fetch(manifest)
        if isinstance(lacked, Failure) or not lacked:
            return False
        return self.local_revision.add(lacked, await source(lacked))
