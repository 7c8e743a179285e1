"""Manifests, which list the indexes and parts that a revision consists of.

The store holds the manifest of the current revision under `CURRENT_KEY`.
Indexes, parts of the settings and the history are separate values, stored
under the hash of their text.
"""

from __future__ import annotations

import functools
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import TYPE_CHECKING, Final, TypeAlias

import msgspec

from boragespool.results import Failure, ResultCode
from boragespool.revisions.buckets import buckets
from boragespool.revisions.document import (
    AuditEntry,
    Clearance,
    RevisionDocument,
)
from boragespool.revisions.encoding import VALUE_LIMIT_BYTES, decode_document
from boragespool.revisions.parts import PartHash, part_hash, split_settings
from boragespool.types import Revision

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

#: Maximum number of parts in an index. The manifest lists only the indexes,
#: because the names of all parts take 140 KB with 67,000 backend servers.
PARTS_PER_INDEX: Final = 64

#: Audit entries in the manifest. Earlier ones are in the history, which
#: daemons do not read.
RECENT_AUDIT_ENTRY_COUNT: Final = 8

#: Hashes of the indexes by bucket; texts of indexes and parts by hash.
IndexedTexts: TypeAlias = tuple[dict[str, PartHash], dict[PartHash, bytes]]

#: Number of decoded indexes to cache. A configuration of 67,000 backend
#: servers has about 50, and each revision changes one or two of them.
_CACHED_INDEX_COUNT: Final = 256


@dataclass(frozen=True, slots=True)
class Manifest:
    """A revision with references to its settings and its history.

    Attributes
    ----------
    indexes : dict
        Hash of each index by its bucket. An index is a JSON object with the
        hashes of some parts by part name.
    audit : tuple of AuditEntry
        The latest `RECENT_AUDIT_ENTRY_COUNT` entries, newest last; empty in a
        manifest that a peer sent.
    cleared : tuple of Clearance
        Latest cleared fingerprints, newest last.
    history : str
        Hash of the encoded `History`; empty if there is none.
    """

    revision: Revision
    change_id: str
    indexes: dict[str, PartHash]
    audit: tuple[AuditEntry, ...] = ()
    cleared: tuple[Clearance, ...] = ()
    history: PartHash = ''


@dataclass(frozen=True, slots=True)
class ReplacedPart:
    """A part, index or history and the last revision that refers to it."""

    part: PartHash
    revision: Revision


@dataclass(frozen=True, slots=True)
class RetiredPart:
    """A value that may be emptied if the store still holds this version."""

    part: PartHash
    version: int


@dataclass(frozen=True, slots=True)
class History:
    """Audit trail and retention state, read by operators' commands only.

    The parts listed here include indexes and histories.

    Attributes
    ----------
    audit : tuple of AuditEntry
        Entries older than those in the manifest, newest last.
    replaced : tuple of ReplacedPart
        Parts that only replaced revisions refer to, oldest first.
    retired : tuple of RetiredPart
        Parts that no kept revision refers to, which the next writer empties.
    dropped : tuple of int
        Revisions that the previous revision kept and this one does not.
    kept_from : int
        Lowest revision that can be rolled back to.
    """

    audit: tuple[AuditEntry, ...] = ()
    replaced: tuple[ReplacedPart, ...] = ()
    retired: tuple[RetiredPart, ...] = ()
    dropped: tuple[Revision, ...] = ()
    kept_from: Revision = 1


@dataclass(frozen=True, slots=True)
class EncodedRevision:
    """A revision encoded as values for the store.

    Attributes
    ----------
    encoded : bytes
        JSON of the manifest.
    parts : dict
        JSON of all indexes, parts and the history, by hash.
    """

    manifest: Manifest
    encoded: bytes
    parts: dict[PartHash, bytes]


_ENCODER: Final = msgspec.json.Encoder()
_MANIFEST_DECODER: Final = msgspec.json.Decoder(Manifest)
_HISTORY_DECODER: Final = msgspec.json.Decoder(History)
_INDEX_DECODER: Final = msgspec.json.Decoder(dict[str, PartHash])
_RAW_DECODER: Final = msgspec.json.Decoder(dict[str, msgspec.Raw])


def build_indexes(
    settings_parts: Mapping[str, bytes],
) -> IndexedTexts:
    """Build the indexes of encoded parts.

    Parameters
    ----------
    settings_parts : mapping of str to bytes
        Encoded parts by name, as `split_settings` returns them.

    Returns
    -------
    tuple
        Hashes of the indexes by bucket, and the texts of parts and indexes
        by hash.
    """
    hashes_by_name = {
        name: part_hash(encoded) for name, encoded in settings_parts.items()
    }
    texts = {
        hashes_by_name[name]: settings_parts[name] for name in hashes_by_name
    }
    indexes = {}
    for bucket, names in buckets(hashes_by_name, PARTS_PER_INDEX).items():
        encoded = _ENCODER.encode(
            {name: hashes_by_name[name] for name in names}
        )
        indexes[bucket] = part_hash(encoded)
        texts[indexes[bucket]] = encoded
    return indexes, texts


def encode_revision(
    document: RevisionDocument,
    history: History | None = None,
    settings_texts: IndexedTexts | None = None,
) -> EncodedRevision | Failure:
    """Encode a document as a manifest, indexes, parts and a history.

    Parameters
    ----------
    document : RevisionDocument
        Revision to encode.
    history : History, optional
        Retention state; its audit trail is replaced by that of `document`.
    settings_texts : tuple, optional
        Result of `build_indexes` for the settings of the document, to avoid
        encoding them again.

    Returns
    -------
    EncodedRevision or Failure
        ``VALUE_TOO_LARGE`` if a value exceeds `VALUE_LIMIT_BYTES`.
    """
    indexes, texts = settings_texts or build_indexes(
        split_settings(document.settings)
    )
    encoded_history = _ENCODER.encode(
        replace(
            history or History(),
            audit=document.audit[:-RECENT_AUDIT_ENTRY_COUNT],
        ),
    )
    texts = texts | {part_hash(encoded_history): encoded_history}
    manifest = Manifest(
        document.revision,
        document.change_id,
        indexes,
        document.audit[-RECENT_AUDIT_ENTRY_COUNT:],
        document.cleared,
        part_hash(encoded_history),
    )
    encoded = _ENCODER.encode(manifest)
    largest_bytes = max(map(len, (encoded, *texts.values())))
    if largest_bytes > VALUE_LIMIT_BYTES:
        return Failure(
            ResultCode.VALUE_TOO_LARGE,
            f'a value of the revision has {largest_bytes!r} bytes; at most '
            f'{VALUE_LIMIT_BYTES!r} are allowed',
        )
    return EncodedRevision(manifest, encoded, texts)


def decode_revision(
    encoded: str | bytes,
) -> Manifest | RevisionDocument | Failure:
    """Decode a revision from the store or from a peer.

    Parameters
    ----------
    encoded : str or bytes
        JSON of a manifest, or of a whole document as earlier releases write
        it.

    Returns
    -------
    Manifest or RevisionDocument or Failure
        ``INVALID_SETTING`` if it is neither or its revision is below 1.
    """
    try:
        manifest = _MANIFEST_DECODER.decode(encoded)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return decode_document(encoded)
    if manifest.revision < 1:
        return Failure(
            ResultCode.INVALID_SETTING,
            f'revision {manifest.revision!r} is not allowed; allowed: 1 and '
            'above',
        )
    return manifest


@functools.lru_cache(maxsize=_CACHED_INDEX_COUNT)
def decode_index(encoded: bytes) -> Mapping[str, PartHash] | Failure:
    """Decode an index: the hashes of parts by name."""
    try:
        return MappingProxyType(_INDEX_DECODER.decode(encoded))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _failure('index', error)


def decode_history(encoded: bytes) -> History | Failure:
    """Decode the history of a revision."""
    try:
        return _HISTORY_DECODER.decode(encoded)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _failure('history', error)


def without_audit(encoded: bytes) -> bytes:
    """Return an encoded manifest without its audit trail, for peers.

    Keys that only newer releases know are kept.
    """
    fields = _RAW_DECODER.decode(encoded)
    return _ENCODER.encode(
        {key: text for key, text in fields.items() if key != 'audit'},
    )


def missing_hashes(
    wanted: Iterable[PartHash],
    texts_by_hash: Mapping[PartHash, bytes],
) -> tuple[PartHash, ...]:
    """Return the hashes whose text is not available, without duplicates."""
    return tuple(
        dict.fromkeys(
            text_hash for text_hash in wanted if text_hash not in texts_by_hash
        ),
    )


def _failure(what: str, error: Exception) -> Failure:
    return Failure(
        ResultCode.INVALID_SETTING,
        f'the {what} of a revision is invalid: {error}',
    )
