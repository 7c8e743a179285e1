"""Losses of servers that this daemon saw and reports to the others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.blackboard.forwarding_topics import OWN_LOSSES

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.blackboard import Blackboard
    from boragespool.forwarding import LossNotice
    from boragespool.timers import TimerService

#: Delay before losses are reported, in seconds, unless a request is blocked.
#: Most requests that were in flight are sound and are answered by another
#: server in this time.
_REPORT_DELAY_S: Final = 0.8
#: Maximum number of losses that are reported to the other daemons.
_MAX_REPORTED_COUNT: Final = 256


class OwnLosses:
    """Own losses that count, posted as `OWN_LOSSES`.

    Parameters
    ----------
    board : Blackboard
        Receives the losses.
    timers : TimerService
        Delays reports.
    """

    def __init__(self, board: Blackboard, timers: TimerService) -> None:
        """Start without losses; nothing is posted before the first one."""
        self._board = board
        self._timers = timers
        self._notices: dict[LossNotice, None] = {}
        self._is_report_due = False

    def add(self, notice: LossNotice) -> None:
        """Keep a loss for the next report; the oldest ones are dropped."""
        self._notices[notice] = None
        while len(self._notices) > _MAX_REPORTED_COUNT:
            self._notices.pop(next(iter(self._notices)))

    def retain(self, counts: Callable[[LossNotice], bool]) -> None:
        """Drop the losses that no longer count."""
        kept = {notice: None for notice in self._notices if counts(notice)}
        if len(kept) != len(self._notices):
            self._notices = kept
            self.report_later()

    def report_later(self) -> None:
        """Post the losses after a delay."""
        if not self._is_report_due:
            self._is_report_due = True
            self._timers.after(_REPORT_DELAY_S, self.report)

    def report(self) -> None:
        """Post the losses now."""
        self._is_report_due = False
        self._board.post(OWN_LOSSES, tuple(self._notices))
