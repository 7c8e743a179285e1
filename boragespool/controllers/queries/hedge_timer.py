"""Timer that hedges the overdue attempts of one query."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.routing import hedge_delay_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.queries.attempts import AttemptSender
    from boragespool.controllers.queries.query_state import AcceptedQuery, Part
    from boragespool.timers import TimerHandle
    from boragespool.types import Seconds

#: Attempts that become overdue within this time are hedged together.
_COALESCING_WINDOW_S: Final = 0.0005
#: Fraction of the hedge delay after which a hedge that could not be sent is
#: tried again.
_RECHECK_RATIO: Final = 0.25


class HedgeTimer:
    """Sends a hedge for each part whose latest attempt is overdue.

    A part is hedged again after another delay, because a hedge can be slow
    too.

    Parameters
    ----------
    query : AcceptedQuery
        Query whose latency tracker gives the hedge delay.
    sender : AttemptSender
        Holds the open attempts.
    hedge : callable
        Called with a part. Returns True if it sent a hedge, and False if the
        part has no replica left or the budget has no token.
    """

    def __init__(
        self,
        query: AcceptedQuery,
        sender: AttemptSender,
        hedge: Callable[[Part], bool],
    ) -> None:
        """Set up the state without a scheduled timer."""
        self._query = query
        self._sender = sender
        self._hedge = hedge
        self._timer: TimerHandle | None = None

    def schedule(self, due_in_s: Seconds | None = None) -> None:
        """Schedule the next check for overdue attempts.

        Does nothing if a check is scheduled already, or if `hedge_delay_s`
        gives no delay.

        Parameters
        ----------
        due_in_s : float, optional
            Time to the check, in seconds. The default is the hedge delay.
        """
        delay_s = hedge_delay_s(
            self._query.tracker.quantile_s,
            self._query.time_left_s(),
            suspect=self._sender.crash_suspected,
        )
        if delay_s is not None and self._timer is None:
            self._timer = self._query.shared.context.timers.after(
                delay_s if due_in_s is None else due_in_s,
                self._hedge_overdue_parts,
            )

    def schedule_soon(self) -> None:
        """Schedule a check after 0.5 ms if the latency quantile is known.

        Does nothing if a check is scheduled already.

        The first query of a daemon to many shards collects enough latency
        samples while it runs.
        """
        if self._timer is None:
            self.schedule(_COALESCING_WINDOW_S)

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _hedge_overdue_parts(self) -> None:
        self._timer = None
        if self._sender.crash_suspected:
            return
        delay_s = self._query.tracker.quantile_s or 0
        now_s = self._query.shared.context.timers.now_s()
        # The latest attempt of a part replaces the earlier ones in the dict,
        # because the attempts are in sending order.
        latest_by_part = {
            attempt.part: attempt
            for attempt in self._sender.open_attempt_by_id.values()
        }
        next_s = delay_s
        for part, attempt in latest_by_part.items():
            left_s = attempt.sent_at_s + delay_s - now_s
            if left_s <= _COALESCING_WINDOW_S:
                self._sender.record_overdue(attempt)
                left_s = delay_s
                if not self._hedge(part):
                    left_s *= _RECHECK_RATIO
            next_s = min(next_s, left_s)
        if latest_by_part:
            self.schedule(next_s)
