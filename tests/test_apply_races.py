"""Operators that race each other while any call to the store may fail."""

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

#: Few configurations, so that parts are given up and used again all the time.
VARIANTS = [
    Settings(services=many_servers(servers).services, addresses=addresses)
    for servers in (1, 60)
    for addresses in (AddressSettings(), AddressSettings(count=4))
]
KEPT = 3
DOWN = Failure(ResultCode.STORE_UNAVAILABLE, 'refused')
LOST = Failure(ResultCode.STORE_UNAVAILABLE, 'lost', RunState.UNKNOWN)


class FaultyStore:
    """Store whose calls are reordered, lost, delayed or unanswered."""

    def __init__(self, seed, fault_rate):
        self.draw = random.Random(seed)
        self.fault_rate = fault_rate
        self.stored = {}
        self.delayed = []
        self.accepted = []
        self.calls = {'get': 0, 'put': 0}

    async def get(self, key):
        """Read, unless the call fails."""
        self.calls['get'] += 1
        await self.hold_up()
        if self.draw.random() < self.fault_rate:
            return DOWN
        return self.stored.get(key) or Missing(key)

    async def put(self, key, value, expected_version):
        """Write now, later or never; the answer may be lost."""
        self.calls['put'] += 1
        await self.hold_up()
        fault = 'none'
        if self.draw.random() < self.fault_rate:
            fault = self.draw.choice(('unsent', 'delayed', 'lost'))
        if fault == 'unsent':
            return DOWN
        if fault == 'delayed':
            self.delayed.append((key, value, expected_version))
            return LOST
        answer = self.write(key, value, expected_version)
        return LOST if fault == 'lost' else answer

    async def hold_up(self):
        """Let others run, and let a delayed write arrive."""
        for _ in range(self.draw.randrange(4)):
            await asyncio.sleep(0)
        if self.delayed and self.draw.random() < 0.3:
            late = self.draw.randrange(len(self.delayed))
            self.write(*self.delayed.pop(late))

    def write(self, key, value, expected_version):
        """Compare and swap, then check what must always hold."""
        held = self.stored.get(key)
        version = held.version if held else 0
        if version != expected_version:
            return Conflict(key, version)
        self.stored[key] = StoredValue(key, value, version + 1)
        if key == CURRENT_KEY:
            self.accepted.append(value)
        if self.accepted:
            self.check_kept()
        return version + 1

    def deliver_late(self):
        """Let the delayed writes of operators that ended arrive."""
        self.draw.shuffle(self.delayed)
        while self.delayed:
            self.write(*self.delayed.pop())

    def text(self, part):
        """Return the text of a part; it must be there."""
        text = self.stored[part_key(part)].value.encode()
        assert part_hash(text) == part, 'a part that is in use was emptied'
        return text

    def check_kept(self):
        """Each kept revision has all its parts."""
        manifest = decode_revision(self.accepted[-1])
        history = decode_history(self.text(manifest.history))
        for value in self.accepted[history.kept_from - 1 :]:
            kept = decode_revision(value)
            texts = {}
            while lacked := hashes_to_fetch(kept, texts):
                texts |= {part: self.text(part) for part in lacked}


def build_from(wanted, change_id):
    """Return a builder of one change."""
    change = Change(change_id, 'apply', 'amina', 1)
    return lambda base: next_document(wanted, base, change)


async def operate(store, name, results):
    """Apply or roll back some times; keep what was reported."""
    for number in range(6):
        wanted = store.draw.choice(VARIANTS)
        if store.accepted and store.draw.random() < 0.3:
            revision = store.draw.randrange(len(store.accepted)) + 1
            kept = await read_revision(store, revision)
            wanted = wanted if isinstance(kept, Failure) else kept.settings
        change_id = f'{name}-{number}'
        results[change_id] = await apply_change(
            store, build_from(wanted, change_id), 20, settings=wanted
        )


async def race(store, crashes):
    """Let operators race; some end without notice."""
    results = {}
    tasks = [
        asyncio.ensure_future(operate(store, name, results)) for name in 'abc'
    ]
    for task in tasks[:crashes]:
        for _ in range(store.draw.randrange(300)):
            await asyncio.sleep(0)
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for task in tasks:
        assert task.cancelled() or task.exception() is None, task.exception()
    return results


@pytest.fixture(scope='module', autouse=True)
def no_delays():
    """Keep few revisions and try again at once."""

    async def again(failures):
        await asyncio.sleep(0)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(part_writing, 'sleep_with_backoff', again)
        patch.setattr(applying, 'sleep_with_backoff', again)
        patch.setattr(retention, 'KEPT_REVISIONS', KEPT)
        yield


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.sampled_from((0, 0.1, 0.4)), st.integers(0, 2))
def test_one_winner_and_whole_revisions(seed, fault_rate, crashes):
    """No change is lost, repeated, merged or left without its parts."""
    store = FaultyStore(seed, fault_rate)
    results = asyncio.run(race(store, crashes))
    store.fault_rate = 0
    # A late manifest would be accepted between the reads that are compared.
    store.deliver_late()
    manifests = [decode_revision(value) for value in store.accepted]
    ids = [manifest.change_id for manifest in manifests]
    assert [one.revision for one in manifests] == list(range(1, len(ids) + 1))
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


def test_what_is_not_kept_any_more_is_emptied():
    """Replaced parts must not pile up in the store."""
    store = FaultyStore(1, 0)

    async def apply_all(count):
        for number in range(count):
            wanted = Settings(addresses=AddressSettings(count=number % 60 + 1))
            done = await apply_change(
                store,
                build_from(wanted, str(number)),
                5,
                settings=wanted,
            )
            assert isinstance(done, AppliedChange)

    asyncio.run(apply_all(30))
    filled = [key for key, one in store.stored.items() if one.value]
    # A part, an index and a history for each kept revision and for some that
    # the next changes retire and empty.
    assert len(filled) <= 3 * (KEPT + 3) + KEPT + 4
    assert isinstance(asyncio.run(read_revision(store, 28)).settings, Settings)
    emptied = asyncio.run(read_revision(store, 20))
    assert emptied.code is ResultCode.REVISION_UNKNOWN
    assert store.stored[revision_key(20)].value == ''
    store.calls.update(get=0, put=0)
    asyncio.run(apply_all(1))
    # Manifest, history, index and part of the base; three retired versions.
    # The replaced revision, index, part, history and manifest; three parts
    # and a revision that are emptied; parts that were there are raised.
    assert store.calls['get'] <= 7
    assert store.calls['put'] <= 12


def test_patience_does_not_end_a_long_first_apply():
    """Thousands of parts take longer than the patience for one answer."""
    store = FaultyStore(1, 0)
    wanted = many_servers(2_000)
    apply = apply_change(store, build_from(wanted, 'a'), 0.25, settings=wanted)
    assert isinstance(asyncio.run(apply), AppliedChange)
    # Batches of 20 calls and 0.1 s between two of them.
    assert store.calls['put'] > 60


def test_retention_is_patched_for_these_tests():
    """Guards the other tests against keeping everything."""
    history = History()

    assert plan_retention(history, 50, frozenset(), frozenset()).kept_from == 48
