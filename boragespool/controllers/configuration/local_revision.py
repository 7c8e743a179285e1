"""Revision in force at this daemon, and the parts that it holds."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final

from boragespool.messages import PartsReply, RevisionReply
from boragespool.results import Failure
from boragespool.revisions import (
    AssembledRevision,
    Manifest,
    RevisionDocument,
    assemble,
    build_indexes,
    encode_document,
    hashes_to_fetch,
    part_hash,
    referenced_hashes,
    split_settings,
    without_audit,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.messages import PartsRequest, RevisionRequest
    from boragespool.revisions import PartHash

#: Maximum size of the texts in one reply, in bytes; a frame has room for about
#: as many.
_MAX_REPLY_BYTES: Final = 200_000

#: Maximum number of parts of earlier revisions that are kept for peers that are
#: still fetching them.
_RETAINED_PART_COUNT: Final = 128

#: Number of texts, in excess of twice those of the target revision, at which
#: unreferenced ones are dropped. Texts may be unreferenced only because the
#: index that names them has not been fetched yet.
_MAX_SURPLUS_COUNT: Final = 1_000


class LocalRevision:
    """Parts of revisions by hash, and the revision assembled from them.

    Attributes
    ----------
    document : RevisionDocument or None
        Highest complete revision; None before the first one.
    """

    def __init__(self) -> None:
        """Start without a revision."""
        self.document: RevisionDocument | None = None
        self._texts: dict[PartHash, bytes] = {}
        self._retained_texts: dict[PartHash, bytes] = {}
        self._assembly: AssembledRevision | None = None
        self._target_manifest: Manifest | None = None
        self._manifest: Manifest | None = None
        self._encoded_manifest = b''
        self._encoded_document: bytes | None = b''

    @property
    def revision(self) -> int:
        """Number of the revision in force; 0 if there is none."""
        return self.document.revision if self.document else 0

    def set_target(self, manifest: Manifest) -> None:
        """Make a manifest the target if it is newer than the current target.

        Parts that the target refers to are not dropped.
        """
        if (
            self._target_manifest is None
            or manifest.revision > self._target_manifest.revision
        ):
            self._target_manifest = manifest
            wanted = referenced_hashes(manifest, self._texts)
            # Without this, the texts of successive manifests that cannot be
            # completed would accumulate.
            if len(self._texts) > 2 * len(wanted) + _MAX_SURPLUS_COUNT:
                self._prune()

    def parts_to_fetch(
        self, manifest: Manifest
    ) -> tuple[PartHash, ...] | Failure:
        """Return the hashes to fetch next; a failure if an index is invalid.

        Parts are known only when all indexes are present. The result is empty
        if nothing is missing.
        """
        return hashes_to_fetch(manifest, self._texts)

    def add(
        self,
        missing: Iterable[PartHash],
        texts: Iterable[bytes],
    ) -> bool:
        """Add the texts whose hash is missing.

        Parameters
        ----------
        missing : iterable of str
            Hashes of the missing parts.
        texts : iterable of bytes
            Received texts; others than the missing ones are ignored.

        Returns
        -------
        bool
            Whether any text was added.
        """
        wanted = set(missing)
        texts_by_hash = {part_hash(text): text for text in texts}
        matching = {
            part: text for part, text in texts_by_hash.items() if part in wanted
        }
        self._texts.update(matching)
        return bool(matching)

    def adopt(
        self,
        value: Manifest | RevisionDocument,
        encoded: bytes,
    ) -> RevisionDocument | Failure | None:
        """Replace the revision by a higher one, if that is valid.

        Parameters
        ----------
        value : Manifest or RevisionDocument
            Manifest for which `parts_to_fetch` returns no hash, or a valid
            whole document.
        encoded : bytes
            Its text. Peers get it as received, because a newer release may
            have added keys.

        Returns
        -------
        RevisionDocument or Failure or None
            New document, a failure if its parts are invalid, or None if its
            revision is not higher than the one in force.
        """
        if value.revision <= self.revision:
            return None
        if isinstance(value, Manifest):
            return self._adopt_parts(value, encoded)
        self.document = value
        self._manifest = None
        self._assembly = None
        self._encoded_manifest = b''
        self._encoded_document = encoded
        # The next manifest probably refers to most of these parts.
        self._texts.update(build_indexes(split_settings(value.settings))[1])
        return value

    def answer(self, request: RevisionRequest) -> RevisionReply:
        """Return the reply to a peer, in a form that its release supports.

        The reply contains only the number of the revision if that is not
        higher than the peer's.
        """
        if self.document is None or self.revision <= request.have:
            return RevisionReply(self.revision)
        if request.takes_manifest and self._encoded_manifest:
            return RevisionReply(self.revision, manifest=self._encoded_manifest)
        if self._encoded_document is None:
            encoded = encode_document(self.document)
            self._encoded_document = (
                b'' if isinstance(encoded, Failure) else encoded
            )
        return RevisionReply(self.revision, self._encoded_document)

    def answer_parts(self, request: PartsRequest) -> PartsReply:
        """Return the requested parts held here, as many as fit in one reply."""
        texts: list[bytes] = []
        size_bytes = 0
        for part in request.parts:
            text = self._texts.get(part) or self._retained_texts.get(part)
            if text is None:
                continue
            size_bytes += len(text)
            if texts and size_bytes > _MAX_REPLY_BYTES:
                break
            texts.append(text)
        return PartsReply(tuple(texts))

    def _adopt_parts(
        self,
        manifest: Manifest,
        encoded: bytes,
    ) -> RevisionDocument | Failure:
        assembly = assemble(manifest, self._texts, self._assembly)
        if isinstance(assembly, Failure):
            return assembly
        self.document = assembly.document
        self._assembly = assembly
        self._encoded_manifest = without_audit(encoded)
        self._encoded_document = None
        self._manifest = manifest
        self._prune()
        return self.document

    def _prune(self) -> None:
        """Drop parts that neither this nor the target revision refers to.

        The most recent of them are kept for peers.
        """
        kept: set[PartHash] = set()
        for manifest in (self._manifest, self._target_manifest):
            if manifest is not None:
                kept |= referenced_hashes(manifest, self._texts)
        unreferenced = {
            part: text for part, text in self._texts.items() if part not in kept
        }
        for part in unreferenced:
            del self._texts[part]
        retained_texts = self._retained_texts | unreferenced
        surplus = max(0, len(retained_texts) - _RETAINED_PART_COUNT)
        self._retained_texts = dict(
            itertools.islice(retained_texts.items(), surplus, None)
        )
