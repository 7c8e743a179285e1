"""Writes the parts of a revision, and empties those that are retired."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Final

from boragespool.controllers.pauses import backoff_s
from boragespool.results import Failure
from boragespool.revisions import (
    History,
    RetiredPart,
    encode_revision,
    part_key,
    plan_retention,
    revision_key,
)
from boragespool.store import Missing

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from boragespool.controllers.configuration.store_access import (
        Store,
        StoredBase,
    )
    from boragespool.revisions import (
        EncodedRevision,
        PartHash,
        RetentionPlan,
        RevisionDocument,
    )
    from boragespool.revisions.manifest import IndexedTexts
    from boragespool.store import Conflict, StoredValue

_BACKOFF_FIRST_S: Final = 0.1
_BACKOFF_LIMIT_S: Final = 1

#: Calls in a batch and the time between two batches: at most 200 calls per
#: second, the store's goal for writes.
_BATCH_SIZE: Final = 20
_BATCH_INTERVAL_S: Final = 0.1


async def sleep_with_backoff(failures: int) -> None:
    """Wait before another call after some that failed."""
    delay_s = backoff_s(
        failures,
        _BACKOFF_FIRST_S,
        _BACKOFF_LIMIT_S,
        random.random(),
    )
    await asyncio.sleep(delay_s)


@dataclass(frozen=True, slots=True)
class ProgressReportingStore:
    """A store that reports each answer.

    Attributes
    ----------
    on_answer : callable
        Called after each call that did not fail.
    """

    store: Store
    on_answer: Callable[[], None]

    async def get(self, key: str) -> StoredValue | Missing | Failure:
        """Read one key."""
        answer = await self.store.get(key)
        if not isinstance(answer, Failure):
            self.on_answer()
        return answer

    async def put(
        self,
        key: str,
        value: str,
        expected_version: int,
    ) -> int | Conflict | Failure:
        """Write one key if its version is the expected one."""
        answer = await self.store.put(key, value, expected_version)
        if not isinstance(answer, Failure):
            self.on_answer()
        return answer


async def write_parts(
    store: Store,
    base: StoredBase,
    wanted: RevisionDocument,
    settings_texts: IndexedTexts,
) -> EncodedRevision | Failure:
    """Prepare the store for the manifest of a revision.

    Parameters
    ----------
    store : Store
        Platform client.
    base : Base
        Revision to replace. It is kept under its own key.
    wanted : RevisionDocument
        Next revision.
    settings_texts : tuple
        Indexes and texts of the settings of `wanted`.

    Returns
    -------
    EncodedRevision or Failure
        The manifest to write; each part that it refers to is in the store
        and stays there if the manifest is accepted. Calls that fail are
        repeated for ever.
    """
    plan = plan_retention(
        base.history,
        wanted.revision - 1,
        base.parts,
        frozenset(settings_texts[1]),
    )
    await _archive_base(store, base)
    packed = encode_revision(
        wanted,
        await _next_history(store, base.history, plan),
        settings_texts,
    )
    if isinstance(packed, Failure):
        return packed
    await _clear_removed_values(store, base.history)
    await _run_batched(
        partial(_write_part, store, part, packed.parts[part])
        for part in packed.parts.keys() - base.parts
    )
    return packed


async def _next_history(
    store: Store,
    history: History,
    plan: RetentionPlan,
) -> History:
    """Read the versions of the parts to retire.

    This comes before the manifest that retires them is written.
    """
    retired: list[RetiredPart] = []

    async def read(part: PartHash) -> None:
        failures = 0
        answer = await store.get(part_key(part))
        while isinstance(answer, Failure):
            failures += 1
            await sleep_with_backoff(failures)
            answer = await store.get(part_key(part))
        if not isinstance(answer, Missing) and answer.value:
            retired.append(RetiredPart(part, answer.version))

    await _run_batched(partial(read, part) for part in plan.parts_to_retire)
    return History(
        replaced=plan.replaced,
        retired=tuple(retired),
        dropped=tuple(range(history.kept_from, plan.kept_from)),
        kept_from=plan.kept_from,
    )


async def _clear_removed_values(store: Store, history: History) -> None:
    """Empty what the revision that is to be replaced has retired.

    A conflict means that the value is empty already, or was written again.
    """
    keys = [
        (part_key(retired_part.part), retired_part.version)
        for retired_part in history.retired
    ]
    # A kept revision is written once and never changed.
    keys.extend((revision_key(revision), 1) for revision in history.dropped)
    await _run_batched(
        partial(_put_with_retries, store, key, '', version)
        for key, version in keys
    )


async def _archive_base(store: Store, base: StoredBase) -> None:
    """Keep the base under its own key before it is replaced."""
    if base.document is not None:
        # A conflict means that the same immutable value is there already.
        key = revision_key(base.document.revision)
        await _put_with_retries(store, key, base.text, 0)


async def _write_part(store: Store, part: PartHash, text: bytes) -> None:
    """Write a part, also if it is there already.

    Its version rises above each one at which it may be emptied.
    """
    expected: int | None = 0
    while expected is not None:
        expected = await _put_with_retries(
            store, part_key(part), text.decode(), expected
        )


async def _put_with_retries(
    store: Store,
    key: str,
    text: str,
    expected_version: int,
) -> int | None:
    """Write until the store answers; return the version of a conflict."""
    failures = 0
    answer = await store.put(key, text, expected_version)
    while isinstance(answer, Failure):
        failures += 1
        await sleep_with_backoff(failures)
        answer = await store.put(key, text, expected_version)
    return None if isinstance(answer, int) else answer.version


async def _run_batched(
    calls: Iterable[Callable[[], Awaitable[object]]],
) -> None:
    """Make calls in batches, at a bounded rate."""
    remaining = iter(calls)
    batch = tuple(itertools.islice(remaining, _BATCH_SIZE))
    while batch:
        await asyncio.gather(*(call() for call in batch))
        batch = tuple(itertools.islice(remaining, _BATCH_SIZE))
        if batch:
            await asyncio.sleep(_BATCH_INTERVAL_S)
