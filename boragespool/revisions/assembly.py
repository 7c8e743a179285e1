"""Assembly of a revision from its manifest, indexes and parts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from boragespool.results import Failure
from boragespool.revisions.document import RevisionDocument
from boragespool.revisions.manifest import (
    Manifest,
    decode_index,
    missing_hashes,
)
from boragespool.revisions.part_replacement import (
    EMPTY_SETTINGS,
    replace_parts,
    subset_of_settings,
)
from boragespool.revisions.parts import Part, PartHash, decode_part
from boragespool.settings import validate_change

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.settings import Settings


@dataclass(frozen=True, slots=True)
class AssembledRevision:
    """A complete and valid revision with its decoded parts.

    Attributes
    ----------
    parts : dict
        Decoded parts of the settings by hash.
    """

    document: RevisionDocument
    parts: dict[PartHash, Part]


def hashes_to_fetch(
    manifest: Manifest,
    texts_by_hash: Mapping[PartHash, bytes],
) -> tuple[PartHash, ...] | Failure:
    """Return the hashes of the texts to fetch next for a manifest.

    Parameters
    ----------
    manifest : Manifest
        Revision to assemble.
    texts_by_hash : mapping of str to bytes
        Available texts by their verified hash.

    Returns
    -------
    tuple of str or Failure
        Hashes of missing indexes; if there are none, those of missing parts;
        empty if all texts are available. ``INVALID_SETTING`` for an index
        that cannot be decoded.
    """
    indexes = missing_hashes(manifest.indexes.values(), texts_by_hash)
    if indexes:
        return indexes
    part_hashes = _part_hashes(manifest, texts_by_hash)
    return (
        part_hashes
        if isinstance(part_hashes, Failure)
        else missing_hashes(part_hashes, texts_by_hash)
    )


def referenced_hashes(
    manifest: Manifest,
    texts_by_hash: Mapping[PartHash, bytes],
) -> frozenset[PartHash]:
    """Return the hashes of the indexes and parts of a manifest.

    Parts of indexes that are not available are omitted, and so is the history.
    If an available index cannot be decoded, all parts are omitted.

    Parameters
    ----------
    manifest : Manifest
        Revision that refers to them.
    texts_by_hash : mapping of str to bytes
        Available texts by hash.
    """
    part_hashes = _part_hashes(manifest, texts_by_hash)
    return frozenset(manifest.indexes.values()).union(
        () if isinstance(part_hashes, Failure) else part_hashes,
    )


def assemble(
    manifest: Manifest,
    texts_by_hash: Mapping[PartHash, bytes],
    previous: AssembledRevision | None = None,
) -> AssembledRevision | Failure:
    """Combine and validate the parts of a revision.

    Parameters
    ----------
    manifest : Manifest
        Revision to assemble.
    texts_by_hash : mapping of str to bytes
        Texts by hash, complete: `hashes_to_fetch` must return none.
    previous : AssembledRevision, optional
        Earlier valid revision. Only parts that are not in it are decoded, and
        only the difference is validated.

    Returns
    -------
    AssembledRevision or Failure
        ``INVALID_SETTING`` if an index or a part cannot be decoded, if parts
        do not combine into one configuration, or if its settings are invalid.
    """
    part_hashes = _part_hashes(manifest, texts_by_hash)
    if isinstance(part_hashes, Failure):
        return part_hashes
    known_parts = previous.parts if previous else {}
    parts: dict[PartHash, Part] = {}
    for part_hash in part_hashes:
        part = known_parts.get(part_hash) or decode_part(
            texts_by_hash[part_hash]
        )
        if isinstance(part, Failure):
            return part
        parts[part_hash] = part
    settings = _assemble_settings(parts, previous)
    if isinstance(settings, Failure):
        return settings
    document = RevisionDocument(
        manifest.revision,
        manifest.change_id,
        settings,
        manifest.audit,
        manifest.cleared,
    )
    return AssembledRevision(document, parts)


def _part_hashes(
    manifest: Manifest,
    texts_by_hash: Mapping[PartHash, bytes],
) -> tuple[PartHash, ...] | Failure:
    """Return the hashes of the parts that the available indexes list."""
    part_hashes: list[PartHash] = []
    for index_hash in manifest.indexes.values():
        index = decode_index(texts_by_hash.get(index_hash, b'{}'))
        if isinstance(index, Failure):
            return index
        part_hashes.extend(index.values())
    return tuple(dict.fromkeys(part_hashes))


def _assemble_settings(
    parts: Mapping[PartHash, Part],
    previous: AssembledRevision | None,
) -> Settings | Failure:
    """Apply the added and removed parts to the previous settings."""
    known_parts = previous.parts if previous else {}
    added = [
        part
        for part_hash, part in parts.items()
        if part_hash not in known_parts
    ]
    removed = [
        part
        for part_hash, part in known_parts.items()
        if part_hash not in parts
    ]
    settings = replace_parts(
        previous.document.settings if previous else EMPTY_SETTINGS,
        removed,
        added,
    )
    if isinstance(settings, Failure):
        return settings
    failure = validate_change(
        settings,
        subset_of_settings(settings, removed),
        subset_of_settings(settings, added),
    )
    return failure or settings
