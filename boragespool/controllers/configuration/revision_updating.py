"""Takes revisions from the store and from peers and puts them in force."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import IN_FORCE, MEMBERS
from boragespool.controllers.configuration.local_revision import LocalRevision
from boragespool.controllers.configuration.revision_fetching import (
    RevisionFetcher,
)
from boragespool.events import Event, log_event
from boragespool.messages import (
    PartsReply,
    PartsRequest,
    RevisionReply,
    RevisionRequest,
)
from boragespool.results import Failure
from boragespool.revisions import (
    Manifest,
    decode_revision,
    hosts_with_newer_revision,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.controllers.configuration.configuration_options import (
        ConfigurationOptions,
    )
    from boragespool.controllers.configuration.configuration_store import (
        ValueSource,
    )
    from boragespool.controllers.configuration.revision_fetching import Source
    from boragespool.controllers.context import Context
    from boragespool.peers import Sender
    from boragespool.revisions import RevisionDocument
    from boragespool.types import HostName, Revision

#: Peers asked for parts besides the one that announced the revision.
_OTHER_PEERS: Final = 2


class RevisionKeeper:
    """The revision in force at this daemon.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    store : ValueSource
        Platform client.
    options : ConfigurationOptions
        Pace.
    """

    def __init__(
        self,
        context: Context,
        store: ValueSource,
        options: ConfigurationOptions,
    ) -> None:
        """Start without a revision."""
        self._context = context
        self._options = options
        self._held = LocalRevision()
        self._fetcher = RevisionFetcher(
            context,
            store,
            self._held,
            options.peer_timeout_s,
        )

    @property
    def revision(self) -> Revision:
        """Revision in force; 0 for none."""
        return self._held.revision

    def register(self) -> None:
        """Serve peers."""
        self._context.peers.on_request(RevisionRequest, self._serve)
        self._context.peers.on_request(PartsRequest, self._serve_parts)

    async def fetch_from(self, host: HostName) -> bool:
        """Tell whether a revision of a peer was put in force."""
        before = self._held.revision
        reply = await self._context.peers.request(
            host,
            RevisionRequest(before, takes_manifest=True),
            self._options.peer_timeout_s,
        )
        if not isinstance(reply, RevisionReply):
            return False
        encoded = reply.manifest or reply.document
        if encoded:
            # A peer can lack parts that it has replaced meanwhile.
            others = self._holders(before)
            sources = [self._fetcher.peer(one) for one in (host, *others)]
            await self._consider(encoded, f'peer {host!r}', sources)
        return self._held.revision > before

    async def read_value(self, encoded: bytes) -> bool:
        """Tell whether nothing is left to read of a value of the store."""
        sources: list[Source] = []
        if self.lacks_many(encoded):
            sources.extend(map(self._fetcher.peer, self._holders(0)))
        sources.append(self._fetcher.read)
        return await self._consider(encoded, 'the store', sources)

    def lacks_many(self, encoded: bytes) -> bool:
        """Tell whether a value has more parts to read than a usual change."""
        value = decode_revision(encoded)
        if not isinstance(value, Manifest):
            return False
        if self.revision == 0:
            return True
        lacked = self._held.parts_to_fetch(value)
        if isinstance(lacked, Failure):
            return False
        return len(lacked) > self._options.parts_read

    def _holders(self, have: Revision) -> list[HostName]:
        """Draw peers whose revision is higher than one."""
        hosts = list(
            hosts_with_newer_revision(self._context.board.read(MEMBERS), have)
        )
        own_host = self._context.identity.host
        hosts = [host for host in hosts if host != own_host]
        hosts = hosts[: self._options.holders_asked]
        chosen: list[HostName] = []
        while hosts and len(chosen) < _OTHER_PEERS:
            index = int(self._context.draw() * len(hosts))
            chosen.append(hosts.pop(index))
        return chosen

    async def _consider(
        self,
        encoded: bytes,
        origin: str,
        sources: Iterable[Source],
    ) -> bool:
        """Put a received value in force if it is valid, newer and complete.

        Only False calls for another attempt with the same value.
        """
        value = decode_revision(encoded)
        if isinstance(value, Failure):
            self._reject(value, origin)
            return True
        if value.revision <= self._held.revision:
            return True
        if isinstance(value, Manifest):
            is_complete = await self._fetcher.gather(value, sources)
            if isinstance(is_complete, Failure):
                self._reject(is_complete, origin)
                return True
            if not is_complete:
                return value.revision <= self._held.revision
        adopted = self._held.adopt(value, encoded)
        if isinstance(adopted, Failure):
            self._reject(adopted, origin)
        elif adopted is not None:
            self._put_in_force(adopted, origin)
        return True

    def _reject(self, failure: Failure, origin: str) -> None:
        revision = self._held.revision
        log_event(
            Event.REVISION_REJECTED,
            f'a revision from {origin} is invalid; revision '
            f'{revision!r} stays in force: {failure.reason}',
            level=logging.ERROR,
            code=int(failure.code),
        )

    def _put_in_force(self, document: RevisionDocument, origin: str) -> None:
        self._context.board.post(IN_FORCE, document)
        log_event(
            Event.REVISION_IN_FORCE,
            f'revision {document.revision!r} from {origin} is in force',
            revision=document.revision,
            change_id=document.change_id,
        )

    async def _serve(
        self, _: Sender, request: RevisionRequest
    ) -> RevisionReply:
        return self._held.answer(request)

    async def _serve_parts(
        self, _: Sender, request: PartsRequest
    ) -> PartsReply:
        return self._held.answer_parts(request)
