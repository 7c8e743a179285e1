"""The value under `CURRENT_KEY`: what a revision consists of."""

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

#: Parts that one index names. The manifest names indexes only, because the
#: names of all parts have 140 KB at 67,000 backend servers.
INDEX_LIMIT: Final = 64

#: Entries of the audit trail that the manifest itself holds; earlier ones
#: are in the history, which daemons do not read.
RECENT_ENTRIES: Final = 8


IndexedTexts: TypeAlias = tuple[dict[str, PartHash], dict[PartHash, bytes]]


#: Decoded indexes that are kept; 67,000 backend servers have about 50, and
#: each revision changes one or two.
_INDEX_CACHE: Final = 256


@dataclass(frozen=True, slots=True)
class Manifest:
    """A revision without its settings.

    Attributes
    ----------
    indexes : dict
        Hashes of the indexes by bucket. An index is the JSON object of the
        hashes of its parts by name.
    audit : tuple of AuditEntry
        Newest `RECENT_ENTRIES`, newest last; empty in a manifest that a
        peer sends.
    history : str
        Hash of the `History`; empty if there is none.
    """

    revision: Revision
    change_id: str
    indexes: dict[str, PartHash]
    audit: tuple[AuditEntry, ...] = ()
    cleared: tuple[Clearance, ...] = ()
    history: PartHash = ''


@dataclass(frozen=True, slots=True)
class ReplacedPart:
    """A part to which revision `revision` was the last to refer."""

    part: PartHash
    revision: Revision


@dataclass(frozen=True, slots=True)
class RetiredPart:
    """A part that may be emptied while the store holds this version of it."""

    part: PartHash
    version: int


@dataclass(frozen=True, slots=True)
class History:
    """What only operators read.

    Attributes
    ----------
    audit : tuple of AuditEntry
        Entries before those of the manifest, newest last.
    replaced : tuple of Replaced
        Parts that only kept revisions refer to, oldest first.
    retired : tuple of Retired
        Parts that no kept revision refers to any more.
    dropped : tuple of int
        Revisions that this one ceases to keep.
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
    """A revision as the values to store.

    Attributes
    ----------
    encoded : bytes
        Text of the manifest.
    parts : dict
        Texts of all indexes, parts and the history by hash.
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
    """Group encoded parts under indexes.

    Parameters
    ----------
    settings_parts : mapping of str to bytes
        Result of `split`.

    Returns
    -------
    tuple
        Hashes of the indexes by bucket, and the texts of parts and indexes
        by hash.
    """
    hash_by_name = {
        name: part_hash(encoded) for name, encoded in settings_parts.items()
    }
    texts = {hash_by_name[name]: settings_parts[name] for name in hash_by_name}
    indexes = {}
    for bucket, names in buckets(hash_by_name, INDEX_LIMIT).items():
        encoded = _ENCODER.encode({name: hash_by_name[name] for name in names})
        indexes[bucket] = part_hash(encoded)
        texts[indexes[bucket]] = encoded
    return indexes, texts


def encode_revision(
    document: RevisionDocument,
    history: History | None = None,
    settings_texts: IndexedTexts | None = None,
) -> EncodedRevision | Failure:
    """Encode a document as a manifest with its parts.

    Parameters
    ----------
    document : RevisionDocument
        Revision to write.
    history : History, optional
        What may be removed; its audit trail is that of `document`.
    settings_texts : tuple, optional
        Result of `indexed` for the settings of the document.

    Returns
    -------
    Packed or Failure
        ``VALUE_TOO_LARGE`` if a value exceeds the limit of the store.
    """
    indexes, texts = settings_texts or build_indexes(
        split_settings(document.settings)
    )
    earlier = _ENCODER.encode(
        replace(history or History(), audit=document.audit[:-RECENT_ENTRIES]),
    )
    texts = texts | {part_hash(earlier): earlier}
    manifest = Manifest(
        document.revision,
        document.change_id,
        indexes,
        document.audit[-RECENT_ENTRIES:],
        document.cleared,
        part_hash(earlier),
    )
    encoded = _ENCODER.encode(manifest)
    largest = max(map(len, (encoded, *texts.values())))
    if largest > VALUE_LIMIT_BYTES:
        return Failure(
            ResultCode.VALUE_TOO_LARGE,
            f'a value of the revision has {largest!r} bytes; at most '
            f'{VALUE_LIMIT_BYTES!r} are allowed',
        )
    return EncodedRevision(manifest, encoded, texts)


def decode_revision(
    encoded: str | bytes,
) -> Manifest | RevisionDocument | Failure:
    """Decode a value of `CURRENT_KEY` or of a kept revision.

    Parameters
    ----------
    encoded : str or bytes
        Manifest, or the whole document that earlier releases wrote.

    Returns
    -------
    Manifest or RevisionDocument or Failure
        ``INVALID_SETTING`` for a value that is neither.
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


@functools.lru_cache(maxsize=_INDEX_CACHE)
def decode_index(encoded: bytes) -> Mapping[str, PartHash] | Failure:
    """Decode the hashes of parts by name."""
    try:
        return MappingProxyType(_INDEX_DECODER.decode(encoded))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _invalid('index', error)


def decode_history(encoded: bytes) -> History | Failure:
    """Decode the history of a revision."""
    try:
        return _HISTORY_DECODER.decode(encoded)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _invalid('history', error)


def without_audit(encoded: bytes) -> bytes:
    """Return a manifest for peers, with the keys of newer releases."""
    fields = _RAW_DECODER.decode(encoded)
    return _ENCODER.encode(
        {key: text for key, text in fields.items() if key != 'audit'},
    )


def missing_hashes(
    wanted: Iterable[PartHash],
    held: Mapping[PartHash, bytes],
) -> tuple[PartHash, ...]:
    """Return the wanted hashes that are not held, each once."""
    return tuple(dict.fromkeys(one for one in wanted if one not in held))


def _invalid(what: str, error: Exception) -> Failure:
    return Failure(
        ResultCode.INVALID_SETTING,
        f'the {what} of a revision is invalid: {error}',
    )
