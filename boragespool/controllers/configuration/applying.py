"""Writing a change to the store, through lost answers and races."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from boragespool.controllers.configuration.part_writing import (
    ProgressReportingStore,
    sleep_with_backoff,
    write_parts,
)
from boragespool.controllers.configuration.store_access import (
    StoredBase,
    read_audit_trail,
    read_base,
)
from boragespool.results import Failure, ResultCode
from boragespool.revisions import (
    CURRENT_KEY,
    RevisionDocument,
    WriteAnswer,
    WriteStep,
    build_indexes,
    next_step_after_read,
    next_step_after_write,
    split_settings,
)
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.configuration.store_access import Store
    from boragespool.revisions.manifest import IndexedTexts
    from boragespool.settings import Settings
    from boragespool.types import Revision, Seconds


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A change that the store accepted."""

    before: RevisionDocument | None
    document: RevisionDocument


@dataclass(frozen=True, slots=True)
class RevisionConflict:
    """A change that lost against another one, or was built for another base.

    Attributes
    ----------
    found : RevisionDocument
        Revision that is in the store.
    wanted : RevisionDocument
        Revision that was not written.
    """

    found: RevisionDocument
    wanted: RevisionDocument


async def apply_change(
    store: Store,
    build: Callable[[RevisionDocument | None], RevisionDocument | Failure],
    answer_timeout_s: Seconds,
    expected_base: Revision | None = None,
    settings: Settings | None = None,
) -> AppliedChange | RevisionConflict | Failure:
    """Read the base, build the next document and write it.

    Parameters
    ----------
    store : Store
        Platform client.
    build : callable
        Returns the next document for a base, or why there is none.
    answer_timeout_s : float
        Time without an answer while parts are written, and then for writing
        the manifest, in seconds.
    expected_base : int, optional
        Revision that the change was prepared for; nothing is written if the
        store holds another one.
    settings : Settings, optional
        Settings that the change probably sets; their parts are not read.

    Returns
    -------
    Applied or Refused or Failure
        ``STORE_UNAVAILABLE`` promises that nothing will be in force;
        ``APPLY_UNCONFIRMED`` says that this is not known.
    """
    indexed_texts = (
        build_indexes(split_settings(settings)) if settings else ({}, {})
    )
    base = await read_base(store, indexed_texts[1])
    if isinstance(base, Failure):
        return base
    wanted = build(base.document)
    if isinstance(wanted, Failure):
        return wanted
    if expected_base not in {None, wanted.revision - 1}:
        return _base_conflict(base, wanted, expected_base)
    if wanted.settings is not settings:
        indexed_texts = build_indexes(split_settings(wanted.settings))
    writer = _Writer(store, base, wanted, indexed_texts)
    try:
        async with asyncio.timeout(answer_timeout_s) as timeout:
            reporting_store = ProgressReportingStore(
                store, partial(_restart_timeout, timeout, answer_timeout_s)
            )
            return await writer.write(reporting_store)
    except TimeoutError:
        return writer.timeout_outcome()


def _restart_timeout(
    timeout: asyncio.Timeout, answer_timeout_s: Seconds
) -> None:
    """Start the patience again: a first apply has thousands of parts."""
    timeout.reschedule(asyncio.get_running_loop().time() + answer_timeout_s)


def _base_conflict(
    base: StoredBase,
    wanted: RevisionDocument,
    expected_base: Revision | None,
) -> RevisionConflict | Failure:
    if base.document is not None:
        return RevisionConflict(base.document, wanted)
    return Failure(
        ResultCode.REVISION_CONFLICT,
        f'the change was prepared for revision {expected_base!r}, but the store '
        'holds none',
    )


class _Writer:
    """One compare-and-swap and what is known about it."""

    def __init__(
        self,
        store: Store,
        base: StoredBase,
        wanted: RevisionDocument,
        settings_texts: IndexedTexts,
    ) -> None:
        self._store = store
        self._base = base
        self._wanted = wanted
        self._settings_texts = settings_texts
        self._manifest_text = ''
        self._may_take_effect = False
        self._lost_race = False
        self._store_refusal: Failure | None = None

    async def write(
        self, part_store: Store
    ) -> AppliedChange | RevisionConflict | Failure:
        """Write and read back until the outcome is known."""
        packed = await write_parts(
            part_store,
            self._base,
            self._wanted,
            self._settings_texts,
        )
        if isinstance(packed, Failure):
            return packed
        self._manifest_text = packed.encoded.decode()
        step = await self._run_steps()
        if self._store_refusal is not None:
            return self._store_refusal
        if step is WriteStep.APPLIED:
            return AppliedChange(self._base.document, self._wanted)
        if step is WriteStep.CONFLICT:
            return await self._read_winner()
        return self._unconfirmed()

    def timeout_outcome(self) -> Failure:
        """Return what is known after `settle` was cancelled."""
        if self._may_take_effect:
            return self._unconfirmed()
        if self._lost_race:
            return Failure(
                ResultCode.REVISION_CONFLICT,
                'another revision was accepted first, which the store did '
                'not show; nothing of this change is in force',
            )
        return Failure(
            ResultCode.STORE_UNAVAILABLE,
            'the store accepted no call in time; nothing of the change is in '
            'force',
        )

    async def _run_steps(self) -> WriteStep:
        step = WriteStep.WRITE
        failures = 0
        while (
            step in {WriteStep.WRITE, WriteStep.READ_BACK}
            and not self._store_refusal
        ):
            if failures:
                await sleep_with_backoff(failures)
            failures += 1
            if step is WriteStep.WRITE:
                step = next_step_after_write(await self._write_manifest())
            else:
                step = await self._read_back()
        return step

    async def _write_manifest(self) -> WriteAnswer:
        may_already_take_effect = self._may_take_effect
        # A cancelled call may still reach the store.
        self._may_take_effect = True
        answer = await self._store.put(
            CURRENT_KEY,
            self._manifest_text,
            self._base.version,
        )
        if isinstance(answer, int):
            return WriteAnswer.WRITTEN
        if isinstance(answer, Failure) and answer.run is RunState.UNKNOWN:
            return WriteAnswer.LOST
        self._may_take_effect = may_already_take_effect
        if not isinstance(answer, Failure):
            return WriteAnswer.CONFLICT
        if answer.code is ResultCode.VALUE_TOO_LARGE:
            self._store_refusal = answer
        return WriteAnswer.NOT_SENT

    async def _read_back(self) -> WriteStep:
        found = await read_audit_trail(self._store)
        if isinstance(found, Failure):
            return WriteStep.READ_BACK
        return next_step_after_read(self._wanted, found)

    async def _read_winner(self) -> RevisionConflict | Failure:
        """Read the revision that won; the own one is never in force."""
        self._may_take_effect = False
        self._lost_race = True
        failures = 0
        while True:
            stored = await read_base(self._store, self._settings_texts[1])
            if not isinstance(stored, Failure) and stored.document:
                return RevisionConflict(stored.document, self._wanted)
            failures += 1
            await sleep_with_backoff(failures)

    def _unconfirmed(self) -> Failure:
        change_id = self._wanted.change_id
        return Failure(
            ResultCode.APPLY_UNCONFIRMED,
            f'the store did not tell whether change {change_id!r} took '
            "effect; 'boragespool audit' shows it if it did",
            RunState.UNKNOWN,
        )
