"""Verdicts about requests that crash backend servers, shared by all peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.backends import CrashLedger
from boragespool.blackboard.topics import BLOCKED, IN_FORCE, MEMBERS, SUSPECTS
from boragespool.events import Event, log_event
from boragespool.messages import SuspectNotice
from boragespool.revisions import newly_cleared

if TYPE_CHECKING:
    from boragespool.controllers.context import Context
    from boragespool.controllers.jobs import WorkInFlight
    from boragespool.peers import Sender
    from boragespool.revisions import RevisionDocument
    from boragespool.types import Incarnation, Seconds, ServerName

#: Messages between daemons can be lost, so each notice is sent twice.
_REPEAT_S: Final = 1


class CrashWatch:
    """Posts `SUSPECTS` and `BLOCKED` from own losses and the notices of peers."""

    def __init__(self, context: Context, ledger: CrashLedger) -> None:
        """Register for the notices of peers."""
        self._context = context
        self._ledger = ledger
        self._document = context.board.read(IN_FORCE)
        context.peers.on_message(SuspectNotice, self.receive)

    def lost(
        self,
        server: ServerName,
        incarnation: Incarnation,
        in_flight: WorkInFlight,
    ) -> None:
        """Record the loss of a server with this work in flight."""
        loss_id = f'{server}@{incarnation}'
        now_s = self._context.timers.now_s()
        for fingerprint in sorted(set(in_flight.fingerprints)):
            notice = SuspectNotice(
                fingerprint,
                loss_id,
                alone=in_flight.alone,
            )
            if self._note(notice, now_s):
                self._spread(notice)
                log_event(
                    Event.SERVER_CRASH_SUSPECTED,
                    f'{server!r} was lost with {hex(fingerprint)} in flight',
                    loss_id=loss_id,
                    fingerprint=fingerprint,
                )
        self.post()

    def receive(self, _sender: Sender, notice: SuspectNotice) -> None:
        """Treat the notice of a peer."""
        now_s = self._context.timers.now_s()
        if notice.cleared:
            self._ledger.clear(notice.fingerprint, now_s)
        else:
            self._note(notice, now_s)
        self.post()

    def follow_revision(self, document: RevisionDocument | None) -> None:
        """End the verdicts that an operator cleared by a revision.

        Every daemon puts the revision in force, so no notice is sent.
        """
        if document is None:
            return
        now_s = self._context.timers.now_s()
        for fingerprint in newly_cleared(self._document, document):
            self._ledger.clear(fingerprint, now_s)
        self._document = document
        self.post()

    def clear(self, fingerprint: int) -> bool:
        """End a verdict here and at all peers.

        Returns
        -------
        bool
            Whether the fingerprint was a suspect or blocked here.
        """
        known = self._ledger.clear(fingerprint, self._context.timers.now_s())
        self._spread(SuspectNotice(fingerprint, '', cleared=True))
        self.post()
        return known

    def post(self) -> None:
        """Post the verdicts that hold now; logs what changed."""
        now_s = self._context.timers.now_s()
        board = self._context.board
        before = board.read(BLOCKED)
        blocked = self._ledger.blocked(now_s)
        board.post(SUSPECTS, self._ledger.suspects(now_s))
        board.post(BLOCKED, blocked)
        for added in blocked - before:
            log_event(
                Event.REQUEST_BLOCKED,
                f'requests with fingerprint {hex(added)} are blocked',
                fingerprint=added,
            )
        for ended in before - blocked:
            log_event(
                Event.REQUEST_UNBLOCKED,
                f'requests with fingerprint {hex(ended)} run again',
                fingerprint=ended,
            )

    def _note(self, notice: SuspectNotice, now_s: Seconds) -> bool:
        return self._ledger.note(
            notice.fingerprint,
            notice.loss_id,
            now_s,
            alone=notice.alone,
        )

    def _spread(self, notice: SuspectNotice) -> None:
        self._send(notice)
        self._context.timers.after(_REPEAT_S, lambda: self._send(notice))

    def _send(self, notice: SuspectNotice) -> None:
        for host in self._context.board.read(MEMBERS):
            if host != self._context.identity.host:
                self._context.peers.send(host, notice)
