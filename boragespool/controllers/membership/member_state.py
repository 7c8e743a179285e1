"""Member table of one daemon, and the effects of its changes.

Owns the table. On changes it posts `MEMBERS`, updates the addresses and links
of the peers, and logs changes of status.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from boragespool import membership
from boragespool.blackboard.topics import MEMBERS
from boragespool.events import Event, log_event
from boragespool.messages import Gossip, MemberRecord
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.controllers.context import Context
    from boragespool.types import HostName


class MemberState:
    """Latest member table of one daemon.

    Parameters
    ----------
    context : Context
        Identity, blackboard, timers and peers of the daemon.
    options : MembershipOptions
        Intervals, timeouts and limits.
    """

    def __init__(
        self,
        context: Context,
        options: membership.MembershipOptions,
    ) -> None:
        """Start with only the record of this daemon."""
        self.table = membership.MemberTable(_own_record(context))
        self.options = options
        #: Health score, see `boragespool.membership.health`.
        self.health = 0
        self._context = context

    @property
    def own(self) -> MemberRecord:
        """Record that this daemon publishes about itself."""
        return self.table.own

    @property
    def scaled_options(self) -> membership.MembershipOptions:
        """Options with timeouts scaled by the current health score."""
        return membership.scale_timeouts(self.options, self.health)

    @property
    def now_s(self) -> float:
        """Current time of the monotonic clock, in seconds."""
        return self._context.timers.now_s()

    def post(self) -> None:
        """Post the records of all members, including this daemon."""
        self._context.board.post(
            MEMBERS, membership.all_records_by_host(self.table)
        )

    def apply(self, table: membership.MemberTable) -> None:
        """Replace the table; post it unless only loads changed.

        Subscribers recompute the assignment of backend servers at each post,
        which is too expensive for every change of a load.
        """
        before = self.table
        self.table = table
        changed = _must_post(before.own, table.own)
        if before.members_by_host is not table.members_by_host:
            changed |= self._apply_changes_to_peers(before)
        if changed:
            self.post()

    def receive(
        self,
        records: tuple[MemberRecord, ...],
        sender: HostName,
    ) -> None:
        """Merge the records of a received message into the table.

        The health score rises if this daemon had to refute a record that
        marks it as suspect or dead.
        """
        beat = self.own.beat
        self.apply(
            membership.merge_message(
                self.table,
                records,
                sender,
                self.now_s,
                self.options,
                is_bulk=len(records) > self.options.record_count,
            ),
        )
        if self.own.beat > beat:
            self.health = membership.score_after_suspicion(
                self.health,
                self.options.health_limit,
            )

    def compose_records(self, host: HostName) -> tuple[MemberRecord, ...]:
        """Return the records to send to a host; update the send counts."""
        records_and_table = membership.compose_message(
            self.table, host, self.options
        )
        self.table = records_and_table[1]
        return records_and_table[0]

    def update_own(self, **fields: Any) -> None:
        """Change fields of the own record and gossip it at once.

        This increments the beat of the record.
        """
        own = replace(self.own, beat=self.own.beat + 1, **fields)
        self.apply(
            membership.update_own_record(
                self.table, own, self.now_s, self.options
            ),
        )
        self.send_to_random(own, self.options.leave_count)

    def send_to_random(self, record: MemberRecord, count: int) -> None:
        """Send a record to `count` random members at once, between pings."""
        hosts = membership.choose_random_hosts(
            self.hosts_not_dead(),
            count,
            self._context.draw,
        )
        self.send_record(hosts, record)

    def send_record(
        self,
        hosts: Iterable[HostName],
        record: MemberRecord,
    ) -> None:
        """Send a record to the given hosts."""
        for host in hosts:
            self._context.peers.send(host, Gossip((record,)))

    def send_member_table(self, host: HostName) -> None:
        """Send the records of all other members to a newly started daemon."""
        members = tuple(self.table.members_by_host.values())
        count = self.options.join_record_count
        for start in range(0, len(members), count):
            chunk = members[start : start + count]
            self._context.peers.send(host, Gossip(chunk))

    def hosts_not_dead(self) -> frozenset[HostName]:
        """Return the hosts of the other members that are not dead."""
        return frozenset(
            host
            for host, member in self.table.members_by_host.items()
            if member.status != MemberStatus.DEAD
        )

    def _apply_changes_to_peers(self, before: membership.MemberTable) -> bool:
        """Update the peer of each changed member, and log changes of status.

        Return whether a change has to be posted.
        """
        changed = len(before.members_by_host) > len(self.table.members_by_host)
        for host, member in self.table.members_by_host.items():
            previous = before.members_by_host.get(host)
            if previous is not member and _must_post(previous, member):
                changed = True
                self._update_peer(previous, member)
        return changed

    def _update_peer(
        self,
        previous: MemberRecord | None,
        member: MemberRecord,
    ) -> None:
        """Update the address and link of a member, and log a new status."""
        self._context.peers.set_address(member.host, member.peer_address)
        if member.status == MemberStatus.DEAD:
            self._context.peers.close_link(member.host)
        if previous is None or previous.status != member.status:
            _log_status(self.own.host, member)


def _must_post(
    previous: MemberRecord | None,
    member: MemberRecord,
) -> bool:
    return (
        previous is None
        or membership.precedence_changed(previous, member)
        or previous.revision != member.revision
    )


def _own_record(context: Context) -> MemberRecord:
    identity = context.identity
    return MemberRecord(
        host=identity.host,
        incarnation=identity.incarnation,
        beat=0,
        status=MemberStatus.ALIVE,
        data_centre=identity.data_centre,
        region=identity.region,
        peer_address=identity.peer_address,
        caller_address=identity.caller_address,
    )


def _log_status(observer: HostName, member: MemberRecord) -> None:
    status = member.status.value
    log_event(
        Event.MEMBER_STATUS_CHANGED,
        f'member {member.host!r} is {status}',
        observer=observer,
        host=member.host,
        status=status,
        incarnation=member.incarnation,
        beat=member.beat,
    )
