"""Chooses the member records that one outgoing message carries."""

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
    """Choose the records of a message to a member.

    Parameters
    ----------
    table : MemberTable
        Table before the message.
    target : str
        Host that gets the message.
    options : MembershipOptions
        Maximum number of records.

    Returns
    -------
    tuple of MemberRecord, MemberTable
        At most ``options.record_count`` records, and the table with the sends
        counted. The records are that of this daemon, that of the target
        unless it is alive (so that the target can refute it), rumours, and a
        rotating sample of the other members.
    """
    first = [table.own]
    target_record = table.members_by_host.get(target)
    if target_record is not None and target_record.status != MemberStatus.ALIVE:
        first.append(target_record)
    first_hosts = {record.host for record in first}
    chosen, sample_position = choose_records(
        {
            host: rumour
            for host, rumour in table.rumours_by_host.items()
            if host not in first_hosts
        },
        _sample_records(table, first_hosts),
        table.sample_position,
        options.record_count - len(first),
    )
    sent = (*first, *chosen)
    return sent, replace(
        table,
        sample_position=sample_position,
        rumours_by_host=_count_sends(table, sent),
    )


def _sample_records(
    table: MemberTable,
    excluded: set[HostName],
) -> list[MemberRecord]:
    """Return the records from which the rotating sample is taken.

    Dead members are excluded and sent as rumours only. Otherwise daemons that
    learned of a death late would send the record to those that have already
    dropped it.
    """
    return [
        record
        for host, record in table.members_by_host.items()
        if host not in excluded and record.status != MemberStatus.DEAD
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
