"""Reads revisions and their history from the store.

Used by the commands of the operator.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import TYPE_CHECKING, Final, Protocol

from boragespool.controllers.configuration.part_reading import read_parts
from boragespool.results import Failure, ResultCode
from boragespool.revisions import (
    CURRENT_KEY,
    History,
    Manifest,
    PartHash,
    RevisionDocument,
    assemble,
    decode_history,
    decode_revision,
    hashes_to_fetch,
    missing_hashes,
    referenced_hashes,
    revision_key,
)
from boragespool.settings import Settings
from boragespool.store import Missing
from boragespool.timers import LoopTimers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.store import Conflict, StoredValue
    from boragespool.types import Revision

_NO_TEXTS: Final[Mapping[PartHash, bytes]] = MappingProxyType({})


class Store(Protocol):
    """Methods of the store client that the commands call."""

    async def get(self, key: str) -> StoredValue | Missing | Failure:
        """Return the value of a key."""
        ...

    async def put(
        self,
        key: str,
        value: str,
        expected_version: int,
    ) -> int | Conflict | Failure:
        """Write a key if its version is the expected one."""
        ...


@dataclass(frozen=True, slots=True)
class StoredBase:
    """Current revision in the store, as the base of a change.

    Attributes
    ----------
    document : RevisionDocument or None
        None before the first revision.
    version : int
        Version of the key, for compare-and-swap; 0 before the first revision
        and for a replaced revision.
    text : str
        Value as stored; empty before the first revision.
    parts : frozenset of str
        Hashes of the parts that the revision refers to, with its indexes and
        history; empty for a whole document.
    history : History
        Audit trail, and the parts and revisions that are to be removed.
    """

    document: RevisionDocument | None = None
    version: int = 0
    text: str = ''
    parts: frozenset[PartHash] = frozenset()
    history: History = History()


async def read_base(
    store: Store,
    known: Mapping[PartHash, bytes] = _NO_TEXTS,
) -> StoredBase | Failure:
    """Read the current revision.

    Parameters
    ----------
    store : Store
        Client of the platform's store.
    known : mapping of str to bytes, optional
        Texts by hash of parts that need not be read.

    Returns
    -------
    StoredBase or Failure
        ``STORE_UNAVAILABLE``, ``INVALID_SETTING`` for a value that this
        release cannot read, or ``REVISION_UNKNOWN`` if parts are missing.
    """
    answer = await store.get(CURRENT_KEY)
    if isinstance(answer, Failure):
        return answer
    if isinstance(answer, Missing):
        return StoredBase()
    base = await _decode_base(store, answer.value, known)
    if isinstance(base, Failure):
        return base
    return replace(base, version=answer.version)


async def read_audit_trail(store: Store) -> RevisionDocument | Failure | None:
    """Read the current revision with its audit trail but without settings.

    Returns
    -------
    RevisionDocument or Failure or None
        Document with default settings and the whole audit trail; None if the
        store holds no revision. A value that is not split into parts is
        returned with its settings.
    """
    answer = await store.get(CURRENT_KEY)
    if isinstance(answer, Failure):
        return answer
    if isinstance(answer, Missing):
        return None
    value = decode_revision(answer.value)
    if not isinstance(value, Manifest):
        return value
    history_manifest = Manifest(
        value.revision, value.change_id, {}, history=value.history
    )
    texts = await _read_missing_parts(store, history_manifest, _NO_TEXTS)
    if isinstance(texts, Failure):
        return texts
    history = _manifest_history(history_manifest, texts)
    if isinstance(history, Failure):
        return history
    return RevisionDocument(
        value.revision,
        value.change_id,
        Settings(),
        history.audit + value.audit,
        value.cleared,
    )


async def read_current(store: Store) -> RevisionDocument | Failure:
    """Return the current revision, or a failure if there is none yet."""
    base = await read_base(store)
    if isinstance(base, Failure):
        return base
    return base.document or no_revision_failure()


def no_revision_failure() -> Failure:
    """Return the failure for a store without a revision."""
    return Failure(
        ResultCode.REVISION_UNKNOWN,
        'the store holds no revision yet; put one in force with '
        "'boragespool apply FOLDER'",
    )


async def read_revision(
    store: Store,
    revision: Revision,
) -> RevisionDocument | Failure:
    """Return a replaced revision, or a failure if it is not kept."""
    answer = await store.get(revision_key(revision))
    if isinstance(answer, Failure):
        return answer
    # The value of a revision that is no longer kept is empty.
    if isinstance(answer, Missing) or not answer.value:
        return Failure(
            ResultCode.REVISION_UNKNOWN,
            f'the store holds no replaced revision {revision!r}; allowed are '
            "the replaced revisions that 'boragespool audit' lists",
        )
    base = await _decode_base(store, answer.value, _NO_TEXTS)
    if isinstance(base, Failure):
        return base
    return base.document or no_revision_failure()


async def _decode_base(
    store: Store,
    text: str,
    known: Mapping[PartHash, bytes],
) -> StoredBase | Failure:
    """Decode a stored revision and read its parts."""
    manifest = decode_revision(text)
    if isinstance(manifest, Failure):
        return manifest
    if isinstance(manifest, RevisionDocument):
        # Earlier releases kept every revision as a whole document, and these
        # are not removed.
        history = History(kept_from=manifest.revision)
        return StoredBase(manifest, text=text, history=history)
    texts = await _read_missing_parts(store, manifest, known)
    if isinstance(texts, Failure):
        return texts
    assembly = assemble(manifest, texts)
    if isinstance(assembly, Failure):
        return assembly
    stored_history = _manifest_history(manifest, texts)
    if isinstance(stored_history, Failure):
        return stored_history
    document = replace(
        assembly.document,
        audit=stored_history.audit + manifest.audit,
    )
    parts = referenced_hashes(manifest, texts) | {manifest.history}
    return StoredBase(document, text=text, parts=parts, history=stored_history)


async def _read_missing_parts(
    store: Store,
    manifest: Manifest,
    known: Mapping[PartHash, bytes],
) -> dict[PartHash, bytes] | Failure:
    """Return the known texts and all others that a manifest refers to."""
    texts = dict(known)
    while True:
        fetchable = hashes_to_fetch(manifest, texts)
        if isinstance(fetchable, Failure):
            return fetchable
        missing = fetchable + missing_hashes([manifest.history], texts)
        if not missing:
            return texts
        found, failure = await read_parts(store, missing, LoopTimers())
        if failure is not None:
            return failure
        if missing_hashes(missing, found):
            return Failure(
                ResultCode.REVISION_UNKNOWN,
                f'the store lacks parts of revision {manifest.revision!r}; '
                'it may have been replaced in the meantime',
            )
        texts.update(found)


def _manifest_history(
    manifest: Manifest,
    texts: Mapping[PartHash, bytes],
) -> History | Failure:
    return decode_history(texts[manifest.history])
