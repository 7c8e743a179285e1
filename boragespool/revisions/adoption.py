"""Whether a received document replaces the one in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.results import Failure
from boragespool.revisions.encoding import decode_document

if TYPE_CHECKING:
    from boragespool.revisions.document import RevisionDocument


def adopt(
    current: RevisionDocument | None,
    encoded: str | bytes,
) -> RevisionDocument | Failure | None:
    """Decide about a document from the store or a peer.

    Parameters
    ----------
    current : RevisionDocument or None
        Document in force.
    encoded : str or bytes
        JSON of the candidate.

    Returns
    -------
    RevisionDocument or Failure or None
        The candidate if it is to be put in force; None if its revision is
        not higher than that of `current`; a failure if it is invalid. In
        the last two cases `current` stays in force.
    """
    candidate = decode_document(encoded)
    if isinstance(candidate, Failure) or is_newer(current, candidate):
        return candidate
    return None


def is_newer(
    current: RevisionDocument | None,
    candidate: RevisionDocument,
) -> bool:
    """Tell whether a candidate has a higher revision."""
    return current is None or candidate.revision > current.revision
