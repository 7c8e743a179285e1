"""The members that one daemon knows, and how each event changes them."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from boragespool.membership.detection import suspicion_time_s
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
    """What one daemon knows; a new table replaces it at each event.

    Attributes
    ----------
    own : MemberRecord
        Record that this daemon publishes about itself.
    members_by_host : mapping of str to MemberRecord
        Other members.
    rumours_by_host : mapping of str to Rumour
        Changes that are being spread, also of members that are not kept.
    marked_s_by_host : mapping of str to float
        Monotonic time since which a member is suspected or dead.
    position : int
        Where the rotating sample continues.
    """

    own: MemberRecord
    members_by_host: Mapping[HostName, MemberRecord] = field(
        default_factory=dict,
    )
    rumours_by_host: Mapping[HostName, Rumour] = field(default_factory=dict)
    marked_s_by_host: Mapping[HostName, Seconds] = field(default_factory=dict)
    position: int = 0


def all_records_by_host(table: MemberTable) -> dict[HostName, MemberRecord]:
    """Return all records, the own one included."""
    return {**table.members_by_host, table.own.host: table.own}


def update_own_record(
    table: MemberTable,
    own: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Replace the own record; spread it if its precedence rose."""
    changed = precedence_changed(table.own, own)
    table = replace(table, own=own)
    return spread_record(table, own, now_s, options) if changed else table


def suspect(
    table: MemberTable,
    tested: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Suspect a member that answered neither directly nor to helpers.

    Parameters
    ----------
    tested : MemberRecord
        Record at the time of the ping. Nothing happens if a newer one
        arrived since then.
    """
    known = table.members_by_host.get(tested.host)
    if known is None or precedence_changed(known, tested):
        return table
    marked = {tested.host: now_s, **table.marked_s_by_host}
    table = replace(table, marked_s_by_host=marked)
    if known.status != MemberStatus.ALIVE:
        return table
    return store_record(
        table,
        replace(known, status=MemberStatus.SUSPECT),
        now_s,
        options,
    )


def clear_leaving_suspicion(table: MemberTable, host: HostName) -> MemberTable:
    """Clear the doubt about a leaving member that answered.

    A suspect has to refute by a higher beat, so that all peers learn it.
    """
    member = table.members_by_host.get(host)
    if member is None or member.status != MemberStatus.LEAVING:
        return table
    return unmark(table, host)


def expire_members(
    table: MemberTable,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Call members dead that did not refute in time; drop old dead ones."""
    limit_s = suspicion_time_s(
        options.suspicion_s,
        len(table.members_by_host),
    )
    for host, marked_s in tuple(table.marked_s_by_host.items()):
        member = table.members_by_host[host]
        age_s = now_s - marked_s
        if member.status == MemberStatus.DEAD:
            if age_s >= options.dead_keep_s:
                table = drop_member(table, host)
        elif age_s >= limit_s:
            dead = replace(member, status=MemberStatus.DEAD)
            table = store_record(table, dead, now_s, options)
    return replace(table, rumours_by_host=_live_rumours(table, now_s))


def restart_suspicion_timers(table: MemberTable, now_s: Seconds) -> MemberTable:
    """Restart the time of all suspicions.

    For a daemon that was paused itself: answers and refutations wait unread
    in its sockets.
    """
    marked = dict.fromkeys(table.marked_s_by_host, now_s)
    return replace(table, marked_s_by_host=marked)


def store_record(
    table: MemberTable,
    record: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Replace a member's record by one of higher precedence."""
    members = {**table.members_by_host, record.host: record}
    marked = dict(table.marked_s_by_host)
    marked.pop(record.host, None)
    if record.status in {MemberStatus.SUSPECT, MemberStatus.DEAD}:
        marked[record.host] = now_s
    table = replace(table, members_by_host=members, marked_s_by_host=marked)
    return spread_record(table, record, now_s, options)


def spread_record(
    table: MemberTable,
    record: MemberRecord,
    now_s: Seconds,
    options: MembershipOptions,
) -> MemberTable:
    """Send a record with the next messages, changes first."""
    sends = send_count(len(table.members_by_host), options.send_factor)
    rumour = Rumour(record, sends, now_s + options.dead_keep_s)
    rumours = {**table.rumours_by_host, record.host: rumour}
    return replace(table, rumours_by_host=rumours)


def unmark(table: MemberTable, host: HostName) -> MemberTable:
    """Clear the suspicion of a member."""
    marked = dict(table.marked_s_by_host)
    marked.pop(host, None)
    return replace(table, marked_s_by_host=marked)


def drop_member(table: MemberTable, host: HostName) -> MemberTable:
    """Forget a member."""
    members = dict(table.members_by_host)
    members.pop(host, None)
    return unmark(replace(table, members_by_host=members), host)


def _live_rumours(
    table: MemberTable,
    now_s: Seconds,
) -> dict[HostName, Rumour]:
    """Keep what is still sent, and what no member record remembers."""
    return {
        host: rumour
        for host, rumour in table.rumours_by_host.items()
        if rumour.sends_left
        or (rumour.until_s > now_s and host not in table.members_by_host)
    }
