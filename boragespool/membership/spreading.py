"""Which records a message carries."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from boragespool.messages import MemberRecord
    from boragespool.types import HostName, Seconds


@dataclass(frozen=True, slots=True)
class Rumour:
    """A change that is being spread.

    Attributes
    ----------
    sends_left : int
        Messages that still carry it. At 0 the entry only remembers that the
        change is known.
    until_s : float
        Monotonic time at which the entry is dropped.
    """

    record: MemberRecord
    sends_left: int
    until_s: Seconds


def send_count(member_count: int, send_factor: float) -> int:
    """Return how often one daemon sends a change."""
    return max(1, math.ceil(send_factor * math.log2(member_count + 2)))


def choose_records(
    rumours_by_host: Mapping[HostName, Rumour],
    sample: Sequence[MemberRecord],
    position: int,
    count: int,
) -> tuple[tuple[MemberRecord, ...], int]:
    """Return the records for one message and the next sample position.

    Parameters
    ----------
    rumours_by_host : mapping of str to Rumour
        Changes; those that were sent least often come first, then the
        latest.
    sample : sequence of MemberRecord
        Records to fill the message with, in a stable order.
    position : int
        Where the rotating sample continues.
    count : int
        Largest number of records.

    Returns
    -------
    tuple of MemberRecord, int
        At most `count` records with different hosts.
    """
    active = sorted(
        (rumour for rumour in rumours_by_host.values() if rumour.sends_left),
        key=lambda rumour: (-rumour.sends_left, -rumour.until_s),
    )
    chosen = {rumour.record.host: rumour.record for rumour in active[:count]}
    steps = min(count - len(chosen), len(sample))
    for offset in range(steps):
        record = sample[(position + offset) % len(sample)]
        chosen.setdefault(record.host, record)
    advanced = (position + steps) % len(sample) if sample else 0
    return tuple(chosen.values()), advanced
