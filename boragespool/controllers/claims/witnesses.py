"""Witness of claims: serves witness messages and sends them to other daemons.

Owns the witness records of this daemon and, after a hand-over, those of
daemons that left.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final, Self, TypeAlias

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, MEMBERS
from boragespool.claims import (
    ClaimRecordTable,
    record_outcome,
    record_start,
    seal_ticket,
)
from boragespool.events import Event, log_event
from boragespool.messages import (
    HandOver,
    HandOverAck,
    MemberRecord,
    RecordOutcome,
    RecordStart,
    SealTicket,
    WitnessReply,
    WitnessVerdict,
)
from boragespool.results import Failure, ResultCode
from boragespool.settings import ClaimSettings
from boragespool.types import HostName, Incarnation, MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from boragespool.controllers.context import Context
    from boragespool.peers import Sender
    from boragespool.timers import TimerHandle
    from boragespool.types import Seconds

WitnessMessage: TypeAlias = RecordStart | RecordOutcome | SealTicket
_WitnessIdentity: TypeAlias = tuple[HostName, Incarnation]

_EXPIRE_INTERVAL_S: Final = 5
_HAND_OVER_CHUNK_SIZE: Final = 1_000
_HAND_OVER_TIMEOUT_S: Final = 2
_MAX_HAND_OVER_CANDIDATES: Final = 3
_MAX_SUCCESSORS: Final = 20_000
_MAX_SUCCESSOR_HOPS: Final = 8


class WitnessController:
    """Keeps witness records and asks other witnesses; an async context manager.

    Parameters
    ----------
    context : Context
        Services that the controllers of the daemon share.
    """

    def __init__(self, context: Context) -> None:
        """Set up the state without records."""
        self._context = context
        own_identity = (context.identity.host, context.identity.incarnation)
        self._identities: set[_WitnessIdentity] = {own_identity}
        self._table = ClaimRecordTable()
        self._successor_by_witness: dict[_WitnessIdentity, HostName] = {}
        self._hand_over_result: asyncio.Future[HostName | None] | None = None
        self._timers: list[TimerHandle] = []
        self._unsubscribe_from_members: Callable[[], None] | None = None

    async def __aenter__(self) -> Self:
        """Register the message handlers and start the expiry timer."""
        peers = self._context.peers
        peers.on_request(RecordStart, self._serve)
        peers.on_request(RecordOutcome, self._serve)
        peers.on_request(SealTicket, self._serve)
        peers.on_request(HandOver, self._serve_hand_over)
        self._unsubscribe_from_members = self._context.board.subscribe(
            MEMBERS,
            self._record_successors,
        )
        self._timers.append(
            self._context.timers.every(_EXPIRE_INTERVAL_S, self._expire),
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel the timers and the subscription to the members."""
        for timer in self._timers:
            timer.cancel()
        if self._unsubscribe_from_members is not None:
            self._unsubscribe_from_members()

    @property
    def record_count(self) -> int:
        """Number of records."""
        return len(self._table)

    async def ask(
        self,
        message: WitnessMessage,
        timeout_s: Seconds,
    ) -> WitnessReply:
        """Send a message to the witness that it names, or to its successor.

        Parameters
        ----------
        message : RecordStart, RecordOutcome or SealTicket
            Message to send.
        timeout_s : float
            Longest wait for the reply, in seconds.

        Returns
        -------
        WitnessReply
            Reply of the witness. In its place, ``FORGOTTEN`` if the message
            names no witness or is refused, and ``SILENT`` if the witness
            cannot be reached, fails to handle it or does not answer within
            `timeout_s` seconds.
        """
        host = self._current_host(message)
        if not host:
            return WitnessReply(WitnessVerdict.FORGOTTEN)
        return _to_reply(
            await self._context.peers.request(host, message, timeout_s),
        )

    async def hand_over(self) -> HostName | None:
        """Move all records to another alive member.

        Returns
        -------
        str or None
            The successor; None if no member took the records.
        """
        self._hand_over_result = asyncio.get_running_loop().create_future()
        successor: HostName | None = None
        for candidate in self._successor_candidates():
            if await self._send_records(candidate):
                successor = candidate
                break
        self._hand_over_result.set_result(successor)
        log_event(
            Event.CLAIM_RECORDS_HANDED_OVER,
            f'{len(self._table)} witness records handed over to {successor!r}',
            successor=successor,
        )
        return successor

    async def _serve(
        self,
        sender: Sender,
        message: WitnessMessage,
    ) -> WitnessReply | Failure:
        if (message.witness, message.witness_incarnation) not in (
            self._identities
        ):
            return WitnessReply(WitnessVerdict.FORGOTTEN)
        if self._hand_over_result is not None:
            return await self._forward_to_successor(message)
        now_s = self._context.timers.now_s()
        if isinstance(message, RecordStart):
            return record_start(self._table, message.record, now_s)
        if isinstance(message, RecordOutcome):
            return record_outcome(self._table, message.record, now_s)
        return seal_ticket(self._table, message.record, now_s)

    async def _forward_to_successor(
        self,
        message: WitnessMessage,
    ) -> WitnessReply | Failure:
        """Forward a message to the successor, which its sender may not know."""
        timeout_s = self._settings().witness_timeout_s
        hand_over_result = self._hand_over_result
        if hand_over_result is None:
            return WitnessReply(WitnessVerdict.FORGOTTEN)
        done, _ = await asyncio.wait((hand_over_result,), timeout=timeout_s)
        successor = hand_over_result.result() if done else None
        if successor is None:
            return WitnessReply(WitnessVerdict.FORGOTTEN)
        return _to_reply(
            await self._context.peers.request(successor, message, timeout_s),
        )

    async def _serve_hand_over(
        self, sender: Sender, message: HandOver
    ) -> HandOverAck:
        if self._hand_over_result is not None:
            return HandOverAck(accepted=False)
        self._table.import_records(
            message.records,
            message.dropped,
            self._context.timers.now_s(),
        )
        if message.last:
            self._identities.update(message.identities)
        return HandOverAck(accepted=True)

    async def _send_records(self, candidate: HostName) -> bool:
        """Send all records in chunks; return whether all were accepted."""
        records = self._table.records()
        marks = self._table.dropped_marks()
        starts = range(0, max(1, len(records)), _HAND_OVER_CHUNK_SIZE)
        for start in starts:
            message = HandOver(
                tuple(sorted(self._identities)),
                records[start : start + _HAND_OVER_CHUNK_SIZE],
                marks if start == 0 else (),
                last=start == starts[-1],
            )
            reply = await self._context.peers.request(
                candidate,
                message,
                _HAND_OVER_TIMEOUT_S,
            )
            if not isinstance(reply, HandOverAck) or not reply.accepted:
                return False
        return True

    def _successor_candidates(self) -> tuple[HostName, ...]:
        """Return a few alive members, those of the same data centre first."""
        identity = self._context.identity
        members = [
            member
            for member in self._context.board.read(MEMBERS).values()
            if member.status is MemberStatus.ALIVE
            and member.host != identity.host
        ]
        members.sort(
            key=lambda member: (
                member.data_centre != identity.data_centre,
                member.host,
            ),
        )
        return tuple(
            member.host for member in members[:_MAX_HAND_OVER_CANDIDATES]
        )

    def _current_host(self, message: WitnessMessage) -> HostName:
        """Return the host that now holds the records of the witness."""
        host = message.witness
        incarnation = message.witness_incarnation
        members = self._context.board.read(MEMBERS)
        for _ in range(_MAX_SUCCESSOR_HOPS):
            successor = self._successor_by_witness.get((host, incarnation))
            if not successor:
                break
            host = successor
            member = members.get(successor)
            incarnation = member.incarnation if member else 0
        return host

    def _record_successors(
        self,
        members: Mapping[HostName, MemberRecord],
    ) -> None:
        """Store the successors of members that left.

        They are kept here because the member record is replaced when the
        daemon restarts.
        """
        successor_by_witness = self._successor_by_witness
        for member in members.values():
            if member.successor:
                successor_by_witness[member.host, member.incarnation] = (
                    member.successor
                )
        while len(successor_by_witness) > _MAX_SUCCESSORS:
            successor_by_witness.pop(next(iter(successor_by_witness)))

    def _expire(self) -> None:
        settings = self._settings()
        dropped = self._table.expire(
            self._context.timers.now_s(),
            settings.record_age_s,
            settings.record_count,
        )
        if dropped:
            log_event(
                Event.CLAIM_RECORDS_DROPPED,
                f'dropped {dropped} witness records',
                level=logging.DEBUG,
            )

    def _settings(self) -> ClaimSettings:
        document = self._context.board.read(DOCUMENT_IN_FORCE)
        return document.settings.claims if document else ClaimSettings()


def _to_reply(answer: object) -> WitnessReply:
    """Return the reply of a witness, or one that stands for a failure."""
    if isinstance(answer, WitnessReply):
        return answer
    if isinstance(answer, Failure):
        if answer.code is ResultCode.PEER_UNREACHABLE:
            return WitnessReply(WitnessVerdict.SILENT)
    return WitnessReply(WitnessVerdict.FORGOTTEN)
