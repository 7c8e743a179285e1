"""Retention of replaced revisions, and removal of unused parts.

The store has no call that deletes a key; a part is removed by writing an empty
value. Three rules make this safe without a lock:

* A part is emptied only by a compare-and-swap. The expected version was read
  before the manifest that retires the part was written.
* A writer relies on a part in the store only if the manifest that it replaces
  refers to the part. It writes all other parts itself, which increments their
  version.
* A manifest is written by a compare-and-swap on the manifest that its writer
  read. A writer therefore knows all parts that were retired before.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.revisions.manifest import History, ReplacedPart

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from boragespool.revisions.parts import PartHash
    from boragespool.types import Revision

#: Maximum number of replaced revisions that can be rolled back to. The audit
#: trail lists as many.
KEPT_REVISIONS: Final = 100

#: Maximum number of replaced parts in the history. They take about 0.5 MB of
#: the store's 1 MB per value. After large changes, fewer revisions are kept.
REPLACED_PART_LIMIT: Final = 8_000


@dataclass(frozen=True, slots=True)
class RetentionPlan:
    """Replaced parts that the next revision keeps, and those that it retires.

    Attributes
    ----------
    replaced : tuple of ReplacedPart
        Parts needed only by replaced revisions that are kept, oldest first.
    parts_to_retire : tuple of str
        Hashes of the parts that no kept revision refers to.
    kept_from : int
        Lowest revision that can be rolled back to.
    """

    replaced: tuple[ReplacedPart, ...]
    parts_to_retire: tuple[PartHash, ...]
    kept_from: Revision


def plan_retention(
    history: History,
    base: Revision,
    base_hashes: AbstractSet[PartHash],
    next_hashes: AbstractSet[PartHash],
) -> RetentionPlan:
    """Decide which parts to keep and to retire with the next revision.

    Parameters
    ----------
    history : History
        History of the replaced revision.
    base : int
        Number of the replaced revision.
    base_hashes, next_hashes : set of str
        Hashes that the replaced and the next revision refer to.

    Returns
    -------
    RetentionPlan
        A part is retired if no revision from `kept_from` on refers to it. The
        replaced revision itself is always kept.
    """
    replaced = [
        entry for entry in history.replaced if entry.part not in next_hashes
    ]
    replaced.extend(
        ReplacedPart(part, base) for part in sorted(base_hashes - next_hashes)
    )
    kept_from = max(history.kept_from, base + 1 - KEPT_REVISIONS)
    if len(replaced) > REPLACED_PART_LIMIT:
        oldest_within_limit = replaced[-REPLACED_PART_LIMIT]
        kept_from = max(kept_from, min(base, oldest_within_limit.revision + 1))
    return RetentionPlan(
        tuple(entry for entry in replaced if entry.revision >= kept_from),
        tuple(entry.part for entry in replaced if entry.revision < kept_from),
        kept_from,
    )
