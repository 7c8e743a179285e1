"""Sends the pings of one daemon: failure detection, joining and seeds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from boragespool import membership
from boragespool.messages import Ack, MemberRecord, Ping, PingRequest
from boragespool.tasks import TaskSet
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from boragespool.controllers.context import Context
    from boragespool.controllers.membership.member_state import MemberState
    from boragespool.types import Address, HostName, Seconds

#: Number of answered pings after the start that ask for the whole member
#: table, and of seeds that are pinged at once to join.
_JOIN_PING_COUNT: Final = 3


class Pinger:
    """Pings members, and suspects those that do not answer.

    Parameters
    ----------
    context : Context
        Peer network and random numbers of the daemon.
    state : MemberState
        Member table that is updated.
    seeds : callable
        Returns peer addresses by host, which are pinged to join.
    """

    def __init__(
        self,
        context: Context,
        state: MemberState,
        seeds: Callable[[], Mapping[HostName, Address]],
    ) -> None:
        """Start with an empty ping round and as a daemon that joins."""
        self._context = context
        self._state = state
        self._seeds = seeds
        self._ping_round = membership.PingRound()
        self._join_pings_left = _JOIN_PING_COUNT
        self._tasks = TaskSet()

    async def close(self) -> None:
        """Cancel the pings that are waiting for an answer."""
        await self._tasks.close()

    def ping_next(self) -> None:
        """Start to probe the next member of the ping round."""
        host_and_round = membership.next_target(
            self._ping_round,
            self._state.hosts_not_dead(),
            self._context.draw,
        )
        self._ping_round = host_and_round[1]
        if host_and_round[0] is not None:
            target = self._state.table.members_by_host[host_and_round[0]]
            self._tasks.spawn(self._probe(target))

    def join(self) -> None:
        """Ask a member of the own data centre, or seeds, for the member table.

        Do nothing after `_JOIN_PING_COUNT` of these pings were answered.
        """
        if not self._join_pings_left:
            return
        state = self._state
        local_hosts = [
            host
            for host in state.hosts_not_dead()
            if _data_centre_of(state, host) == state.own.data_centre
        ]
        if not local_hosts:
            self.ping_seeds(_JOIN_PING_COUNT)
        for host in membership.choose_random_hosts(
            local_hosts, 1, self._context.draw
        ):
            self._tasks.spawn(self._ping_to_join(host))

    def ping_seeds(self, count: int) -> None:
        """Ping up to `count` random seeds that are not live members."""
        present = self._state.hosts_not_dead() | {self._state.own.host}
        absent = {
            host: address
            for host, address in self._seeds().items()
            if host not in present
        }
        for host in membership.choose_random_hosts(
            absent, count, self._context.draw
        ):
            self._context.peers.set_address(host, absent[host])
            self._tasks.spawn(self._ping_to_join(host))

    def ping_dead_member(self) -> None:
        """Ping a random dead member, in case a partition has ended."""
        dead_hosts = [
            host
            for host, member in self._state.table.members_by_host.items()
            if member.status == MemberStatus.DEAD
        ]
        for host in membership.choose_random_hosts(
            dead_hosts, 1, self._context.draw
        ):
            self._tasks.spawn(self._ping_to_join(host))

    async def ping(
        self,
        host: HostName,
        timeout_s: Seconds,
        *,
        join: bool = False,
    ) -> bool:
        """Exchange records with a host; return whether it answered."""
        ack = await self._context.peers.request(
            host,
            Ping(self._state.compose_records(host), join),
            timeout_s,
        )
        if not isinstance(ack, Ack):
            return False
        self._state.receive(ack.records, host)
        return True

    async def _ping_to_join(self, host: HostName) -> None:
        """Ping a host; while joining, ask for its whole member table."""
        timeout_s = self._state.options.ping_timeout_s
        reached = await self.ping(
            host, timeout_s, join=self._join_pings_left > 0
        )
        if reached and self._join_pings_left:
            self._join_pings_left -= 1

    async def _probe(self, target: MemberRecord) -> None:
        """Ping a member directly, then by helpers; suspect it if both fail.

        A suspected member is sent its record, so that it can refute.
        """
        state = self._state
        host = target.host
        started_s = state.now_s
        timeout_s = state.scaled_options.ping_timeout_s
        if await self.ping(host, timeout_s) or await self._ping_through_helpers(
            target,
            timeout_s,
        ):
            state.apply(membership.clear_leaving_suspicion(state.table, host))
            return
        # The timeouts add up to less. A longer time means that this daemon
        # was paused or overloaded, so the missing answers prove nothing.
        if state.now_s - started_s > 4 * timeout_s:
            return
        state.apply(
            membership.suspect(
                state.table,
                target,
                state.now_s,
                state.options,
            ),
        )
        member = state.table.members_by_host.get(host)
        if member is not None and member.status == MemberStatus.SUSPECT:
            state.send_record((host,), member)

    async def _ping_through_helpers(
        self,
        target: MemberRecord,
        timeout_s: Seconds,
    ) -> bool:
        """Ask helpers to ping a member; return whether it answered any of them.

        The helpers are members of its data centre, which all have its record.
        If none is known there, any members are asked.
        """
        others = self._state.hosts_not_dead() - {target.host}
        near_hosts = {
            host
            for host in others
            if _data_centre_of(self._state, host) == target.data_centre
        }
        helpers = membership.choose_random_hosts(
            near_hosts or others,
            self._state.options.helper_count,
            self._context.draw,
        )
        replies = await asyncio.gather(
            *(
                self._context.peers.request(
                    helper,
                    PingRequest(target.host),
                    2 * timeout_s,
                )
                for helper in helpers
            ),
        )
        return any(
            isinstance(reply, Ack) and reply.reached for reply in replies
        )


def _data_centre_of(state: MemberState, host: HostName) -> str:
    return state.table.members_by_host[host].data_centre
