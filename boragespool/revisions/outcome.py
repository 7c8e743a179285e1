"""Steps of a compare-and-swap write when answers may be lost.

A conflict or a lost answer does not tell whether the write took effect: an
earlier attempt of the same write may have succeeded. The stored document is
therefore read back, and the change id in its audit trail tells whether the
write was applied.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.revisions.document import RevisionDocument


class WriteAnswer(enum.Enum):
    """Answer of the store to a compare-and-swap, or why there is none.

    ``NOT_SENT``: the call failed and certainly had no effect. ``LOST``: no
    answer arrived; the write may have taken effect.
    """

    WRITTEN = 'written'
    CONFLICT = 'conflict'
    NOT_SENT = 'not sent'
    LOST = 'lost'


class WriteStep(enum.Enum):
    """Next step of a writer, or the final state of its write.

    ``WRITE`` and ``READ_BACK`` are steps, the others are final.
    """

    APPLIED = 'applied'
    CONFLICT = 'conflict'
    UNCONFIRMED = 'unconfirmed'
    WRITE = 'write'
    READ_BACK = 'read back'


def next_step_after_write(answer: WriteAnswer) -> WriteStep:
    """Return the step that follows an attempt to write.

    Parameters
    ----------
    answer : WriteAnswer
        Answer of the store, or why there is none.

    Returns
    -------
    WriteStep
        ``APPLIED`` if the store confirmed the write, ``WRITE`` if the call
        had no effect, ``READ_BACK`` after a conflict or a lost answer.
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
    """Return the step that follows reading back the stored document.

    Parameters
    ----------
    sent : RevisionDocument
        Document of the write, which may not have taken effect.
    found : RevisionDocument or None
        Document in the store; None if there is none.

    Returns
    -------
    WriteStep
        ``WRITE`` if the store holds an older revision. The same document is
        then written again with the same expected version; the compare-and-swap
        ensures that it takes effect at most once, even if an earlier attempt
        is only delayed. ``APPLIED`` or ``CONFLICT`` if the audit trail lists
        the revision, ``UNCONFIRMED`` if it does not go back far enough.
    """
    if found is None or found.revision < sent.revision:
        return WriteStep.WRITE
    for entry in found.audit:
        if entry.revision == sent.revision:
            is_own = entry.change_id == sent.change_id
            return WriteStep.APPLIED if is_own else WriteStep.CONFLICT
    return WriteStep.UNCONFIRMED
