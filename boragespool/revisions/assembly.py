"""Putting a revision together from its parts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from boragespool.results import Failure
from boragespool.revisions.document import RevisionDocument
from boragespool.revisions.joining import NOTHING, fragment, join
from boragespool.revisions.manifest import (
    Manifest,
    decode_index,
    missing_hashes,
)
from boragespool.revisions.parts import Part, PartHash, decode_part
from boragespool.settings import validate_change

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.settings import Settings


@dataclass(frozen=True, slots=True)
class AssembledRevision:
    """A complete revision with its decoded parts.

    Attributes
    ----------
    parts : dict
        Decoded parts of the settings by hash.
    """

    document: RevisionDocument
    parts: dict[PartHash, Part]


def hashes_to_fetch(
    manifest: Manifest,
    held: Mapping[PartHash, bytes],
) -> tuple[PartHash, ...] | Failure:
    """Return the next hashes to fetch for a manifest.

    Parameters
    ----------
    manifest : Manifest
        Revision to assemble.
    held : mapping of str to bytes
        Texts that match their hash.

    Returns
    -------
    tuple of str or Failure
        Indexes first, then the parts that they name; empty when complete.
    """
    indexes = missing_hashes(manifest.indexes.values(), held)
    if indexes:
        return indexes
    named = _named(manifest, held)
    return named if isinstance(named, Failure) else missing_hashes(named, held)


def referenced_hashes(
    manifest: Manifest,
    held: Mapping[PartHash, bytes],
) -> frozenset[PartHash]:
    """Return all hashes that a manifest refers to, as far as they are known.

    The history is left out.
    """
    named = _named(manifest, held)
    return frozenset(manifest.indexes.values()).union(
        () if isinstance(named, Failure) else named,
    )


def assemble(
    manifest: Manifest,
    held: Mapping[PartHash, bytes],
    before: AssembledRevision | None = None,
) -> AssembledRevision | Failure:
    """Join and validate the parts of a revision.

    Parameters
    ----------
    manifest : Manifest
        Revision to assemble.
    held : mapping of str to bytes
        At least the texts for which `lacking` asks.
    before : Assembly, optional
        Valid revision; only what differs from it is decoded and validated.

    Returns
    -------
    Assembly or Failure
        ``INVALID_SETTING`` for parts that do not fit together or settings
        that break a rule.
    """
    named = _named(manifest, held)
    if isinstance(named, Failure):
        return named
    known = before.parts if before else {}
    parts: dict[PartHash, Part] = {}
    for one in named:
        part = known.get(one) or decode_part(held[one])
        if isinstance(part, Failure):
            return part
        parts[one] = part
    settings = _settings(parts, before)
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


def _named(
    manifest: Manifest,
    held: Mapping[PartHash, bytes],
) -> tuple[PartHash, ...] | Failure:
    """Return the hashes of the parts of the settings."""
    named: list[PartHash] = []
    for one in manifest.indexes.values():
        index = decode_index(held.get(one, b'{}'))
        if isinstance(index, Failure):
            return index
        named.extend(index.values())
    return tuple(dict.fromkeys(named))


def _settings(
    parts: Mapping[PartHash, Part],
    before: AssembledRevision | None,
) -> Settings | Failure:
    """Join parts and validate those that `before` lacks."""
    known = before.parts if before else {}
    added = [part for one, part in parts.items() if one not in known]
    removed = [part for one, part in known.items() if one not in parts]
    joined = join(
        before.document.settings if before else NOTHING,
        removed,
        added,
    )
    if isinstance(joined, Failure):
        return joined
    failure = validate_change(
        joined,
        fragment(joined, removed),
        fragment(joined, added),
    )
    return failure or joined
