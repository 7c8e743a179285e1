"""Fetches the parts of a revision from peers and from the store."""

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

#: Maximum number of parts in one request to a peer; their hashes have 17 KB.
_PARTS_PER_REQUEST: Final = 500


@dataclass(frozen=True, slots=True)
class RevisionFetcher:
    """Fetches missing parts of a revision from several sources.

    Attributes
    ----------
    context : Context
        Timers and peers of the daemon.
    store : ValueSource
        Client of the platform's store.
    local_revision : LocalRevision
        Parts that this daemon has; fetched ones are added.
    timeout_s : float
        Timeout of a request to a peer, in seconds.
    """

    context: Context
    store: ValueSource
    local_revision: LocalRevision
    timeout_s: Seconds

    def peer_source(self, host: HostName) -> PartSource:
        """Return a source that requests parts from a peer."""

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
        """Read parts from the store; usable as a source of `fetch_parts`."""
        found, _ = await read_parts(self.store, parts, self.context.timers)
        return found.values()

    async def fetch_parts(
        self,
        manifest: Manifest,
        sources: Iterable[PartSource],
    ) -> Failure | bool:
        """Fetch the missing parts of a manifest from sources in order.

        Parameters
        ----------
        manifest : Manifest
            Revision to complete.
        sources : iterable of callable
            Each is called until it returns no part that is missing.

        Returns
        -------
        Failure or bool
            Whether all parts are present, or a failure if an index is
            invalid. Fetched parts are kept for the next attempt.
        """
        self.local_revision.set_target(manifest)
        for source in sources:
            made_progress = True
            while made_progress:
                made_progress = await self._fetch_once(manifest, source)
        missing = self.local_revision.parts_to_fetch(manifest)
        return missing if isinstance(missing, Failure) else not missing

    async def _fetch_once(self, manifest: Manifest, source: PartSource) -> bool:
        """Request the missing parts once; return whether any was received."""
        if manifest.revision <= self.local_revision.revision:
            return False
        missing = self.local_revision.parts_to_fetch(manifest)
        if isinstance(missing, Failure) or not missing:
            return False
        return self.local_revision.add(missing, await source(missing))
