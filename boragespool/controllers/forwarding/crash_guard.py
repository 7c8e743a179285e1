"""Keeps requests that crash backend servers away from them.

A request that was in flight when a server was lost is a suspect until a
server has answered it. Of the requests with the fingerprint of a suspect, one
at a time is sent, as a trial; the others wait for its result. After several
losses, two of them in trials, the fingerprint is blocked. No other request is
sent to a server with a trial if another server has capacity, so that the
result is that of the trial.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final, Self

from boragespool.backends import CrashTracker
from boragespool.blackboard.forwarding_topics import (
    OWN_LOSSES,
    REPORTED_LOSSES,
)
from boragespool.controllers.forwarding.recent_answers import RecentAnswers
from boragespool.controllers.forwarding.server_losses import (
    InterruptedAttempt,
    LossDetector,
    ServerCheck,
)
from boragespool.controllers.forwarding.trial_turns import TrialTurns
from boragespool.events import Event, log_event
from boragespool.forwarding import LossNotice
from boragespool.metrics import (
    BLOCKED_FINGERPRINTS,
    CLEARED_SUSPECTS,
    SERVER_CHECKS,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.server import Server
    from boragespool.forwarding import LossReport
    from boragespool.timers import TimerHandle, TimerService
    from boragespool.types import HostName, RequestId, ServerName

#: Number of lost servers from which a request is blocked. With fewer, a rack
#: that fails in steps could block a request that is sound.
_BLOCKING_LOSS_COUNT: Final = 3
#: Number of these losses that must have been trials. A query over shards loses
#: a server of each shard at once.
_BLOCKING_TRIAL_COUNT: Final = 2
#: Delay before the next trial after a server was lost in one, in seconds. It
#: lies between these values and follows from the fingerprint.
_MIN_TRIAL_DELAY_S: Final = 0.2
_MAX_TRIAL_DELAY_S: Final = 0.6
_DELAY_STEPS: Final = 1_024
#: Interval at which expired suspicions and blocks are dropped, in seconds.
_EXPIRY_INTERVAL_S: Final = 10
#: Delay before losses are reported, in seconds, unless a request is blocked.
#: Most requests that were in flight are sound and are answered by another
#: server in this time.
_REPORT_DELAY_S: Final = 0.8
#: Maximum number of own losses that are reported to the other daemons.
_MAX_REPORTED_LOSSES: Final = 256


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
        self._tracker = CrashTracker(
            blocking_loss_count=_BLOCKING_LOSS_COUNT,
            blocking_alone_count=_BLOCKING_TRIAL_COUNT,
        )
        self._detector = LossDetector(
            timers, host, is_in_use, self._handle_check
        )
        self._answers = RecentAnswers()
        self._suspects: frozenset[int] = frozenset()
        self._blocked: frozenset[int] = frozenset()
        # Fingerprints in flight at servers whose check is in progress.
        self._unchecked: Counter[int] = Counter()
        self._own_notices: dict[LossNotice, None] = {}
        self._host = host
        self._is_report_due = False
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

    def is_blocked(self, fingerprints: tuple[int, ...]) -> bool:
        """Whether requests with any of these fingerprints must not be sent."""
        return not self._blocked.isdisjoint(fingerprints)

    def is_suspect(self, fingerprints: tuple[int, ...]) -> bool:
        """Whether any of these fingerprints may have crashed a server."""
        return any(
            fingerprint in self._suspects or fingerprint in self._unchecked
            for fingerprint in fingerprints
        )

    def may_send(self, fingerprints: tuple[int, ...]) -> bool:
        """Whether a request may be sent now; False while a trial runs."""
        return self.turns.is_free(fingerprints)

    def start_attempt(
        self, number: int, fingerprints: tuple[int, ...], server: ServerName
    ) -> None:
        """Record that an attempt is sent; that of a suspect is a trial."""
        if self.is_suspect(fingerprints):
            self.turns.take(number, fingerprints, server)

    def end_attempt(self, number: int, fingerprints: tuple[int, ...]) -> None:
        """Record the end of an attempt; after a trial the next one may run."""
        if self.turns.has_turn(number, fingerprints):
            self.turns.release(fingerprints)
            self.turns.resume(fingerprints)

    def record_interruption(
        self,
        server: Server,
        request_id: RequestId | None,
        number: int,
        fingerprints: tuple[int, ...],
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
        fingerprints : tuple of int
            Fingerprints of the request.
        """
        unproven = [f for f in fingerprints if f not in self._answers]
        if not unproven:
            SERVER_CHECKS.labels('skipped').inc()
            name = server.registration.server
            log_event(
                Event.SERVER_NOT_CHECKED,
                f'{name!r} closed a connection; an equal request was answered '
                'recently',
                server=name,
                request=request_id,
                fingerprints=[hex(f) for f in fingerprints],
            )
            self.end_attempt(number, fingerprints)
            return
        self._unchecked.update(unproven)
        is_trial = self.turns.has_turn(number, fingerprints)
        self._detector.record(
            server,
            InterruptedAttempt(request_id, number, fingerprints, is_trial),
        )

    def record_answer(
        self, request_id: RequestId | None, fingerprints: tuple[int, ...]
    ) -> None:
        """Clear a request that a server has answered with success."""
        self._answers.add(fingerprints)
        if not self.is_suspect(fingerprints) and not self.is_blocked(
            fingerprints
        ):
            return
        CLEARED_SUSPECTS.inc()
        log_event(
            Event.SUSPECT_CLEARED,
            'a request that may have crashed a server was answered',
            request=request_id,
            fingerprints=[hex(f) for f in fingerprints],
            losses=self._most_losses(fingerprints),
            blocked=self.is_blocked(fingerprints),
        )
        self.turns.release(fingerprints)
        now_s = self._timers.now_s()
        for fingerprint in fingerprints:
            self._tracker.clear(fingerprint, now_s)
            self._unchecked.pop(fingerprint, None)
        self._drop_own_notices()
        self._update_verdicts()
        self.turns.resume(fingerprints)

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
            fingerprint = notice.fingerprint
            self._tracker.record_loss(
                fingerprint, notice.loss_id, now_s, alone=notice.alone
            )
            if host == self._host and self._tracker.loss_count(fingerprint):
                self._own_notices[notice] = None
        self._update_verdicts()

    def _handle_check(self, check: ServerCheck) -> None:
        in_flight: set[int] = set()
        for attempt in check.attempts:
            in_flight.update(attempt.fingerprints)
            self._unchecked.subtract(attempt.fingerprints)
            if check.is_lost:
                self._end_trial_later(attempt)
            else:
                self.end_attempt(attempt.number, attempt.fingerprints)
        # Counter.__iadd__ drops the counts that are not positive.
        self._unchecked += Counter()
        if check.is_lost:
            self._record_loss(check)
        self.turns.resume(tuple(in_flight))

    def _end_trial_later(self, attempt: InterruptedAttempt) -> None:
        """Allow the next trial after a delay that differs by request.

        A request at another daemon may be ending servers at this moment, and
        would end that of the next trial too.
        """
        if not attempt.is_trial:
            return
        fraction = min(attempt.fingerprints) % _DELAY_STEPS / _DELAY_STEPS
        self._timers.after(
            _MIN_TRIAL_DELAY_S
            + fraction * (_MAX_TRIAL_DELAY_S - _MIN_TRIAL_DELAY_S),
            lambda: self.end_attempt(attempt.number, attempt.fingerprints),
        )

    def _record_loss(self, check: ServerCheck) -> None:
        """Count a loss for the requests that most probably caused it.

        These are the ones with the most losses so far: a request that is
        sound was probably in flight by chance.
        """
        counts_and_attempts = [
            (self._most_losses(attempt.fingerprints), attempt)
            for attempt in check.attempts
        ]
        most = max((count for count, _ in counts_and_attempts), default=0)
        for count, attempt in counts_and_attempts:
            if count == most:
                for notice in _notices(check.loss_id, attempt):
                    self._record_notice(check, notice)
        while len(self._own_notices) > _MAX_REPORTED_LOSSES:
            self._own_notices.pop(next(iter(self._own_notices)))
        before = self._blocked
        self._update_verdicts()
        if self._blocked == before:
            self._report_later()
        else:
            self._report()

    def _most_losses(self, fingerprints: tuple[int, ...]) -> int:
        return max(map(self._tracker.loss_count, fingerprints), default=0)

    def _record_notice(self, check: ServerCheck, notice: LossNotice) -> None:
        fingerprint = notice.fingerprint
        if fingerprint in self._answers or not self._tracker.record_loss(
            fingerprint,
            notice.loss_id,
            self._timers.now_s(),
            alone=notice.alone,
        ):
            return
        self._own_notices[notice] = None
        log_event(
            Event.SERVER_CRASH_SUSPECTED,
            f'{check.server!r} was lost with {hex(fingerprint)} in flight',
            server=check.server,
            loss_id=notice.loss_id,
            fingerprint=hex(fingerprint),
            losses=self._tracker.loss_count(fingerprint),
            trial=notice.alone,
        )

    def _expire(self) -> None:
        self._answers.expire()
        self._update_verdicts()
        self._drop_own_notices()

    def _drop_own_notices(self) -> None:
        """Drop the own losses that no longer count."""
        kept = {
            notice: None
            for notice in self._own_notices
            if self._tracker.loss_count(notice.fingerprint)
        }
        if len(kept) != len(self._own_notices):
            self._own_notices = kept
            self._report_later()

    def _report_later(self) -> None:
        if not self._is_report_due:
            self._is_report_due = True
            self._timers.after(_REPORT_DELAY_S, self._report)

    def _report(self) -> None:
        self._is_report_due = False
        self._board.post(OWN_LOSSES, tuple(self._own_notices))

    def _update_verdicts(self) -> None:
        """Update the suspects and blocks; log changes of the blocks."""
        now_s = self._timers.now_s()
        before = self._blocked
        self._blocked = self._tracker.blocked(now_s)
        self._suspects = self._tracker.suspects(now_s)
        BLOCKED_FINGERPRINTS.set(len(self._blocked))
        for fingerprint in self._blocked - before:
            log_event(
                Event.REQUEST_BLOCKED,
                f'requests with fingerprint {hex(fingerprint)} are blocked',
                fingerprint=hex(fingerprint),
                losses=self._tracker.loss_count(fingerprint),
            )
        for fingerprint in before - self._blocked:
            log_event(
                Event.REQUEST_UNBLOCKED,
                f'requests with fingerprint {hex(fingerprint)} are no longer '
                'blocked',
                fingerprint=hex(fingerprint),
            )
        if self._blocked != before:
            self.turns.resume(tuple(self._blocked - before))


def _notices(
    loss_id: str, attempt: InterruptedAttempt
) -> tuple[LossNotice, ...]:
    """Return the notices of one loss for both fingerprints of a request.

    The second fingerprint leaves out the query and the header fields. It
    counts different requests and not losses, so that one request does not
    block others with the same path.
    """
    exact, path = attempt.fingerprints
    return (
        LossNotice(exact, loss_id, alone=attempt.is_trial),
        LossNotice(path, hex(exact), alone=attempt.is_trial),
    )
