"""Keeps requests that crash backend servers away from them.

A request that was in flight when a server was lost is a suspect until a
server has answered it. Of the requests that may be repeats of a suspect, one
at a time is sent, as a trial; the others wait for its result. After several
losses, two of them in trials, they are blocked. No other request is sent to a
server with a trial if another server has capacity, so that the result is that
of the trial.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Final, Self

from boragespool.blackboard.forwarding_topics import REPORTED_LOSSES
from boragespool.controllers.forwarding.own_losses import OwnLosses
from boragespool.controllers.forwarding.recent_answers import RecentAnswers
from boragespool.controllers.forwarding.server_losses import (
    InterruptedAttempt,
    LossDetector,
    ServerCheck,
)
from boragespool.controllers.forwarding.trial_turns import TrialTurns
from boragespool.events import Event, log_event
from boragespool.forwarding import BlockingLimits, CrashEvidence, LossNotice
from boragespool.metrics import (
    BLOCKED_FINGERPRINTS,
    CLEARED_SUSPECTS,
    SERVER_CHECKS,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.server import Server
    from boragespool.forwarding import (
        BlockedRequests,
        LossReport,
        RequestIdentity,
    )
    from boragespool.timers import TimerHandle, TimerService
    from boragespool.types import HostName, RequestId, Seconds, ServerName

#: With fewer losses, a rack that fails in steps could block a request that is
#: sound. A query over shards loses a server of each shard at once, so that
#: some of them must be trials.
_LIMITS: Final = BlockingLimits(loss_count=3, trial_count=2)
#: Delay before the next trial after a server was lost in one, in seconds. It
#: lies between these values and follows from the request.
_MIN_TRIAL_DELAY_S: Final = 0.2
_MAX_TRIAL_DELAY_S: Final = 0.6
_DELAY_STEPS: Final = 1_024
#: Interval at which expired suspicions and blocks are dropped, in seconds.
_EXPIRY_INTERVAL_S: Final = 10


class CrashGuard:
    """Suspect and blocked requests of one daemon; a context manager.

    Parameters
    ----------
    board : Blackboard
        Receives the losses that this daemon saw; source of those that other
        daemons report.
    timers : TimerService
        Clock and timers.
    host : str
        Name of this daemon's host.
    is_in_use : callable
        Whether a server is registered and not draining.

    Attributes
    ----------
    turns : TrialTurns
        Trials in progress, and calls that wait for their results.
    """

    def __init__(
        self,
        board: Blackboard,
        timers: TimerService,
        host: HostName,
        is_in_use: Callable[[Server], bool],
    ) -> None:
        """Set up a guard without suspects."""
        self.turns = TrialTurns()
        self._board = board
        self._timers = timers
        self._evidence = CrashEvidence(_LIMITS)
        self._detector = LossDetector(
            timers, host, is_in_use, self._handle_check
        )
        self._answers = RecentAnswers()
        self._blocked: frozenset[BlockedRequests] = frozenset()
        # Requests in flight at servers whose check is in progress, by base.
        self._unchecked: defaultdict[int, list[RequestIdentity]]
        self._unchecked = defaultdict(list)
        self._own_losses = OwnLosses(board, timers)
        self._host = host
        self._expiry_timer: TimerHandle | None = None
        self._unsubscribe: Callable[[], None] | None = None

    def __enter__(self) -> Self:
        """Start to follow reports and to drop expired suspicions."""
        self._unsubscribe = self._board.subscribe(REPORTED_LOSSES, self._merge)
        self._expiry_timer = self._timers.every(
            _EXPIRY_INTERVAL_S, self._expire
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End the subscription and the timer."""
        if self._unsubscribe is not None:
            self._unsubscribe()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()

    def is_blocked(self, identity: RequestIdentity) -> bool:
        """Whether a request must not be sent."""
        return self._evidence.is_blocked(identity)

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Whether a request may have crashed a server."""
        return self._evidence.is_suspect(identity) or any(
            self._evidence.is_related(identity, other)
            for other in self._unchecked.get(identity.base, ())
        )

    def may_send(self, identity: RequestIdentity) -> bool:
        """Whether a request may be sent now; False while a trial runs."""
        return self.turns.is_free(identity.base) or not self.is_suspect(
            identity
        )

    def start_attempt(
        self, number: int, identity: RequestIdentity, server: ServerName
    ) -> None:
        """Record that an attempt is sent; that of a suspect is a trial."""
        if self.is_suspect(identity):
            self.turns.take(number, identity.base, server)

    def end_attempt(self, number: int, identity: RequestIdentity) -> None:
        """Record the end of an attempt; after a trial the next one may run."""
        if self.turns.has_turn(number, identity.base):
            self.turns.release(identity.base)
            self.turns.resume(identity.base)

    def record_interruption(
        self,
        server: Server,
        request_id: RequestId | None,
        number: int,
        identity: RequestIdentity,
    ) -> None:
        """Check a server that closed a connection without a response.

        A trial ends only after the check. The server is not checked if others
        have answered the request, for example for other shards.

        Parameters
        ----------
        server : Server
            Server that the attempt was sent to.
        request_id : str or None
            Id of the request, for the log.
        number : int
            Number of the attempt.
        identity : RequestIdentity
            Identity of the request.
        """
        if identity.fingerprint in self._answers:
            name = server.registration.server
            SERVER_CHECKS.labels('skipped').inc()
            log_event(
                Event.SERVER_NOT_CHECKED,
                f'{name!r} closed a connection; an equal request was answered '
                'recently',
                server=name,
                request=request_id,
                fingerprint=hex(identity.fingerprint),
                base=hex(identity.base),
            )
            self.end_attempt(number, identity)
            return
        self._unchecked[identity.base].append(identity)
        is_trial = self.turns.has_turn(number, identity.base)
        self._detector.record(
            server, InterruptedAttempt(request_id, number, identity, is_trial)
        )

    def record_answer(
        self, request_id: RequestId | None, identity: RequestIdentity
    ) -> None:
        """Clear a request that a server has answered with success."""
        self._answers.add(identity)
        losses = self._evidence.loss_count(identity)
        is_blocked = self.is_blocked(identity)
        if self._evidence.has_base(identity.base) and (
            self._evidence.record_answer(
                identity.base, identity.parts, self._timers.now_s()
            )
        ):
            self._own_losses.retain(self._counts)
            self._update_verdicts()
        if losses:
            CLEARED_SUSPECTS.inc()
            log_event(
                Event.SUSPECT_CLEARED,
                'a request that may have crashed a server was answered',
                request=request_id,
                fingerprint=hex(identity.fingerprint),
                base=hex(identity.base),
                losses=losses,
                blocked=is_blocked,
            )
            self.turns.resume(identity.base)

    def _merge(self, reports: tuple[LossReport, ...]) -> None:
        """Apply reported losses, also those from before a restart."""
        now_s = self._timers.now_s()
        hosts_and_notices = (
            (report.host, notice)
            for report in reports
            for notice in report.notices
            if notice.fingerprint not in self._answers
        )
        for host, notice in hosts_and_notices:
            self._record(notice, now_s)
            if host == self._host and self._counts(notice):
                self._own_losses.add(notice)
        self._update_verdicts()

    def _handle_check(self, check: ServerCheck) -> None:
        for attempt in check.attempts:
            self._end_check(attempt.identity)
            if check.is_lost:
                self._end_trial_later(attempt)
            else:
                self.end_attempt(attempt.number, attempt.identity)
        if check.is_lost:
            self._record_loss(check)
        bases = {checked.identity.base for checked in check.attempts}
        for base in bases:
            self.turns.resume(base)

    def _end_check(self, identity: RequestIdentity) -> None:
        unchecked = self._unchecked[identity.base]
        unchecked.remove(identity)
        if not unchecked:
            self._unchecked.pop(identity.base)

    def _end_trial_later(self, attempt: InterruptedAttempt) -> None:
        """Allow the next trial after a delay that differs by request.

        A request at another daemon may be ending servers at this moment, and
        would end that of the next trial too.
        """
        if not attempt.is_trial:
            return
        fraction = attempt.identity.base % _DELAY_STEPS / _DELAY_STEPS
        self._timers.after(
            _MIN_TRIAL_DELAY_S
            + fraction * (_MAX_TRIAL_DELAY_S - _MIN_TRIAL_DELAY_S),
            lambda: self.end_attempt(attempt.number, attempt.identity),
        )

    def _record_loss(self, check: ServerCheck) -> None:
        """Count a loss for the requests that most probably caused it.

        These are the ones with the most losses so far: a request that is
        sound was probably in flight by chance.
        """
        counts_and_attempts = [
            (self._evidence.loss_count(attempt.identity), attempt)
            for attempt in check.attempts
        ]
        most = max((count for count, _ in counts_and_attempts), default=0)
        for count, attempt in counts_and_attempts:
            if count == most:
                self._record_notice(check, attempt)
        before = self._blocked
        self._update_verdicts()
        if self._blocked == before:
            self._own_losses.report_later()
        else:
            self._own_losses.report()

    def _record_notice(
        self, check: ServerCheck, attempt: InterruptedAttempt
    ) -> None:
        identity = attempt.identity
        notice = LossNotice(
            identity.fingerprint,
            check.loss_id,
            attempt.is_trial,
            identity.base,
            tuple(sorted(identity.parts)),
        )
        if identity.fingerprint in self._answers or not self._record(
            notice, self._timers.now_s()
        ):
            return
        self._own_losses.add(notice)
        log_event(
            Event.SERVER_CRASH_SUSPECTED,
            f'{check.server!r} was lost with {hex(identity.fingerprint)} in '
            'flight',
            server=check.server,
            loss_id=check.loss_id,
            fingerprint=hex(identity.fingerprint),
            base=hex(identity.base),
            losses=self._evidence.loss_count(identity),
            trial=attempt.is_trial,
        )

    def _record(self, notice: LossNotice, now_s: Seconds) -> bool:
        """Record a loss, and recent answers if it is the first of its base."""
        is_first = not self._evidence.has_base(notice.base)
        is_new = self._evidence.record_loss(notice, now_s)
        if is_first:
            for parts in self._answers.parts_of(notice.base):
                self._evidence.record_answer(notice.base, parts, now_s)
        return is_new

    def _counts(self, notice: LossNotice) -> bool:
        return self._evidence.has_losses(notice.fingerprint)

    def _expire(self) -> None:
        self._answers.expire()
        self._evidence.expire(self._timers.now_s())
        self._update_verdicts()
        self._own_losses.retain(self._counts)

    def _update_verdicts(self) -> None:
        """Update the verdicts; log changes of the blocks."""
        before = self._blocked
        self._evidence.update(self._timers.now_s())
        self._blocked = self._evidence.blocked
        BLOCKED_FINGERPRINTS.set(len(self._blocked))
        for blocked in self._blocked - before:
            _log_block(Event.REQUEST_BLOCKED, blocked, 'are blocked')
        for unblocked in before - self._blocked:
            _log_block(
                Event.REQUEST_UNBLOCKED, unblocked, 'are no longer blocked'
            )
        if self._blocked != before:
            self.turns.resume_all()


def _log_block(event: Event, blocked: BlockedRequests, state: str) -> None:
    name = hex(blocked.fingerprint)
    if blocked.parts is None:
        log_event(
            event,
            f'requests with fingerprint {name} {state}',
            fingerprint=name,
        )
        return
    log_event(
        event,
        f'requests with base {name} and {len(blocked.parts)} parts {state}',
        base=name,
        parts=sorted(map(hex, blocked.parts)),
    )
