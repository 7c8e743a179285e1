"""Membership controller: runs the gossip protocol of one daemon.

Answers and sends pings and gossip messages, and publishes the record of this
daemon: its load, its revision and whether it leaves.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Final, Self

from boragespool import membership
from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, LEAVING_HOSTS, LOAD
from boragespool.controllers.membership.member_state import MemberState
from boragespool.controllers.membership.pinging import Pinger
from boragespool.messages import Ack, Gossip, MemberRecord, Ping, PingRequest
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from boragespool.controllers.context import Context
    from boragespool.peers import Sender
    from boragespool.revisions import RevisionDocument
    from boragespool.types import Address, DataCentre, HostName

#: Minimum time between two transfers of the whole member table, in seconds. It
#: limits the traffic when a whole fleet starts at the same time.
_MIN_TABLE_INTERVAL_S: Final = 1
#: Weight of the latest load in the exponential moving average.
_LOAD_WEIGHT: Final = 0.3
#: Timeout for sending the last record of a daemon that left, and the time to
#: wait after that, in seconds.
_FLUSH_TIMEOUT_S: Final = 0.5
_FLUSH_MARGIN_S: Final = 0.05
_DEFAULT_OPTIONS: Final = membership.MembershipOptions()


class MembershipController:
    """Takes part in the gossip membership; an async context manager.

    Parameters
    ----------
    context : Context
        Identity, blackboard, timers and peers of the daemon.
    seeds : callable
        Returns peer addresses by host, from the peers option and the
        platform's host list. This daemon may be among them.
    options : MembershipOptions
        Intervals, timeouts and limits.
    """

    def __init__(
        self,
        context: Context,
        seeds: Callable[[], Mapping[HostName, Address]],
        options: membership.MembershipOptions = _DEFAULT_OPTIONS,
    ) -> None:
        """Create the record of this daemon; `__aenter__` starts the pings."""
        self._context = context
        self._state = MemberState(context, options)
        self._pinger = Pinger(context, self._state, seeds)
        self._last_tick_at_s = context.timers.now_s()
        self._last_seed_ping_at_s = self._last_tick_at_s
        self._table_sent_at_s = self._last_tick_at_s - _MIN_TABLE_INTERVAL_S
        self._cleanup_callbacks: tuple[Callable[[], None], ...] = ()

    async def __aenter__(self) -> Self:
        """Register the handlers, post the own record and start to ping."""
        context = self._context
        context.peers.on_request(Ping, self._answer_ping)
        context.peers.on_request(PingRequest, self._answer_ping_request)
        context.peers.on_message(Gossip, self._receive_gossip)
        ticks = context.timers.every(
            self._state.options.ping_interval_s,
            self._tick,
        )
        self._cleanup_callbacks = (
            ticks.cancel,
            context.board.subscribe(DOCUMENT_IN_FORCE, self._publish_revision),
        )
        self._publish_revision(context.board.read(DOCUMENT_IN_FORCE))
        self._state.post()
        self._pinger.join()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop pinging; after `leave`, gossip that this daemon is dead."""
        for cleanup in self._cleanup_callbacks:
            cleanup()
        await self._pinger.close()
        if self.own.status == MemberStatus.LEAVING:
            dead_record = replace(self.own, status=MemberStatus.DEAD)
            self._state.send_to_random(
                dead_record, self._state.options.leave_count
            )
            await self._context.peers.flush(_FLUSH_TIMEOUT_S)
            # A link reports an empty queue before its last frame is sent.
            await asyncio.sleep(_FLUSH_MARGIN_S)

    @property
    def own(self) -> MemberRecord:
        """Record that this daemon publishes about itself."""
        return self._state.own

    def addresses(
        self,
        data_centre: DataCentre,
        count: int,
    ) -> tuple[Address, ...]:
        """Return addresses of daemons for a caller, nearest first.

        Parameters
        ----------
        data_centre : str
            Data centre of the caller; an unknown one is accepted.
        count : int
            Maximum number of addresses.
        """
        return membership.choose_addresses(
            membership.all_records_by_host(self._state.table).values(),
            data_centre,
            count,
            self._context.draw,
            self._context.board.read(LEAVING_HOSTS),
        )

    def leave(self) -> None:
        """Publish at once that this daemon is leaving."""
        self._state.update_own(status=MemberStatus.LEAVING)

    def set_successor(self, host: HostName) -> None:
        """Publish the host that took over the witness records."""
        self._state.update_own(successor=host)

    def _tick(self) -> None:
        """Expire suspicions and ping the next member.

        At longer intervals, ping a seed and a dead member as well. A very late
        tick means that this daemon was paused. The suspicion timers then
        restart, because refutations may still be unread in its sockets.
        """
        now_s = self._state.now_s
        options = self._state.options
        table = self._state.table
        elapsed_s = now_s - self._last_tick_at_s
        if elapsed_s > 2 * options.ping_interval_s:
            table = membership.restart_suspicion_timers(table, now_s)
        self._state.health = membership.score_after_tick(
            self._state.health,
            max(0, elapsed_s - options.ping_interval_s),
            options,
        )
        self._last_tick_at_s = now_s
        own = replace(table.own, load=self._smoothed_load())
        table = replace(table, own=own)
        scaled_options = self._state.scaled_options
        self._state.apply(
            membership.expire_members(table, now_s, scaled_options)
        )
        self._pinger.join()
        if now_s - self._last_seed_ping_at_s >= options.seed_interval_s:
            self._last_seed_ping_at_s = now_s
            self._pinger.ping_seeds(1)
            self._pinger.ping_dead_member()
        self._pinger.ping_next()

    def _smoothed_load(self) -> float:
        before = self.own.load
        latest = self._context.board.read(LOAD)
        return round(before + _LOAD_WEIGHT * (latest - before), 2)

    async def _answer_ping(self, sender: Sender, ping: Ping) -> Ack:
        self._state.receive(ping.records, sender.host)
        now_s = self._state.now_s
        if ping.join and now_s - self._table_sent_at_s >= _MIN_TABLE_INTERVAL_S:
            self._table_sent_at_s = now_s
            self._state.send_member_table(sender.host)
        return Ack(records=self._state.compose_records(sender.host))

    async def _answer_ping_request(
        self,
        sender: Sender,
        request: PingRequest,
    ) -> Ack:
        reached = await self._pinger.ping(
            request.target,
            self._state.options.ping_timeout_s,
        )
        return Ack(reached, self._state.compose_records(sender.host))

    def _receive_gossip(self, sender: Sender, gossip: Gossip) -> None:
        self._state.receive(gossip.records, sender.host)

    def _publish_revision(self, document: RevisionDocument | None) -> None:
        """Gossip a new revision to a few members at once.

        Waiting for the next pings would delay its distribution.
        """
        if document is None:
            return
        own = replace(self.own, revision=document.revision)
        self._state.apply(replace(self._state.table, own=own))
        self._state.send_to_random(own, self._state.options.revision_fanout)
