"""Reading revisions from the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from boragespool.results import Failure, ResultCode
from boragespool.revisions import (
    CURRENT_KEY,
    RevisionDocument,
    decode_document,
    revision_key,
)
from boragespool.store import Missing

if TYPE_CHECKING:
    from boragespool.store import Conflict, StoredValue
    from boragespool.types import Revision


class Store(Protocol):
    """The part of the store client that the commands call."""

    async def get(self, key: str) -> StoredValue | Missing | Failure:
        """Read one key."""
        ...

    async def put(
        self,
        key: str,
        value: str,
        expected_version: int,
    ) -> int | Conflict | Failure:
        """Write one key if its version is the expected one."""
        ...


@dataclass(frozen=True, slots=True)
class Base:
    """What the store holds for the configuration.

    Attributes
    ----------
    document : RevisionDocument or None
        None before the first revision.
    version : int
        Version of the key, for compare-and-swap.
    text : str
        Value as stored.
    """

    document: RevisionDocument | None = None
    version: int = 0
    text: str = ''


async def read_base(store: Store) -> Base | Failure:
    """Read the current revision.

    Returns
    -------
    Base or Failure
        ``STORE_UNAVAILABLE``, or ``INVALID_SETTING`` for a value that this
        release cannot read.
    """
    answer = await store.get(CURRENT_KEY)
    if isinstance(answer, Failure):
        return answer
    if isinstance(answer, Missing):
        return Base()
    document = decode_document(answer.value)
    if isinstance(document, Failure):
        return document
    return Base(document, answer.version, answer.value)


async def read_current(store: Store) -> RevisionDocument | Failure:
    """Read the current revision; a failure if there is none yet."""
    base = await read_base(store)
    if isinstance(base, Failure):
        return base
    return base.document or Failure(
        ResultCode.REVISION_UNKNOWN,
        'the store holds no revision yet; put one in force with '
        "'boragespool apply FOLDER'",
    )


async def read_revision(
    store: Store,
    revision: Revision,
) -> RevisionDocument | Failure:
    """Read a replaced revision."""
    answer = await store.get(revision_key(revision))
    if isinstance(answer, Failure):
        return answer
    if isinstance(answer, Missing):
        return Failure(
            ResultCode.REVISION_UNKNOWN,
            f'the store keeps no revision {revision!r}; allowed are replaced '
            "revisions, which 'boragespool audit' lists",
        )
    return decode_document(answer.value)
