"""What became of a write whose answer may have been lost.

A write carries its own change id. A conflict or a lost answer is never taken
at face value: an earlier attempt of the same write may have taken effect, so
the stored document is read back and its change id decides.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.revisions.document import RevisionDocument


class WriteAnswer(enum.Enum):
    """What the store said to a compare-and-swap."""

    WRITTEN = 'written'
    CONFLICT = 'conflict'
    NOT_SENT = 'not sent'
    LOST = 'lost'


class WriteStep(enum.Enum):
    """What the writer does next, or how the write ended."""

    APPLIED = 'applied'
    CONFLICT = 'conflict'
    UNCONFIRMED = 'unconfirmed'
    WRITE = 'write'
    READ_BACK = 'read back'


def next_step_after_write(answer: WriteAnswer) -> WriteStep:
    """Return the step that follows an answer to a write.

    Parameters
    ----------
    answer : WriteAnswer
        Answer of the store, or its absence.

    Returns
    -------
    Step
        ``APPLIED`` only for an explicit success.
    """
    if answer is WriteAnswer.WRITTEN:
        return WriteStep.APPLIED
    if answer is WriteAnswer.NOT_SENT:
        return WriteStep.WRITE
    return WriteStep.READ_BACK


def next_step_after_read(
    sent: RevisionDocument,
    found: RevisionDocument | None,
) -> WriteStep:
    """Return the step that follows reading the stored document.

    Parameters
    ----------
    sent : RevisionDocument
        Document that was written, possibly without effect.
    found : RevisionDocument or None
        Document that the store holds; None if it holds none.

    Returns
    -------
    Step
        ``WRITE`` sends the same document again with the same expected
        version. This is safe: the compare-and-swap lets it take effect at
        most once, also if the first attempt is only delayed.
        ``UNCONFIRMED`` if the audit trail no longer reaches back to the
        revision that was written.
    """
    if found is None or found.revision < sent.revision:
        return WriteStep.WRITE
    for entry in found.audit:
        if entry.revision == sent.revision:
            is_own = entry.change_id == sent.change_id
            return WriteStep.APPLIED if is_own else WriteStep.CONFLICT
    return WriteStep.UNCONFIRMED
