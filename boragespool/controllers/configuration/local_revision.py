"""The revision that this daemon has in force, and the parts that it holds."""

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

#: Texts in one reply, in bytes; a frame holds about as many.
_MAX_REPLY_BYTES: Final = 200_000

#: Parts of earlier revisions, kept for peers that are still fetching them.
_RETAINED_PART_COUNT: Final = 128

#: Texts beyond twice those of the wanted revision that are kept. Some of them
#: are parts whose index is still to be fetched.
_MAX_SURPLUS_COUNT: Final = 1_000


class LocalRevision:
    """Texts of parts by hash, and the revision that is made of them.

    Attributes
    ----------
    document : RevisionDocument or None
        Highest complete revision.
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
        """Revision of the document; 0 for none."""
        return self.document.revision if self.document else 0

    def set_target(self, manifest: Manifest) -> None:
        """Keep the parts of a manifest while it is being fetched."""
        if (
            self._target_manifest is None
            or manifest.revision > self._target_manifest.revision
        ):
            self._target_manifest = manifest
            wanted = referenced_hashes(manifest, self._texts)
            # Pieces of manifests that were never completed pile up if the
            # parts of each of them are lost.
            if len(self._texts) > 2 * len(wanted) + _MAX_SURPLUS_COUNT:
                self._prune()

    def parts_to_fetch(
        self, manifest: Manifest
    ) -> tuple[PartHash, ...] | Failure:
        """Return the hashes to fetch next; empty when it is complete."""
        return hashes_to_fetch(manifest, self._texts)

    def add(
        self,
        lacked: Iterable[PartHash],
        texts: Iterable[bytes],
    ) -> bool:
        """Keep those texts that were lacked; tell whether there were any."""
        wanted = set(lacked)
        hashed = {part_hash(text): text for text in texts}
        matching = {
            part: text for part, text in hashed.items() if part in wanted
        }
        self._texts.update(matching)
        return bool(matching)

    def adopt(
        self,
        value: Manifest | RevisionDocument,
        encoded: bytes,
    ) -> RevisionDocument | Failure | None:
        """Hold a revision as a whole if it is higher and valid.

        Parameters
        ----------
        value : Manifest or RevisionDocument
            Manifest of which `lacks` is empty, or a valid whole document.
        encoded : bytes
            Its text. It is passed on as received, because a newer release
            may have added keys.

        Returns
        -------
        RevisionDocument or Failure or None
            None if the revision is not higher than the one held.
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
        # The next manifest probably refers to most of these.
        self._texts.update(build_indexes(split_settings(value.settings))[1])
        return value

    def answer(self, request: RevisionRequest) -> RevisionReply:
        """Answer a peer in the form that it knows."""
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
        """Answer a peer with the parts that fit in one reply."""
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
        """Drop what neither this revision nor the wanted one refers to."""
        kept: set[PartHash] = set()
        for manifest in (self._manifest, self._target_manifest):
            if manifest is not None:
                kept |= referenced_hashes(manifest, self._texts)
        former = {
            part: text for part, text in self._texts.items() if part not in kept
        }
        for part in former:
            del self._texts[part]
        retained_texts = self._retained_texts | former
        surplus = max(0, len(retained_texts) - _RETAINED_PART_COUNT)
        self._retained_texts = dict(
            itertools.islice(retained_texts.items(), surplus, None)
        )
