"""Puts revisions from the store and from peers in force at this daemon.

Posts `DOCUMENT_IN_FORCE` and answers requests of peers for revisions and
their parts.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, MEMBERS
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

#: Maximum number of peers that are asked for parts, besides the one from which
#: the revision came.
_ADDITIONAL_PEER_COUNT: Final = 2


class RevisionUpdater:
    """Completes, checks and posts newer revisions.

    Parameters
    ----------
    context : Context
        Identity, blackboard, timers and peers of the daemon.
    store : ValueSource
        Client of the platform's store.
    options : ConfigurationOptions
        Timeouts and limits.
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
        """Register the handlers for requests of peers."""
        self._context.peers.on_request(
            RevisionRequest, self._handle_revision_request
        )
        self._context.peers.on_request(PartsRequest, self._handle_parts_request)

    async def fetch_from_peer(self, host: HostName) -> bool:
        """Fetch the revision of a peer; return whether it was put in force."""
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
            # The peer may have dropped parts because it has replaced the
            # revision in the meantime, so other peers are asked as well.
            others = self._choose_newer_peers(before)
            sources = [
                self._fetcher.peer_source(one) for one in (host, *others)
            ]
            await self._apply_encoded(encoded, f'peer {host!r}', sources)
        return self._local_revision.revision > before

    async def apply_stored_value(self, encoded: bytes) -> bool:
        """Apply a value of the store.

        Parameters
        ----------
        encoded : bytes
            Manifest or whole document.

        Returns
        -------
        bool
            False if parts could not be read and the same value has to be
            tried again.
        """
        sources: list[PartSource] = []
        if self.needs_many_parts(encoded):
            sources.extend(
                map(self._fetcher.peer_source, self._choose_newer_peers(0))
            )
        sources.append(self._fetcher.read_from_store)
        return await self._apply_encoded(encoded, 'the store', sources)

    def needs_many_parts(self, encoded: bytes) -> bool:
        """Whether more than `max_store_part_count` parts are missing here.

        Always true for a manifest while no revision is in force, and false
        for a whole document or an invalid value.
        """
        value = decode_revision(encoded)
        if not isinstance(value, Manifest):
            return False
        if self.revision == 0:
            return True
        missing = self._local_revision.parts_to_fetch(value)
        if isinstance(missing, Failure):
            return False
        return len(missing) > self._options.max_store_part_count

    def _choose_newer_peers(self, have: Revision) -> list[HostName]:
        """Choose random peers whose revision is higher than `have`."""
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

        Return False only if another attempt with the same value can succeed.
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
            f'rejected an invalid revision from {origin}; revision '
            f'{revision!r} stays in force: {failure.reason}',
            level=logging.ERROR,
            code=int(failure.code),
        )

    def _put_in_force(self, document: RevisionDocument, origin: str) -> None:
        self._context.board.post(DOCUMENT_IN_FORCE, document)
        log_event(
            Event.REVISION_IN_FORCE,
            f'revision {document.revision!r} from {origin} is now in force',
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
