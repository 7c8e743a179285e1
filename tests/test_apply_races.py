"""Concurrent changes by several operators to a store with faults."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.controllers.configuration import applying, part_writing
from boragespool.controllers.configuration.applying import (
    AppliedChange,
    RevisionConflict,
    apply_change,
)
from boragespool.controllers.configuration.store_access import (
    read_audit_trail,
    read_base,
    read_revision,
)
from boragespool.results import Failure, ResultCode
from boragespool.revisions import (
    CURRENT_KEY,
    Change,
    History,
    decode_history,
    decode_revision,
    hashes_to_fetch,
    next_document,
    part_hash,
    part_key,
    plan_retention,
    retention,
    revision_key,
)
from boragespool.settings import Settings
from boragespool.settings.schema import AddressSettings
from boragespool.store import Conflict, Missing, StoredValue
from boragespool.types import RunState
from tests.test_revision_parts import many_servers

#: Few configurations, so that parts are often retired and used again.
SETTINGS_VARIANTS = [
    Settings(services=many_servers(servers).services, addresses=addresses)
    for servers in (1, 60)
    for addresses in (AddressSettings(), AddressSettings(count=4))
]
KEPT_REVISION_COUNT = 3
STORE_DOWN = Failure(ResultCode.STORE_UNAVAILABLE, 'refused')
ANSWER_LOST = Failure(ResultCode.STORE_UNAVAILABLE, 'lost', RunState.UNKNOWN)


class FaultyStore:
    """Store in memory with random, seeded faults.

    Calls are reordered, and fail with probability `fault_rate`.

    Attributes
    ----------
    delayed_writes : list
        Writes that were reported as lost and take effect later.
    accepted_manifests : list of str
        All values of the current revision, oldest first.
    """

    def __init__(self, seed, fault_rate):
        self.rng = random.Random(seed)
        self.fault_rate = fault_rate
        self.values_by_key = {}
        self.delayed_writes = []
        self.accepted_manifests = []
        self.call_counts = {'get': 0, 'put': 0}

    async def get(self, key):
        """Return a stored value, or a failure."""
        self.call_counts['get'] += 1
        await self.yield_randomly()
        if self.rng.random() < self.fault_rate:
            return STORE_DOWN
        return self.values_by_key.get(key) or Missing(key)

    async def put(self, key, value, expected_version):
        """Write now, later or never, and possibly lose the answer."""
        self.call_counts['put'] += 1
        await self.yield_randomly()
        fault = 'none'
        if self.rng.random() < self.fault_rate:
            fault = self.rng.choice(('unsent', 'delayed', 'lost'))
        if fault == 'unsent':
            return STORE_DOWN
        if fault == 'delayed':
            self.delayed_writes.append((key, value, expected_version))
            return ANSWER_LOST
        answer = self.write(key, value, expected_version)
        return ANSWER_LOST if fault == 'lost' else answer

    async def yield_randomly(self):
        """Let other tasks run, and possibly apply a delayed write."""
        for _ in range(self.rng.randrange(4)):
            await asyncio.sleep(0)
        if self.delayed_writes and self.rng.random() < 0.3:
            late = self.rng.randrange(len(self.delayed_writes))
            self.write(*self.delayed_writes.pop(late))

    def write(self, key, value, expected_version):
        """Compare and swap a value, then check the kept revisions."""
        stored = self.values_by_key.get(key)
        version = stored.version if stored else 0
        if version != expected_version:
            return Conflict(key, version)
        self.values_by_key[key] = StoredValue(key, value, version + 1)
        if key == CURRENT_KEY:
            self.accepted_manifests.append(value)
        if self.accepted_manifests:
            self.check_kept_revisions()
        return version + 1

    def deliver_late(self):
        """Apply all delayed writes in random order."""
        self.rng.shuffle(self.delayed_writes)
        while self.delayed_writes:
            self.write(*self.delayed_writes.pop())

    def part_text(self, part):
        """Return the text of a part; fail if it is not in the store."""
        text = self.values_by_key[part_key(part)].value.encode()
        assert part_hash(text) == part, 'a part that is in use was emptied'
        return text

    def check_kept_revisions(self):
        """Check that all parts of the kept revisions are in the store."""
        manifest = decode_revision(self.accepted_manifests[-1])
        history = decode_history(self.part_text(manifest.history))
        for value in self.accepted_manifests[history.kept_from - 1 :]:
            kept = decode_revision(value)
            texts = {}
            while missing := hashes_to_fetch(kept, texts):
                texts |= {part: self.part_text(part) for part in missing}


def builder_of(wanted, change_id):
    """Return the function that builds the next revision of a change."""
    change = Change(change_id, 'apply', 'amina', 1)
    return lambda base: next_document(wanted, base, change)


async def run_operator(store, name, results):
    """Apply or roll back 6 changes; add each result to `results`."""
    for number in range(6):
        wanted = store.rng.choice(SETTINGS_VARIANTS)
        if store.accepted_manifests and store.rng.random() < 0.3:
            revision = store.rng.randrange(len(store.accepted_manifests)) + 1
            kept = await read_revision(store, revision)
            wanted = wanted if isinstance(kept, Failure) else kept.settings
        change_id = f'{name}-{number}'
        results[change_id] = await apply_change(
            store, builder_of(wanted, change_id), 20, settings=wanted
        )


async def run_operators(store, cancelled_count):
    """Run three operators at the same time, and cancel some of them."""
    results = {}
    tasks = [
        asyncio.ensure_future(run_operator(store, name, results))
        for name in 'abc'
    ]
    for task in tasks[:cancelled_count]:
        for _ in range(store.rng.randrange(300)):
            await asyncio.sleep(0)
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for task in tasks:
        assert task.cancelled() or task.exception() is None, task.exception()
    return results


@pytest.fixture(scope='module', autouse=True)
def few_revisions_and_no_backoff():
    """Keep only a few revisions, and retry without a delay."""

    async def yield_once(failure_count):
        await asyncio.sleep(0)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(part_writing, 'sleep_with_backoff', yield_once)
        patch.setattr(applying, 'sleep_with_backoff', yield_once)
        patch.setattr(retention, 'KEPT_REVISIONS', KEPT_REVISION_COUNT)
        yield


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.sampled_from((0, 0.1, 0.4)), st.integers(0, 2))
def test_racing_changes_apply_once_and_keep_their_parts(
    seed, fault_rate, cancelled_count
):
    """Guards against changes that are lost, repeated or lack parts.

    Operators that write at the same time, crash or lose answers could apply a
    change twice, report it wrongly, or empty parts that a kept revision uses.
    """
    store = FaultyStore(seed, fault_rate)
    results = asyncio.run(run_operators(store, cancelled_count))
    store.fault_rate = 0
    # Otherwise a delayed manifest could be written between the reads that are
    # compared below.
    store.deliver_late()
    manifests = [decode_revision(value) for value in store.accepted_manifests]
    ids = [manifest.change_id for manifest in manifests]
    assert [manifest.revision for manifest in manifests] == list(
        range(1, len(ids) + 1)
    )
    assert len(set(ids)) == len(ids)
    for change_id, result in results.items():
        if isinstance(result, AppliedChange):
            assert change_id in ids
        elif isinstance(result, RevisionConflict):
            assert change_id not in ids
        else:
            assert result.code is not ResultCode.APPLY_UNCONFIRMED
            assert change_id not in ids
    if ids:
        trail = asyncio.run(read_audit_trail(store))
        assert [entry.change_id for entry in trail.audit] == ids
        assert asyncio.run(read_base(store)).document.audit == trail.audit


def test_unused_parts_and_revisions_are_emptied():
    """Guards against a store that grows with every change.

    The store has no call that deletes a key, so parts and revisions that are
    no longer kept must be overwritten with empty values.
    """
    store = FaultyStore(1, 0)

    async def apply_all(count):
        for number in range(count):
            wanted = Settings(addresses=AddressSettings(count=number % 60 + 1))
            applied = await apply_change(
                store,
                builder_of(wanted, str(number)),
                5,
                settings=wanted,
            )
            assert isinstance(applied, AppliedChange)

    asyncio.run(apply_all(30))
    filled = [
        key for key, stored in store.values_by_key.items() if stored.value
    ]
    # A part, an index and a history for each kept revision, and for some that
    # later changes will retire and empty.
    assert (
        len(filled) <= 3 * (KEPT_REVISION_COUNT + 3) + KEPT_REVISION_COUNT + 4
    )
    assert isinstance(asyncio.run(read_revision(store, 28)).settings, Settings)
    emptied = asyncio.run(read_revision(store, 20))
    assert emptied.code is ResultCode.REVISION_UNKNOWN
    assert store.values_by_key[revision_key(20)].value == ''
    store.call_counts.update(get=0, put=0)
    asyncio.run(apply_all(1))
    # Reads: manifest, history, index and part of the base, and the versions of
    # three retired parts. Writes: the replaced revision, index, part, history
    # and manifest, and empty values for three parts and a revision. Parts that
    # are in the store already are written again to increment their version.
    assert store.call_counts['get'] <= 7
    assert store.call_counts['put'] <= 12


def test_long_first_apply_does_not_time_out():
    """Guards against a first revision that cannot be applied.

    It has thousands of parts, and writing them takes longer than the timeout
    for one answer. The timeout therefore restarts with each answer.
    """
    store = FaultyStore(1, 0)
    wanted = many_servers(2_000)
    apply = apply_change(store, builder_of(wanted, 'a'), 0.25, settings=wanted)
    assert isinstance(asyncio.run(apply), AppliedChange)
    # Calls are sent in batches of 20 calls, 0.1 s apart.
    assert store.call_counts['put'] > 60


def test_retention_is_patched_for_these_tests():
    """Guards against other tests here that pass without retiring anything.

    This would happen if the fixture no longer lowered the number of kept
    revisions.
    """
    history = History()

    assert plan_retention(history, 50, frozenset(), frozenset()).kept_from == 48
