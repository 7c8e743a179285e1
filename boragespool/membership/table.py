"""Member table of one daemon, and functions that return a changed table."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from boragespool.membership.detection import suspicion_timeout_s
from boragespool.membership.merging import precedence_changed
from boragespool.membership.spreading import Rumour, send_count
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.membership.options import MembershipOptions
    from boragespool.messages import MemberRecord
    from boragespool.types import HostName, Seconds


@dataclass(frozen=True, slots=True)
class MemberTable:
    """All that one daemon knows about the members; immutable.

    Attributes
    ----------
    own : MemberRecord
        Record that this daemon publishes about itself.
    members_by_host : mapping of str to MemberRecord
        Records of the other members that this daemon keeps.
    rumours_by_host : mapping of str to Rumour
        Changes that are being spread, including those of members that this
        daemon does not keep.
    unreachable_since_s_by_host : mapping of str to float
        Monotonic time in seconds since which a member is suspected or dead,
        or has not answered pings while leaving.
    sample_position : int
        Index at which the rotating sample of records continues.
    """

    own: MemberRecord
    members_by_host: Mapping[HostName, MemberRecord] = field(
        default_factory=dict,
    )
    rumours_by_host: Mapping[HostName, Rumour] = field(default_factory=dict)
    unreachable_since_s_by_host: Mapping[HostName, Seconds] = field(
        default_factory=dict
    )
    sample_position: int = 0


def all_records_by_host(table: MemberTable) -> dict[HostName, MemberRecord]:
    """Return the records of all members, this daemon included."""
    return {**table.members_by_host, table.own.host: table.own}


def update_own_record(
    table: MemberTable,
    own: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Replace this daemon's record and spread it if its precedence changed."""
    changed = precedence_changed(table.own, own)
    table = replace(table, own=own)
    return queue_rumour(table, own, now_s, options) if changed else table


def suspect(
    table: MemberTable,
    pinged: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Mark a member as suspect that answered no direct or indirect ping.

    Parameters
    ----------
    table : MemberTable
        Table before the change.
    pinged : MemberRecord
        Record of the member when the ping was sent. If a newer record has
        arrived since, the table is returned unchanged.
    now_s : float
        Monotonic time in seconds.
    options : MembershipOptions
        Limits and timeouts.

    Returns
    -------
    MemberTable
        Table after the change. A member that is not alive keeps its status.
        For a leaving one, the time of its first failed ping is recorded.
    """
    known = table.members_by_host.get(pinged.host)
    if known is None or precedence_changed(known, pinged):
        return table
    since_s_by_host = {pinged.host: now_s, **table.unreachable_since_s_by_host}
    table = replace(table, unreachable_since_s_by_host=since_s_by_host)
    if known.status != MemberStatus.ALIVE:
        return table
    return store_record(
        table,
        replace(known, status=MemberStatus.SUSPECT),
        now_s,
        options,
    )


def clear_leaving_suspicion(table: MemberTable, host: HostName) -> MemberTable:
    """Clear the suspicion of a leaving member that answered a ping.

    A member with the status suspect has to refute with a higher beat instead,
    so that all peers learn of it.
    """
    member = table.members_by_host.get(host)
    if member is None or member.status != MemberStatus.LEAVING:
        return table
    return clear_unreachable(table, host)


def expire_members(
    table: MemberTable,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Mark members dead after the suspicion timeout, and drop old entries.

    Dead members are dropped after ``options.dead_keep_s``, rumours once they
    are no longer needed.
    """
    timeout_s = suspicion_timeout_s(
        options.suspicion_s,
        len(table.members_by_host),
    )
    for host, unreachable_since_s in tuple(
        table.unreachable_since_s_by_host.items()
    ):
        member = table.members_by_host[host]
        age_s = now_s - unreachable_since_s
        if member.status == MemberStatus.DEAD:
            if age_s >= options.dead_keep_s:
                table = drop_member(table, host)
        elif age_s >= timeout_s:
            dead = replace(member, status=MemberStatus.DEAD)
            table = store_record(table, dead, now_s, options)
    return replace(table, rumours_by_host=_needed_rumours(table, now_s))


def restart_suspicion_timers(table: MemberTable, now_s: Seconds) -> MemberTable:
    """Restart the timeouts of all unreachable members, dead ones included.

    Used after this daemon itself was paused, when answers and refutations may
    still be unread in its sockets.
    """
    since_s_by_host = dict.fromkeys(table.unreachable_since_s_by_host, now_s)
    return replace(table, unreachable_since_s_by_host=since_s_by_host)


def store_record(
    table: MemberTable,
    record: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Store a member's record of higher precedence and spread it."""
    members = {**table.members_by_host, record.host: record}
    since_s_by_host = dict(table.unreachable_since_s_by_host)
    since_s_by_host.pop(record.host, None)
    if record.status in {MemberStatus.SUSPECT, MemberStatus.DEAD}:
        since_s_by_host[record.host] = now_s
    table = replace(
        table,
        members_by_host=members,
        unreachable_since_s_by_host=since_s_by_host,
    )
    return queue_rumour(table, record, now_s, options)


def queue_rumour(
    table: MemberTable,
    record: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Queue a changed record for the next messages."""
    sends = send_count(len(table.members_by_host), options.send_factor)
    rumour = Rumour(record, sends, now_s + options.dead_keep_s)
    rumours = {**table.rumours_by_host, record.host: rumour}
    return replace(table, rumours_by_host=rumours)


def clear_unreachable(table: MemberTable, host: HostName) -> MemberTable:
    """Forget since when a member has been unreachable."""
    since_s_by_host = dict(table.unreachable_since_s_by_host)
    since_s_by_host.pop(host, None)
    return replace(table, unreachable_since_s_by_host=since_s_by_host)


def drop_member(table: MemberTable, host: HostName) -> MemberTable:
    """Remove a member from the table."""
    members = dict(table.members_by_host)
    members.pop(host, None)
    return clear_unreachable(replace(table, members_by_host=members), host)


def _needed_rumours(
    table: MemberTable,
    now_s: Seconds,
) -> dict[HostName, Rumour]:
    """Return the rumours that are still needed.

    These are the ones still to be sent. Those of hosts that are not in the
    table are kept until they expire, so that the same change is not spread
    again.
    """
    return {
        host: rumour
        for host, rumour in table.rumours_by_host.items()
        if rumour.sends_left
        or (rumour.until_s > now_s and host not in table.members_by_host)
    }
