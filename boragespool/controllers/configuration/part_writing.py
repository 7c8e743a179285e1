"""Writes the parts of a revision to the store and empties retired parts.

`boragespool.revisions.retention` explains why this is safe without a lock.
"""

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

#: Number of calls in a batch, and the time between two batches in seconds:
#: at most 200 calls per second, the target rate of the store for writes.
_BATCH_SIZE: Final = 20
_BATCH_INTERVAL_S: Final = 0.1


async def sleep_with_backoff(failure_count: int) -> None:
    """Sleep before a retry, longer after each consecutive failure."""
    delay_s = backoff_s(
        failure_count,
        _BACKOFF_FIRST_S,
        _BACKOFF_LIMIT_S,
        random.random(),
    )
    await asyncio.sleep(delay_s)


@dataclass(frozen=True, slots=True)
class ProgressReportingStore:
    """Wrapper of a store that calls back after each answer.

    Attributes
    ----------
    store : Store
        Wrapped client.
    on_answer : callable
        Called after each call that did not fail, so that the caller can
        extend its timeout.
    """

    store: Store
    on_answer: Callable[[], None]

    async def get(self, key: str) -> StoredValue | Missing | Failure:
        """Return the value of a key."""
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
        """Write a key if its version is the expected one."""
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
    """Write everything that the manifest of a revision refers to.

    This also stores the replaced revision under its own key, and empties the
    values that the replaced revision has retired.

    Parameters
    ----------
    store : Store
        Client of the platform's store.
    base : StoredBase
        Revision to replace.
    wanted : RevisionDocument
        Next revision.
    settings_texts : tuple
        Result of `build_indexes` for the settings of `wanted`.

    Returns
    -------
    EncodedRevision or Failure
        Manifest to write next. Each part that it refers to is in the store,
        and remains there if the manifest is accepted. Failed calls are
        retried without a limit.
    """
    plan = plan_retention(
        base.history,
        wanted.revision - 1,
        base.parts,
        frozenset(settings_texts[1]),
    )
    await _archive_base(store, base)
    encoded_revision = encode_revision(
        wanted,
        await _next_history(store, base.history, plan),
        settings_texts,
    )
    if isinstance(encoded_revision, Failure):
        return encoded_revision
    await _empty_removed_values(store, base.history)
    await _run_batched(
        partial(_write_part, store, part, encoded_revision.parts[part])
        for part in encoded_revision.parts.keys() - base.parts
    )
    return encoded_revision


async def _next_history(
    store: Store,
    history: History,
    plan: RetentionPlan,
) -> History:
    """Return the next history, with the versions of the parts to retire.

    The versions have to be read before the manifest that retires these parts
    is written.
    """
    retired: list[RetiredPart] = []

    async def read_version(part: PartHash) -> None:
        failure_count = 0
        answer = await store.get(part_key(part))
        while isinstance(answer, Failure):
            failure_count += 1
            await sleep_with_backoff(failure_count)
            answer = await store.get(part_key(part))
        if not isinstance(answer, Missing) and answer.value:
            retired.append(RetiredPart(part, answer.version))

    await _run_batched(
        partial(read_version, part) for part in plan.parts_to_retire
    )
    return History(
        replaced=plan.replaced,
        retired=tuple(retired),
        dropped=tuple(range(history.kept_from, plan.kept_from)),
        kept_from=plan.kept_from,
    )


async def _empty_removed_values(store: Store, history: History) -> None:
    """Empty the parts and revisions that the current history has removed.

    A conflict means that the value is already empty, or that it was written
    again; both are correct.
    """
    keys = [
        (part_key(retired_part.part), retired_part.version)
        for retired_part in history.retired
    ]
    # A replaced revision is written only once, so its version is 1.
    keys.extend((revision_key(revision), 1) for revision in history.dropped)
    await _run_batched(
        partial(_put_with_retries, store, key, '', version)
        for key, version in keys
    )


async def _archive_base(store: Store, base: StoredBase) -> None:
    """Store the base under its own key before it is replaced."""
    if base.document is not None:
        # A conflict means that the key already holds the same value.
        key = revision_key(base.document.revision)
        await _put_with_retries(store, key, base.text, 0)


async def _write_part(store: Store, part: PartHash, text: bytes) -> None:
    """Write a part, even if the store already holds it.

    This raises the version of the key, so that an earlier decision to empty
    the part, which names an older version, has no effect.
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
    """Retry a write until the store answers.

    Return None if the value was written, or the current version of the key if
    it was not the expected one.
    """
    failure_count = 0
    answer = await store.put(key, text, expected_version)
    while isinstance(answer, Failure):
        failure_count += 1
        await sleep_with_backoff(failure_count)
        answer = await store.put(key, text, expected_version)
    return None if isinstance(answer, int) else answer.version


async def _run_batched(
    calls: Iterable[Callable[[], Awaitable[object]]],
) -> None:
    """Make calls concurrently in batches, at a limited rate."""
    remaining = iter(calls)
    batch = tuple(itertools.islice(remaining, _BATCH_SIZE))
    while batch:
        await asyncio.gather(*(call() for call in batch))
        batch = tuple(itertools.islice(remaining, _BATCH_SIZE))
        if batch:
            await asyncio.sleep(_BATCH_INTERVAL_S)
