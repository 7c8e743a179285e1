"""Writing a change to the store, through lost answers and races."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.cli.store_access import Base, read_base
from boragespool.controllers.pauses import backoff_s
from boragespool.results import Failure, ResultCode
from boragespool.revisions import (
    CURRENT_KEY,
    RevisionDocument,
    Step,
    WriteAnswer,
    after_read,
    after_write,
    encode_document,
    revision_key,
)
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.cli.store_access import Store
    from boragespool.types import Revision, Seconds

_FIRST_PAUSE_S: Final = 0.1
_LONGEST_PAUSE_S: Final = 1


@dataclass(frozen=True, slots=True)
class Applied:
    """A change that the store accepted."""

    before: RevisionDocument | None
    document: RevisionDocument


@dataclass(frozen=True, slots=True)
class Refused:
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
    patience_s: Seconds,
    wanted_base: Revision | None = None,
) -> Applied | Refused | Failure:
    """Read the base, build the next document and write it.

    Parameters
    ----------
    store : Store
        Platform client.
    build : callable
        Returns the next document for a base, or why there is none.
    patience_s : float
        Time for calls that the store does not answer, in seconds.
    wanted_base : int, optional
        Revision that the change was prepared for; nothing is written if the
        store holds another one.

    Returns
    -------
    Applied or Refused or Failure
        ``STORE_UNAVAILABLE`` promises that nothing was written;
        ``APPLY_UNCONFIRMED`` says that this is not known.
    """
    base = await read_base(store)
    if isinstance(base, Failure):
        return base
    wanted = build(base.document)
    if isinstance(wanted, Failure):
        return wanted
    if wanted_base not in {None, wanted.revision - 1}:
        return _refuse(base, wanted, wanted_base)
    encoded = encode_document(wanted)
    if isinstance(encoded, Failure):
        return encoded
    writer = _Writer(store, base, wanted, encoded.decode())
    try:
        async with asyncio.timeout(patience_s):
            await _keep_replaced(store, base)
            return await writer.settle()
    except TimeoutError:
        return writer.give_up()


def _refuse(
    base: Base,
    wanted: RevisionDocument,
    wanted_base: Revision | None,
) -> Refused | Failure:
    if base.document is not None:
        return Refused(base.document, wanted)
    return Failure(
        ResultCode.REVISION_CONFLICT,
        f'the change was prepared for revision {wanted_base!r}, but the store '
        'holds none',
    )


async def _keep_replaced(store: Store, base: Base) -> None:
    """Keep the base under its own key before it is replaced."""
    if base.document is None:
        return
    key = revision_key(base.document.revision)
    failures = 0
    # A conflict means that the same immutable value is there already.
    while isinstance(await store.put(key, base.text, 0), Failure):
        failures += 1
        await _pause(failures)


class _Writer:
    """One compare-and-swap and what is known about it."""

    def __init__(
        self,
        store: Store,
        base: Base,
        wanted: RevisionDocument,
        text: str,
    ) -> None:
        self._store = store
        self._base = base
        self._wanted = wanted
        self._text = text
        self._may_take_effect = False
        self._found: RevisionDocument | None = None
        self._refusal: Failure | None = None

    async def settle(self) -> Applied | Refused | Failure:
        """Write and read back until the outcome is known."""
        step = await self._run_steps()
        if self._refusal is not None:
            return self._refusal
        if step is Step.APPLIED:
            return Applied(self._base.document, self._wanted)
        if step is Step.CONFLICT and self._found is not None:
            return Refused(self._found, self._wanted)
        return self._unconfirmed()

    def give_up(self) -> Failure:
        """Return what is known after `settle` was cancelled."""
        if self._may_take_effect:
            return self._unconfirmed()
        return Failure(
            ResultCode.STORE_UNAVAILABLE,
            'the store accepted no call in time; nothing was written',
        )

    async def _run_steps(self) -> Step:
        step = Step.WRITE
        failures = 0
        while step in {Step.WRITE, Step.READ_BACK} and not self._refusal:
            if failures:
                await _pause(failures)
            failures += 1
            if step is Step.WRITE:
                step = after_write(await self._write())
            else:
                step = await self._read_back()
        return step

    async def _write(self) -> WriteAnswer:
        may_have = self._may_take_effect
        # A cancelled call may still reach the store.
        self._may_take_effect = True
        answer = await self._store.put(
            CURRENT_KEY,
            self._text,
            self._base.version,
        )
        if isinstance(answer, int):
            return WriteAnswer.WRITTEN
        if isinstance(answer, Failure) and answer.run is RunState.UNKNOWN:
            return WriteAnswer.LOST
        self._may_take_effect = may_have
        if not isinstance(answer, Failure):
            return WriteAnswer.CONFLICT
        if answer.code is ResultCode.VALUE_TOO_LARGE:
            self._refusal = answer
        return WriteAnswer.NOT_SENT

    async def _read_back(self) -> Step:
        stored = await read_base(self._store)
        if isinstance(stored, Failure):
            return Step.READ_BACK
        self._found = stored.document
        return after_read(self._wanted, stored.document)

    def _unconfirmed(self) -> Failure:
        change_id = self._wanted.change_id
        return Failure(
            ResultCode.APPLY_UNCONFIRMED,
            f'the store did not tell whether change {change_id!r} took '
            "effect; 'boragespool audit' shows it if it did",
            RunState.UNKNOWN,
        )


async def _pause(failures: int) -> None:
    delay_s = backoff_s(
        failures,
        _FIRST_PAUSE_S,
        _LONGEST_PAUSE_S,
        random.random(),
    )
    await asyncio.sleep(delay_s)
