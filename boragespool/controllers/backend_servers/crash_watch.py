"""Detection of requests that crash backend servers, shared with all peers.

Posts the fingerprints of such requests as `SUSPECT_FINGERPRINTS` and
`BLOCKED_FINGERPRINTS`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from boragespool.backends import CrashTracker
from boragespool.blackboard.topics import (
    BLOCKED_FINGERPRINTS,
    DOCUMENT_IN_FORCE,
    MEMBERS,
    SUSPECT_FINGERPRINTS,
)
from boragespool.events import Event, log_event
from boragespool.messages import SuspectNotice, SuspectNoticeAck
from boragespool.revisions import newly_cleared_fingerprints
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from boragespool.controllers.backend_servers.jobs import WorkInFlight
    from boragespool.controllers.context import Context
    from boragespool.peers import Sender
    from boragespool.revisions import RevisionDocument
    from boragespool.types import HostName, Incarnation, Seconds, ServerName

#: Notices are sent again after this time, as messages can be lost.
_RESEND_DELAY_S: Final = 1
#: Longest time that the reply to lost work waits for the peers.
_ACK_TIMEOUT_S: Final = 0.5


class CrashWatch:
    """Suspect and blocked requests, from own losses and notices of peers.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    tracker : CrashTracker
        Losses of backend servers by fingerprint.
    """

    def __init__(self, context: Context, tracker: CrashTracker) -> None:
        """Register the handlers for notices of peers."""
        self._context = context
        self._tracker = tracker
        self._document = context.board.read(DOCUMENT_IN_FORCE)
        context.peers.on_message(SuspectNotice, self.handle_notice)
        context.peers.on_request(SuspectNotice, self._handle_notice_request)

    async def report_loss(
        self,
        server: ServerName,
        incarnation: Incarnation,
        in_flight: WorkInFlight,
    ) -> None:
        """Record the loss of a server with this work in flight.

        Returns when the peers have acknowledged the loss, or after a timeout.
        The reply to the work is sent only after that. Its caller may then send
        the work again, and the peers must know the loss even if this daemon
        fails.
        """
        loss_id = f'{server}@{incarnation}'
        now_s = self._context.timers.now_s()
        notices: list[SuspectNotice] = []
        for fingerprint in sorted(set(in_flight.fingerprints)):
            notice = SuspectNotice(
                fingerprint,
                loss_id,
                alone=in_flight.alone,
            )
            if self._record_loss(notice, now_s):
                notices.extend(self._notices_of_all_losses(fingerprint, notice))
                log_event(
                    Event.SERVER_CRASH_SUSPECTED,
                    f'{server!r} was lost with {hex(fingerprint)} in flight',
                    loss_id=loss_id,
                    fingerprint=fingerprint,
                )
        self.post_verdicts()
        await self._notify_peers(notices)

    def handle_notice(self, _sender: Sender, notice: SuspectNotice) -> None:
        """Apply the notice of a peer."""
        now_s = self._context.timers.now_s()
        if notice.cleared:
            self._tracker.clear(notice.fingerprint, now_s)
        else:
            self._record_loss(notice, now_s)
        self.post_verdicts()

    def on_revision(self, document: RevisionDocument | None) -> None:
        """Remove the suspicions and blocks that a revision clears.

        No notice is sent, as every daemon puts the revision in force.
        """
        if document is None:
            return
        now_s = self._context.timers.now_s()
        for fingerprint in newly_cleared_fingerprints(self._document, document):
            self._tracker.clear(fingerprint, now_s)
        self._document = document
        self.post_verdicts()

    def clear(self, fingerprint: int) -> bool:
        """Remove the suspicion or block of a fingerprint here and at all peers.

        Returns
        -------
        bool
            Whether the fingerprint was a suspect or blocked here.
        """
        known = self._tracker.clear(fingerprint, self._context.timers.now_s())
        self._broadcast(SuspectNotice(fingerprint, '', cleared=True))
        self.post_verdicts()
        return known

    def post_verdicts(self) -> None:
        """Post the current suspects and blocks; log changes of the blocks."""
        now_s = self._context.timers.now_s()
        board = self._context.board
        before = board.read(BLOCKED_FINGERPRINTS)
        blocked = self._tracker.blocked(now_s)
        board.post(SUSPECT_FINGERPRINTS, self._tracker.suspects(now_s))
        board.post(BLOCKED_FINGERPRINTS, blocked)
        for added in blocked - before:
            log_event(
                Event.REQUEST_BLOCKED,
                f'requests with fingerprint {hex(added)} are blocked',
                fingerprint=added,
            )
        for ended in before - blocked:
            log_event(
                Event.REQUEST_UNBLOCKED,
                f'requests with fingerprint {hex(ended)} are no longer blocked',
                fingerprint=ended,
            )

    def _record_loss(self, notice: SuspectNotice, now_s: Seconds) -> bool:
        return self._tracker.record_loss(
            notice.fingerprint,
            notice.loss_id,
            now_s,
            alone=notice.alone,
        )

    def _notices_of_all_losses(
        self,
        fingerprint: int,
        latest: SuspectNotice,
    ) -> tuple[SuspectNotice, ...]:
        """Return the notices of all losses of a fingerprint.

        The notices of earlier losses are included, as a peer may have missed
        one whose sender has failed since.
        """
        earlier = (
            SuspectNotice(fingerprint, loss_id)
            for known, loss_id in self._tracker.losses()
            if known == fingerprint and loss_id != latest.loss_id
        )
        return (*earlier, latest)

    async def _handle_notice_request(
        self,
        sender: Sender,
        notice: SuspectNotice,
    ) -> SuspectNoticeAck:
        self.handle_notice(sender, notice)
        return SuspectNoticeAck()

    async def _notify_peers(self, notices: list[SuspectNotice]) -> None:
        """Send notices to all peers; resend those without acknowledgement."""
        await asyncio.gather(
            *(
                self._notify_peer(host, notice)
                for notice in notices
                for host in self._peer_hosts()
            ),
        )

    async def _notify_peer(self, host: HostName, notice: SuspectNotice) -> None:
        peers = self._context.peers
        reply = await peers.request(host, notice, _ACK_TIMEOUT_S)
        if not isinstance(reply, SuspectNoticeAck):
            self._context.timers.after(
                _RESEND_DELAY_S,
                lambda: self._send(notice, host),
            )

    def _broadcast(self, notice: SuspectNotice) -> None:
        self._send(notice)
        self._context.timers.after(_RESEND_DELAY_S, lambda: self._send(notice))

    def _send(self, notice: SuspectNotice, *hosts: HostName) -> None:
        """Send a notice to the given hosts, or to all peers without any."""
        for host in hosts or self._peer_hosts():
            self._context.peers.send(host, notice)

    def _peer_hosts(self) -> list[HostName]:
        return [
            member.host
            for member in self._context.board.read(MEMBERS).values()
            if member.status is not MemberStatus.DEAD
            and member.host != self._context.identity.host
        ]
