"""Selects changed records (rumours) and sampled records for messages.

Rumour mongering after Demers et al., "Epidemic algorithms for replicated
database maintenance", PODC 1987: each daemon sends a change a bounded number
of times.
"""

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
    """A changed record that is being spread to other members.

    Attributes
    ----------
    record : MemberRecord
        Record that changed.
    sends_left : int
        Number of further messages that will carry the record. An entry with
        0 is kept so that the change is not spread again when it is received
        again.
    until_s : float
        Monotonic time in seconds until which an entry with no sends left is
        kept, unless the member is in the table.
    """

    record: MemberRecord
    sends_left: int
    until_s: Seconds


def send_count(member_count: int, send_factor: float) -> int:
    """Return the number of messages in which one daemon sends a change."""
    return max(1, math.ceil(send_factor * math.log2(member_count + 2)))


def choose_records(
    rumours_by_host: Mapping[HostName, Rumour],
    sample: Sequence[MemberRecord],
    sample_position: int,
    count: int,
) -> tuple[tuple[MemberRecord, ...], int]:
    """Return the records for one message and the next sample position.

    Parameters
    ----------
    rumours_by_host : mapping of str to Rumour
        Rumours to send: those with the most sends left first, and among equals
        the latest.
    sample : sequence of MemberRecord
        Records that fill the rest of the message, in a stable order.
    sample_position : int
        Index in `sample` at which to continue.
    count : int
        Maximum number of records.

    Returns
    -------
    tuple of MemberRecord, int
        At most `count` records with different hosts, and the index in
        `sample` for the next message.
    """
    active = sorted(
        (rumour for rumour in rumours_by_host.values() if rumour.sends_left),
        key=lambda rumour: (-rumour.sends_left, -rumour.until_s),
    )
    chosen = {rumour.record.host: rumour.record for rumour in active[:count]}
    steps = min(count - len(chosen), len(sample))
    for offset in range(steps):
        record = sample[(sample_position + offset) % len(sample)]
        chosen.setdefault(record.host, record)
    advanced = (sample_position + steps) % len(sample) if sample else 0
    return tuple(chosen.values()), advanced
