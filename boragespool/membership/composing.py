"""Which records a daemon sends to a member."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from boragespool.membership.spreading import choose_records
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.membership.options import MembershipOptions
    from boragespool.membership.spreading import Rumour
    from boragespool.membership.table import MemberTable
    from boragespool.messages import MemberRecord
    from boragespool.types import HostName


def compose_message(
    table: MemberTable,
    target: HostName,
    options: MembershipOptions,
) -> tuple[tuple[MemberRecord, ...], MemberTable]:
    """Choose the records of one message to a member.

    Returns
    -------
    tuple of MemberRecord, MemberTable
        At most ``options.record_count`` records: the own one; what is said
        about the target, if it has to refute it; changes; a sample.
    """
    first = [table.own]
    about = table.members_by_host.get(target)
    if about is not None and about.status != MemberStatus.ALIVE:
        first.append(about)
    named = {record.host for record in first}
    chosen, position = choose_records(
        {
            host: rumour
            for host, rumour in table.rumours_by_host.items()
            if host not in named
        },
        _sample(table, named),
        table.position,
        options.record_count - len(first),
    )
    sent = (*first, *chosen)
    return sent, replace(
        table,
        position=position,
        rumours_by_host=_count_sends(table, sent),
    )


def _sample(table: MemberTable, named: set[HostName]) -> list[MemberRecord]:
    """Return the records of the rotating sample.

    Dead records are spread as changes only: in the sample they would return
    from daemons that learned of the death late.
    """
    return [
        record
        for host, record in table.members_by_host.items()
        if host not in named and record.status != MemberStatus.DEAD
    ]


def _count_sends(
    table: MemberTable,
    sent: Iterable[MemberRecord],
) -> dict[HostName, Rumour]:
    rumours = dict(table.rumours_by_host)
    for record in sent:
        rumour = rumours.get(record.host)
        if rumour is not None and rumour.sends_left:
            left = rumour.sends_left - 1
            rumours[record.host] = replace(rumour, sends_left=left)
    return rumours
