"""Cost of one configuration change, stored in parts or as one document.

Runs the real encoding, apply and fetch code against a store in memory.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

import msgspec

from boragespool.controllers.configuration.applying import (
    AppliedChange,
    apply_change,
)
from boragespool.controllers.configuration.local_revision import LocalRevision
from boragespool.messages import PartsRequest, RevisionReply, RevisionRequest
from boragespool.results import Failure
from boragespool.revisions import (
    CURRENT_KEY,
    AuditEntry,
    Change,
    History,
    Manifest,
    RetiredPart,
    RevisionDocument,
    decode_document,
    decode_revision,
    encode_revision,
    next_document,
    part_key,
)
from boragespool.revisions.manifest import ReplacedPart
from boragespool.store import Conflict, Missing, StoredValue

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragespool.settings import Settings

#: Revisions in the audit trail and in the list of replaced parts.
_HISTORY_LENGTH: Final = 100
_APPLY_TIMEOUT_S: Final = 60
#: 54,000 changes a day.
_CHANGES_PER_S: Final = 54_000 / 86_400


@dataclass(frozen=True, slots=True)
class ChangeCost:
    """Cost of one change in one storage form.

    Attributes
    ----------
    form : str
        ``parts`` or ``whole``.
    written_bytes : int
        Size of the values that the operator's command writes.
    fetched_bytes : int
        Size of the requests and replies with which a daemon that does not
        watch the store fetches the change from a peer.
    watched_bytes : int
        Size of the values that a daemon that watches the store reads.
    largest_bytes : int
        Size of the largest value in the store.
    adoption_ms : float
        Processor time to decode, validate and join the parts, in
        milliseconds.
    reads, writes : int
        Number of store calls of the operator's command.
    """

    form: str
    written_bytes: int
    fetched_bytes: int
    watched_bytes: int
    largest_bytes: int
    adoption_ms: float
    reads: int
    writes: int


class CountingStore:
    """Key-value store in memory that counts its calls.

    Attributes
    ----------
    values_by_key : dict of str to StoredValue
        All stored values.
    calls : Counter of str
        Number of calls: ``get`` and ``put``.
    written_bytes : int
        Total length of the values written.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.values_by_key: dict[str, StoredValue] = {}
        self.calls: Counter[str] = Counter()
        self.written_bytes = 0

    async def get(self, key: str) -> StoredValue | Missing | Failure:
        """Return the value of a key."""
        self.calls['get'] += 1
        return self.values_by_key.get(key) or Missing(key)

    async def put(
        self,
        key: str,
        value: str,
        expected_version: int,
    ) -> int | Conflict | Failure:
        """Write a key if its version is the expected one, and count it."""
        self.calls['put'] += 1
        held = self.values_by_key.get(key)
        version = held.version if held else 0
        if version != expected_version:
            return Conflict(key, version)
        self.values_by_key[key] = StoredValue(key, value, version + 1)
        self.written_bytes += len(value)
        return version + 1


def change_costs(before: Settings, after: Settings) -> tuple[ChangeCost, ...]:
    """Measure one change in both storage forms.

    Parameters
    ----------
    before, after : Settings
        Valid settings before and after the change.

    Returns
    -------
    tuple of ChangeCost
        Cost in parts, with a full audit trail and a full list of replaced
        parts, and cost as one document.
    """
    trail = tuple(_audit_entries())
    base = RevisionDocument(len(trail), 'base', before, trail)
    return _cost_in_parts(base, after), _cost_as_document(base, after)


def describe_first_adoption(settings: Settings) -> str:
    """Measure and describe the first adoption of a whole configuration."""
    held = LocalRevision()
    packed = encode_revision(RevisionDocument(1, 'first', settings))
    assert not isinstance(packed, Failure)
    held.set_target(packed.manifest)
    _add_missing_parts(held, packed.manifest, packed.parts)
    started_s = time.process_time()
    adopted = held.adopt(packed.manifest, packed.encoded)
    assert isinstance(adopted, RevisionDocument), adopted
    adoption_ms = (time.process_time() - started_s) * 1e3
    indexes = len(packed.manifest.indexes)
    return (
        f'{len(packed.parts)} values, {indexes} of them indexes; all decoded '
        f'and valid after {adoption_ms:.0f} ms'
    )


def _audit_entries() -> Iterator[AuditEntry]:
    for revision in range(1, 2 * _HISTORY_LENGTH + 1):
        yield AuditEntry(
            1.8e9 + revision,
            'operator',
            'apply',
            revision,
            revision - 1,
            f'{revision:032x}',
            'more slots for lot-finder',
        )


def _cost_in_parts(base: RevisionDocument, after: Settings) -> ChangeCost:
    store = CountingStore()
    base = replace(base, audit=base.audit[-_HISTORY_LENGTH:])
    # Each change replaces three values: a part, an index and the history.
    replaced = tuple(
        ReplacedPart(f'{revision:030x}{part:02x}', revision)
        for revision in range(base.revision - _HISTORY_LENGTH, base.revision)
        for part in range(3)
    )
    retired = tuple(RetiredPart(f'{part:032x}', 1) for part in range(3))
    kept_from = base.revision - _HISTORY_LENGTH
    packed = encode_revision(
        base, History((), replaced, retired, (1,), kept_from)
    )
    assert not isinstance(packed, Failure)
    texts = dict(packed.parts)
    texts.update((entry.part, b'{}') for entry in replaced)
    texts.update((entry.part, b'{}') for entry in retired)
    for part, text in texts.items():
        key = part_key(part)
        store.values_by_key[key] = StoredValue(key, text.decode(), 1)
    store.values_by_key[CURRENT_KEY] = StoredValue(
        CURRENT_KEY,
        packed.encoded.decode(),
        1,
    )
    held = LocalRevision()
    _add_missing_parts(held, packed.manifest, packed.parts)
    held.adopt(packed.manifest, packed.encoded)
    applied = asyncio.run(_apply(store, after))
    assert isinstance(applied, AppliedChange), applied
    encoded = store.values_by_key[CURRENT_KEY].value.encode()
    texts = {
        key.rpartition('/')[2]: stored.value.encode()
        for key, stored in store.values_by_key.items()
        if key != CURRENT_KEY
    }
    manifest = decode_revision(encoded)
    assert isinstance(manifest, Manifest)
    peer = LocalRevision()
    _add_missing_parts(peer, manifest, texts)
    peer.adopt(manifest, encoded)
    fetched_bytes, part_bytes, adoption_ms = _fetch(held, peer)
    return ChangeCost(
        'parts',
        store.written_bytes,
        fetched_bytes,
        len(encoded) + part_bytes,
        max(len(stored.value) for stored in store.values_by_key.values()),
        adoption_ms,
        store.calls['get'],
        store.calls['put'],
    )


async def _apply(store: CountingStore, after: Settings) -> object:
    change = Change('change', 'apply', 'operator', 1.9e9, 'one service')
    return await apply_change(
        store,
        lambda base: next_document(after, base, change),
        _APPLY_TIMEOUT_S,
        settings=after,
    )


def _fetch(held: LocalRevision, peer: LocalRevision) -> tuple[int, int, float]:
    """Fetch a revision from a peer as a daemon does.

    Returns
    -------
    tuple of int, int and float
        Bytes of all messages, bytes of the parts in them, and processor time
        in milliseconds.
    """
    request = RevisionRequest(held.revision, takes_manifest=True)
    reply = peer.answer(request)
    size_bytes = _encoded_size_bytes(request) + _encoded_size_bytes(reply)
    part_bytes = 0
    started_s = time.process_time()
    manifest = decode_revision(reply.manifest)
    assert isinstance(manifest, Manifest)
    while missing := held.parts_to_fetch(manifest):
        assert not isinstance(missing, Failure)
        parts = PartsRequest(missing)
        texts = peer.answer_parts(parts)
        size_bytes += _encoded_size_bytes(parts) + _encoded_size_bytes(texts)
        part_bytes += sum(map(len, texts.texts))
        held.add(missing, texts.texts)
    adopted = held.adopt(manifest, reply.manifest)
    assert isinstance(adopted, RevisionDocument), adopted
    adoption_ms = (time.process_time() - started_s) * 1e3
    return size_bytes, part_bytes, adoption_ms


def _add_missing_parts(
    held: LocalRevision,
    manifest: Manifest,
    texts: dict[str, bytes],
) -> None:
    while missing := held.parts_to_fetch(manifest):
        assert not isinstance(missing, Failure)
        held.add(missing, [texts[part] for part in missing])


def _cost_as_document(base: RevisionDocument, after: Settings) -> ChangeCost:
    """Return the cost of the older form, one document for all settings.

    The size limit of store values is not applied.
    """
    base = replace(base, audit=base.audit[-_HISTORY_LENGTH:])
    change = Change('change', 'apply', 'operator', 1.9e9, 'one service')
    encoded = msgspec.json.encode(next_document(after, base, change))
    started_s = time.process_time()
    assert not isinstance(decode_document(encoded), Failure)
    adoption_ms = (time.process_time() - started_s) * 1e3
    fetched_bytes = _encoded_size_bytes(
        RevisionReply(base.revision + 1, encoded)
    )
    return ChangeCost(
        'whole',
        len(encoded) + len(msgspec.json.encode(base)),
        fetched_bytes + _encoded_size_bytes(RevisionRequest(base.revision)),
        len(encoded),
        len(encoded),
        adoption_ms,
        reads=1,
        writes=2,
    )


def _encoded_size_bytes(message: object) -> int:
    return len(msgspec.msgpack.encode(message))


def format_cost(cost: ChangeCost) -> str:
    """Format a cost as one line; rates assume 54,000 changes a day."""
    fetched_kb = cost.fetched_bytes * _CHANGES_PER_S / 1e3
    watched_kb = cost.watched_bytes * _CHANGES_PER_S / 1e3
    return (
        f'{cost.form:5}: {cost.written_bytes:10,} bytes written in '
        f'{cost.writes} writes and {cost.reads} reads, '
        f'{cost.fetched_bytes:9,} bytes fetched ({fetched_kb:.2f} KB/s), '
        f'{cost.watched_bytes:9,} by a watcher ({watched_kb:.2f} KB/s), '
        f'largest value {cost.largest_bytes:9,} bytes, '
        f'{cost.adoption_ms:.1f} ms of processor time'
    )
