"""Estimated queueing time of new work at one backend server."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragespool.types import Seconds


#: Share of the slots assumed for a rank without a floor while higher ranks use
#: all slots. The estimate stays finite because their demand may end.
_MIN_SHARE: Final = 0.02


@dataclass(frozen=True, slots=True)
class RankLoad:
    """Queue length and slot usage of one rank.

    Attributes
    ----------
    waiting : int
        Number of queued pieces of work.
    ahead : int
        Number of those that are served before the new work.
    mean_service_s : float
        Mean service time in seconds.
    usage_slots : float
        Number of slots held, averaged over about the last second.
    floor : float
        Guaranteed share of the slots, 0 to 1.
    """

    waiting: int
    ahead: int
    mean_service_s: Seconds
    usage_slots: float
    floor: float


def estimate_wait_s(
    loads: Sequence[RankLoad],
    position: int,
    slots: int,
    free_slots: int,
    *,
    lower_floors_first: bool = True,
) -> Seconds:
    """Estimate how long new work of a rank waits for a slot.

    Parameters
    ----------
    loads : sequence of RankLoad
        Load by rank, highest rank first.
    position : int
        Index of the rank of the new work.
    slots, free_slots : int
        Number of slots of the server, and of those that are idle.
    lower_floors_first : bool
        Whether the floors of lower ranks with queued work are subtracted from
        the slots that are left to the rank.

    Returns
    -------
    float
        Seconds; infinity without slots. The shorter of two estimates: by
        priority, the work waits for all queued work of higher ranks and uses
        the slots that they leave; by the floor, it waits for the queued work
        of its own rank alone and uses the guaranteed slots.
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
    lower_floors_share = sum(
        load.floor
        for load in loads[position + 1 :]
        if load.waiting and lower_floors_first
    )
    left_share = max(1 - used_share - lower_floors_share, own.floor, _MIN_SHARE)
    return min(
        _drain_time_s(higher_slot_s + own_slot_s, left_share * slots),
        _drain_time_s(own_slot_s, own.floor * slots),
    )


def _drain_time_s(slot_s: float, slots: float) -> Seconds:
    if not slot_s:
        return 0
    return slot_s / slots if slots > 0 else math.inf
