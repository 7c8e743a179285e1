"""Merges received records into the member table."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from boragespool.membership.merging import (
    merge_records,
    precedence_changed,
    refute,
)
from boragespool.membership.spreading import Rumour
from boragespool.membership.table import (
    drop_member,
    queue_rumour,
    store_record,
    update_own_record,
)
from boragespool.membership.view import is_kept, kept_hosts
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.membership.options import MembershipOptions
    from boragespool.membership.table import MemberTable
    from boragespool.messages import MemberRecord
    from boragespool.types import HostName, Seconds


def merge_message(
    table: MemberTable,
    records: Iterable[MemberRecord],
    sender: HostName,
    now_s: Seconds,
    options: MembershipOptions,
    *,
    is_bulk: bool = False,
) -> MemberTable:
    """Merge the records of one message into the member table.

    Parameters
    ----------
    table : MemberTable
        Table before the message.
    records : iterable of MemberRecord
        Records of the message.
    sender : str
        Host that sent the message.
    now_s : float
        Monotonic time in seconds.
    options : MembershipOptions
        Limits and timeouts.
    is_bulk : bool
        Whether the message is part of the whole member table that a new
        daemon gets. The other daemons know these records already, so they are
        not spread again.

    Returns
    -------
    MemberTable
        Table after the message.
    """
    rumours = table.rumours_by_host
    for record in records:
        if record.host == table.own.host:
            own = refute(table.own, record)
            table = update_own_record(table, own, now_s, options)
        else:
            table = _merge_received(
                table,
                record,
                now_s,
                options,
                is_direct=record.host == sender,
            )
    return replace(table, rumours_by_host=rumours) if is_bulk else table


def _merge_received(
    table: MemberTable,
    record: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
    *,
    is_direct: bool,
) -> MemberTable:
    known = table.members_by_host.get(record.host)
    if known is None:
        return _merge_unknown(table, record, now_s, options)
    merged = merge_records(known, record, is_direct=is_direct)
    if merged is known:
        return table
    if precedence_changed(known, merged):
        return store_record(table, merged, now_s, options)
    members = {**table.members_by_host, record.host: merged}
    return replace(table, members_by_host=members)


def _merge_unknown(
    table: MemberTable,
    record: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Add a new member, or only pass on that it is leaving or dead."""
    rumour = table.rumours_by_host.get(record.host)
    if rumour is not None:
        merged = merge_records(rumour.record, record)
        if not precedence_changed(rumour.record, merged):
            return table
    is_dead = record.status == MemberStatus.DEAD
    if not is_dead and is_kept(
        table.own,
        record,
        table.members_by_host,
        options.remote_count,
    ):
        return _evict_excess_members(
            store_record(table, record, now_s, options),
            record,
            now_s,
            options,
        )
    if is_dead or record.status == MemberStatus.LEAVING:
        return queue_rumour(table, record, now_s, options)
    return table


def _evict_excess_members(
    table: MemberTable,
    record: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Drop members of the record's data centre beyond `remote_count`."""
    if record.data_centre == table.own.data_centre:
        return table
    kept = kept_hosts(
        table.own.host,
        record.data_centre,
        table.members_by_host,
        options.remote_count,
    )
    for member in tuple(table.members_by_host.values()):
        is_candidate = (
            member.data_centre == record.data_centre
            and member.status != MemberStatus.DEAD
        )
        if is_candidate and member.host not in kept:
            table = _evict_member(table, member, now_s, options)
    return table


def _evict_member(
    table: MemberTable,
    member: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Drop a member from the table.

    For a leaving one, a rumour that is not sent is kept, so that older records
    are ignored.
    """
    rumours = dict(table.rumours_by_host)
    if member.status == MemberStatus.LEAVING:
        unsent_rumour = Rumour(member, 0, now_s + options.dead_keep_s)
        rumours.setdefault(member.host, unsent_rumour)
    else:
        rumours.pop(member.host, None)
    table = replace(table, rumours_by_host=rumours)
    return drop_member(table, member.host)
