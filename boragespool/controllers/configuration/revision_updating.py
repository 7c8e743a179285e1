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
    from boragespool.controllers.configuration.revision_fetching import (
        PartSource,
    )
    from boragespool.controllers.context import Context
    from boragespool.peers import Sender
    from boragespool.revisions import RevisionDocument
    from boragespool.types import HostName, Revision

#: Peers asked for parts besides the one that announced the revision.
_ADDITIONAL_PEER_COUNT: Final = 2


class RevisionUpdater:
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
        self._local_revision = LocalRevision()
        self._fetcher = RevisionFetcher(
            context,
            store,
            self._local_revision,
            options.peer_timeout_s,
        )

    @property
    def revision(self) -> Revision:
        """Revision in force; 0 for none."""
        return self._local_revision.revision

    def register(self) -> None:
        """Serve peers."""
        self._context.peers.on_request(
            RevisionRequest, self._handle_revision_request
        )
        self._context.peers.on_request(PartsRequest, self._handle_parts_request)

    async def fetch_from_peer(self, host: HostName) -> bool:
        """Tell whether a revision of a peer was put in force."""
        before = self._local_revision.revision
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
            others = self._choose_newer_peers(before)
            sources = [
                self._fetcher.peer_source(one) for one in (host, *others)
            ]
            await self._apply_encoded(encoded, f'peer {host!r}', sources)
        return self._local_revision.revision > before

    async def apply_stored_value(self, encoded: bytes) -> bool:
        """Tell whether nothing is left to read of a value of the store."""
        sources: list[PartSource] = []
        if self.needs_many_parts(encoded):
            sources.extend(
                map(self._fetcher.peer_source, self._choose_newer_peers(0))
            )
        sources.append(self._fetcher.read_from_store)
        return await self._apply_encoded(encoded, 'the store', sources)

    def needs_many_parts(self, encoded: bytes) -> bool:
        """Tell whether a value has more parts to read than a usual change."""
        value = decode_revision(encoded)
        if not isinstance(value, Manifest):
            return False
        if self.revision == 0:
            return True
        lacked = self._local_revision.parts_to_fetch(value)
        if isinstance(lacked, Failure):
            return False
        return len(lacked) > self._options.max_store_part_count

    def _choose_newer_peers(self, have: Revision) -> list[HostName]:
        """Draw peers whose revision is higher than one."""
        hosts = list(
            hosts_with_newer_revision(self._context.board.read(MEMBERS), have)
        )
        own_host = self._context.identity.host
        hosts = [host for host in hosts if host != own_host]
        hosts = hosts[: self._options.fetch_candidate_count]
        chosen: list[HostName] = []
        while hosts and len(chosen) < _ADDITIONAL_PEER_COUNT:
            index = int(self._context.draw() * len(hosts))
            chosen.append(hosts.pop(index))
        return chosen

    async def _apply_encoded(
        self,
        encoded: bytes,
        origin: str,
        sources: Iterable[PartSource],
    ) -> bool:
        """Put a received value in force if it is valid, newer and complete.

        Only False calls for another attempt with the same value.
        """
        value = decode_revision(encoded)
        if isinstance(value, Failure):
            self._reject(value, origin)
            return True
        if value.revision <= self._local_revision.revision:
            return True
        if isinstance(value, Manifest):
            is_complete = await self._fetcher.fetch_parts(value, sources)
            if isinstance(is_complete, Failure):
                self._reject(is_complete, origin)
                return True
            if not is_complete:
                return value.revision <= self._local_revision.revision
        adopted = self._local_revision.adopt(value, encoded)
        if isinstance(adopted, Failure):
            self._reject(adopted, origin)
        elif adopted is not None:
            self._put_in_force(adopted, origin)
        return True

    def _reject(self, failure: Failure, origin: str) -> None:
        revision = self._local_revision.revision
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

    async def _handle_revision_request(
        self, _: Sender, request: RevisionRequest
    ) -> RevisionReply:
        return self._local_revision.answer(request)

    async def _handle_parts_request(
        self, _: Sender, request: PartsRequest
    ) -> PartsReply:
        return self._local_revision.answer_parts(request)
