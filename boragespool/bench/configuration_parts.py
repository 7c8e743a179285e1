"""One change of a configuration: in parts, and as a whole document."""

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

_KEPT: Final = 100
_PATIENCE_S: Final = 60
_CHANGES_PER_S: Final = 54_000 / 86_400


@dataclass(frozen=True, slots=True)
class ChangeCost:
    """What one change costs, in the form of its name.

    Attributes
    ----------
    written_bytes : int
        Values that the operator's command writes.
    fetched_bytes : int
        Requests and replies of one daemon that does not watch the store.
    watched_bytes : int
        Values that a watcher reads.
    largest_bytes : int
        Largest value in the store.
    adopted_ms : float
        Processor time to decode, validate and join the change.
    reads, writes : int
        Calls of the operator's command to the store.
    """

    form: str
    written_bytes: int
    fetched_bytes: int
    watched_bytes: int
    largest_bytes: int
    adopted_ms: float
    reads: int
    writes: int


class CountingStore:
    """Values in memory; counts calls and written bytes."""

    def __init__(self) -> None:
        """Start empty."""
        self.stored: dict[str, StoredValue] = {}
        self.calls: Counter[str] = Counter()
        self.written_bytes = 0

    async def get(self, key: str) -> StoredValue | Missing | Failure:
        """Read one key."""
        self.calls['get'] += 1
        return self.stored.get(key) or Missing(key)

    async def put(
        self,
        key: str,
        value: str,
        expected_version: int,
    ) -> int | Conflict | Failure:
        """Write one key if its version is the expected one."""
        self.calls['put'] += 1
        held = self.stored.get(key)
        version = held.version if held else 0
        if version != expected_version:
            return Conflict(key, version)
        self.stored[key] = StoredValue(key, value, version + 1)
        self.written_bytes += len(value)
        return version + 1


def change_costs(before: Settings, after: Settings) -> tuple[ChangeCost, ...]:
    """Measure one change in both forms.

    Parameters
    ----------
    before, after : Settings
        Valid settings.

    Returns
    -------
    tuple of ChangeCost
        In parts, with a full audit trail and list of replaced parts, and as
        a whole document.
    """
    trail = tuple(_trail())
    base = RevisionDocument(len(trail), 'base', before, trail)
    return _parts_cost(base, after), _whole_cost(base, after)


def first_adoption(settings: Settings) -> str:
    """Describe decoding and validating all parts."""
    held = LocalRevision()
    packed = encode_revision(RevisionDocument(1, 'first', settings))
    assert not isinstance(packed, Failure)
    held.set_target(packed.manifest)
    _fill(held, packed.manifest, packed.parts)
    started_s = time.process_time()
    adopted = held.adopt(packed.manifest, packed.encoded)
    assert isinstance(adopted, RevisionDocument), adopted
    adopted_ms = (time.process_time() - started_s) * 1e3
    indexes = len(packed.manifest.indexes)
    return (
        f'{len(packed.parts)} values, {indexes} of them indexes; all decoded '
        f'and valid after {adopted_ms:.0f} ms'
    )


def _trail() -> Iterator[AuditEntry]:
    for revision in range(1, 2 * _KEPT + 1):
        yield AuditEntry(
            1.8e9 + revision,
            'operator',
            'apply',
            revision,
            revision - 1,
            f'{revision:032x}',
            'more slots for lot-finder',
        )


def _parts_cost(base: RevisionDocument, after: Settings) -> ChangeCost:
    store = CountingStore()
    base = replace(base, audit=base.audit[-_KEPT:])
    # Three parts are replaced by each change: a part, an index, a history.
    replaced = tuple(
        ReplacedPart(f'{revision:030x}{part:02x}', revision)
        for revision in range(base.revision - _KEPT, base.revision)
        for part in range(3)
    )
    retired = tuple(RetiredPart(f'{part:032x}', 1) for part in range(3))
    kept_from = base.revision - _KEPT
    packed = encode_revision(
        base, History((), replaced, retired, (1,), kept_from)
    )
    assert not isinstance(packed, Failure)
    texts = dict(packed.parts)
    texts.update((one.part, b'{}') for one in replaced)
    texts.update((one.part, b'{}') for one in retired)
    for part, text in texts.items():
        key = part_key(part)
        store.stored[key] = StoredValue(key, text.decode(), 1)
    store.stored[CURRENT_KEY] = StoredValue(
        CURRENT_KEY,
        packed.encoded.decode(),
        1,
    )
    held = LocalRevision()
    _fill(held, packed.manifest, packed.parts)
    held.adopt(packed.manifest, packed.encoded)
    applied = asyncio.run(_apply(store, after))
    assert isinstance(applied, AppliedChange), applied
    encoded = store.stored[CURRENT_KEY].value.encode()
    texts = {
        key.rpartition('/')[2]: stored.value.encode()
        for key, stored in store.stored.items()
        if key != CURRENT_KEY
    }
    manifest = decode_revision(encoded)
    assert isinstance(manifest, Manifest)
    peer = LocalRevision()
    _fill(peer, manifest, texts)
    peer.adopt(manifest, encoded)
    fetched_bytes, part_bytes, adopted_ms = _fetch(held, peer)
    return ChangeCost(
        'parts',
        store.written_bytes,
        fetched_bytes,
        len(encoded) + part_bytes,
        max(len(stored.value) for stored in store.stored.values()),
        adopted_ms,
        store.calls['get'],
        store.calls['put'],
    )


async def _apply(store: CountingStore, after: Settings) -> object:
    change = Change('change', 'apply', 'operator', 1.9e9, 'one service')
    return await apply_change(
        store,
        lambda base: next_document(after, base, change),
        _PATIENCE_S,
        settings=after,
    )


def _fetch(held: LocalRevision, peer: LocalRevision) -> tuple[int, int, float]:
    """Fetch a revision as a daemon does; return bytes, parts, time."""
    request = RevisionRequest(held.revision, takes_manifest=True)
    reply = peer.answer(request)
    size_bytes = _size(request) + _size(reply)
    part_bytes = 0
    started_s = time.process_time()
    manifest = decode_revision(reply.manifest)
    assert isinstance(manifest, Manifest)
    while lacked := held.parts_to_fetch(manifest):
        assert not isinstance(lacked, Failure)
        parts = PartsRequest(lacked)
        texts = peer.answer_parts(parts)
        size_bytes += _size(parts) + _size(texts)
        part_bytes += sum(map(len, texts.texts))
        held.add(lacked, texts.texts)
    adopted = held.adopt(manifest, reply.manifest)
    assert isinstance(adopted, RevisionDocument), adopted
    adopted_ms = (time.process_time() - started_s) * 1e3
    return size_bytes, part_bytes, adopted_ms


def _fill(
    held: LocalRevision,
    manifest: Manifest,
    texts: dict[str, bytes],
) -> None:
    while lacked := held.parts_to_fetch(manifest):
        assert not isinstance(lacked, Failure)
        held.add(lacked, [texts[part] for part in lacked])


def _whole_cost(base: RevisionDocument, after: Settings) -> ChangeCost:
    """Return the cost of the earlier form, whatever its size."""
    base = replace(base, audit=base.audit[-_KEPT:])
    change = Change('change', 'apply', 'operator', 1.9e9, 'one service')
    encoded = msgspec.json.encode(next_document(after, base, change))
    started_s = time.process_time()
    assert not isinstance(decode_document(encoded), Failure)
    adopted_ms = (time.process_time() - started_s) * 1e3
    fetched_bytes = _size(RevisionReply(base.revision + 1, encoded))
    return ChangeCost(
        'whole',
        len(encoded) + len(msgspec.json.encode(base)),
        fetched_bytes + _size(RevisionRequest(base.revision)),
        len(encoded),
        len(encoded),
        adopted_ms,
        reads=1,
        writes=2,
    )


def _size(message: object) -> int:
    return len(msgspec.msgpack.encode(message))


def describe(cost: ChangeCost) -> str:
    """Return one line; rates are for 54,000 changes a day."""
    fetched_kb = cost.fetched_bytes * _CHANGES_PER_S / 1e3
    watched_kb = cost.watched_bytes * _CHANGES_PER_S / 1e3
    return (
        f'{cost.form:5}: {cost.written_bytes:10,} bytes written in '
        f'{cost.writes} writes and {cost.reads} reads, '
        f'{cost.fetched_bytes:9,} bytes fetched ({fetched_kb:.2f} KB/s), '
        f'{cost.watched_bytes:9,} by a watcher ({watched_kb:.2f} KB/s), '
        f'largest value {cost.largest_bytes:9,} bytes, '
        f'{cost.adopted_ms:.1f} ms of processor time'
    )
