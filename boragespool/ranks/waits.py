"""Estimated queueing time of new work at one backend server."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragespool.types import Seconds


#: Assumed for a rank without a floor while higher ranks use all slots, as
#: their demand may end.
_LEAST_SHARE: Final = 0.02


@dataclass(frozen=True, slots=True)
class RankLoad:
    """What one rank holds and waits for.

    Attributes
    ----------
    waiting : int
        Queued work.
    ahead : int
        Queued work of the rank that is served before the new work.
    mean_service_s : float
        Mean slot time of one piece of work.
    usage_slots : float
        Slots held on average in the last second.
    floor : float
        Guaranteed share of the slots, 0 to 1.
    """

    waiting: int
    ahead: int
    mean_service_s: Seconds
    usage_slots: float
    floor: float


def wait_s(
    loads: Sequence[RankLoad],
    position: int,
    slots: int,
    free_slots: int,
    *,
    owes_floors: bool = True,
) -> Seconds:
    """Estimate how long new work of a rank waits for a slot.

    Parameters
    ----------
    loads : sequence of RankLoad
        Most important rank first.
    position : int
        Index of the rank of the new work.
    slots, free_slots : int
        Slots in use or usable, and those of them that are idle.
    owes_floors : bool
        Whether lower ranks are served up to their floors before the rank.

    Returns
    -------
    float
        Seconds; the shorter of two paths: by priority, after all queued work
        of higher ranks and with the slots that these leave; and by the floor,
        after the queued work of the own rank alone.
    """
    own = loads[position]
    higher = loads[:position]
    if free_slots and not any(load.waiting for load in (*higher, own)):
        return 0
    if not slots:
        return math.inf
    own_slot_s = (own.ahead + 1) * own.mean_service_s
    higher_slot_s = sum(load.waiting * load.mean_service_s for load in higher)
    used_share = sum(load.usage_slots for load in higher) / slots
    owed_share = sum(
        load.floor
        for load in loads[position + 1 :]
        if load.waiting and owes_floors
    )
    left_share = max(1 - used_share - owed_share, own.floor, _LEAST_SHARE)
    return min(
        _quotient(higher_slot_s + own_slot_s, left_share * slots),
        _quotient(own_slot_s, own.floor * slots),
    )


def _quotient(slot_s: float, slots: float) -> Seconds:
    if not slot_s:
        return 0
    return slot_s / slots if slots > 0 else math.inf
