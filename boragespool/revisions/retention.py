"""Which stored values may be removed.

The store has no call that removes a key; a value is removed by writing an
empty one. Three rules make this safe without a lock:

* A part is emptied only by a compare-and-swap on a version of it that was
  read before a manifest that retires it was accepted.
* A writer relies on a part only if the manifest that it replaces refers to
  it, or if the writer has written it itself, which raises its version.
* A manifest is accepted only in place of the one that its writer read, so
  that a writer knows of every part that was retired before.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.revisions.manifest import History, ReplacedPart

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from boragespool.revisions.parts import PartHash
    from boragespool.types import Revision

#: Replaced revisions that can be rolled back to: those that the audit trail
#: lists.
KEPT_REVISIONS: Final = 100

#: Replaced parts that the history lists, about 0.5 MB of the 1 MB that a
#: value may have. Large changes shorten the row of kept revisions.
REPLACED_LIMIT: Final = 8_000


@dataclass(frozen=True, slots=True)
class RetentionPlan:
    """What the next revision keeps and gives up.

    Attributes
    ----------
    replaced : tuple of Replaced
        Parts that kept revisions need, oldest first.
    due : tuple of str
        Parts to retire.
    kept_from : int
        Lowest revision that can be rolled back to.
    """

    replaced: tuple[ReplacedPart, ...]
    parts_to_retire: tuple[PartHash, ...]
    kept_from: Revision


def plan_retention(
    history: History,
    base: Revision,
    held: AbstractSet[PartHash],
    wanted: AbstractSet[PartHash],
) -> RetentionPlan:
    """Decide what may be removed after the next revision.

    Parameters
    ----------
    history : History
        History of the replaced revision.
    base : int
        Replaced revision.
    held, wanted : set of str
        Hashes to which the replaced and the next revision refer.

    Returns
    -------
    Retention
        A part is due if no revision from `kept_from` on refers to it. The
        replaced revision itself is always kept.
    """
    replaced = [one for one in history.replaced if one.part not in wanted]
    replaced.extend(ReplacedPart(part, base) for part in sorted(held - wanted))
    kept_from = max(history.kept_from, base + 1 - KEPT_REVISIONS)
    if len(replaced) > REPLACED_LIMIT:
        first_kept = replaced[-REPLACED_LIMIT]
        kept_from = max(kept_from, min(base, first_kept.revision + 1))
    return RetentionPlan(
        tuple(one for one in replaced if one.revision >= kept_from),
        tuple(one.part for one in replaced if one.revision < kept_from),
        kept_from,
    )
