"""Writes a configuration change to the store by compare-and-swap.

Handles calls without an answer, and changes by several operators at the same
time. Runs in the commands of the operator, not in the daemons.
"""

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
    """A change that the store accepted.

    Attributes
    ----------
    before : RevisionDocument or None
        Replaced revision; None if this is the first one.
    document : RevisionDocument
        Revision that was written.
    """

    before: RevisionDocument | None
    document: RevisionDocument


@dataclass(frozen=True, slots=True)
class RevisionConflict:
    """A change that was not written because the base is not the expected one.

    Another change was accepted first, or the change was prepared for another
    revision than the one in the store.

    Attributes
    ----------
    found : RevisionDocument
        Current revision in the store.
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
    """Read the current revision, build the next one and write it.

    Parameters
    ----------
    store : Store
        Client of the platform's store.
    build : callable
        Takes the current document, or None if the store holds none. Returns
        the next document, or a failure if the change is not possible.
    answer_timeout_s : float
        Timeout in seconds. While parts are written it restarts with each
        answer of the store; writing the manifest then has to end within it.
    expected_base : int, optional
        Revision that the change was prepared for. Nothing is written if the
        store holds another one.
    settings : Settings, optional
        Settings that the change is expected to set. Their parts are known,
        so that they are not read from the store.

    Returns
    -------
    AppliedChange or RevisionConflict or Failure
        With ``APPLY_UNCONFIRMED`` it is unknown whether the change is in
        force. With any other failure it is not and never will be.
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
    """Restart the timeout after an answer of the store.

    The first revision of a fleet has thousands of parts, which take longer
    than one timeout to write.
    """
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
        f'the change was prepared for revision {expected_base!r}, but the '
        'store holds no revision',
    )


class _Writer:
    """Writes one revision by compare-and-swap, and tracks the outcome."""

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
        """Write the parts, then the manifest, until the outcome is known."""
        encoded_revision = await write_parts(
            part_store,
            self._base,
            self._wanted,
            self._settings_texts,
        )
        if isinstance(encoded_revision, Failure):
            return encoded_revision
        self._manifest_text = encoded_revision.encoded.decode()
        step = await self._run_steps()
        if self._store_refusal is not None:
            return self._store_refusal
        if step is WriteStep.APPLIED:
            return AppliedChange(self._base.document, self._wanted)
        if step is WriteStep.CONFLICT:
            return await self._read_winner()
        return self._unconfirmed()

    def timeout_outcome(self) -> Failure:
        """Return the outcome as far as it is known if `write` timed out."""
        if self._may_take_effect:
            return self._unconfirmed()
        if self._lost_race:
            return Failure(
                ResultCode.REVISION_CONFLICT,
                'another revision was accepted first, which could not be '
                'read from the store; nothing of this change is in force',
            )
        return Failure(
            ResultCode.STORE_UNAVAILABLE,
            'the store accepted no write within the timeout; nothing of the '
            'change is in force',
        )

    async def _run_steps(self) -> WriteStep:
        step = WriteStep.WRITE
        step_count = 0
        while (
            step in {WriteStep.WRITE, WriteStep.READ_BACK}
            and not self._store_refusal
        ):
            if step_count:
                await sleep_with_backoff(step_count)
            step_count += 1
            if step is WriteStep.WRITE:
                step = next_step_after_write(await self._write_manifest())
            else:
                step = await self._read_back()
        return step

    async def _write_manifest(self) -> WriteAnswer:
        may_already_take_effect = self._may_take_effect
        # Set before the call: if it is cancelled, the request may still
        # reach the store.
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
        """Read the revision that was accepted instead of this one.

        From here on, this change cannot come into force any more.
        """
        self._may_take_effect = False
        self._lost_race = True
        failure_count = 0
        while True:
            stored = await read_base(self._store, self._settings_texts[1])
            if not isinstance(stored, Failure) and stored.document:
                return RevisionConflict(stored.document, self._wanted)
            failure_count += 1
            await sleep_with_backoff(failure_count)

    def _unconfirmed(self) -> Failure:
        change_id = self._wanted.change_id
        return Failure(
            ResultCode.APPLY_UNCONFIRMED,
            'the store did not confirm whether it accepted change '
            f"{change_id!r}; 'boragespool audit' lists the change if it did",
            RunState.UNKNOWN,
        )
