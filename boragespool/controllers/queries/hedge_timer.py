"""The timer that finds overdue attempts of one query."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.routing import hedge_delay_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.queries.attempts import AttemptSender
    from boragespool.controllers.queries.query_state import AcceptedQuery, Part
    from boragespool.timers import Subscription
    from boragespool.types import Seconds

#: Attempts that are due within this time are hedged together.
_COALESCING_WINDOW_S: Final = 0.0005
#: Share of the delay after which a part without a hedge is looked at again.
_RECHECK_RATIO: Final = 0.25


class HedgeTimer:
    """Calls back for each part whose latest attempt is overdue.

    Parameters
    ----------
    work : AcceptedQuery
        The query; its tracker gives the delay.
    sender : AttemptSender
        Open attempts.
    hedge : callable
        Sends a hedge if there is a replica and a token for it; says whether
        it did. A part is hedged again after another delay, because a hedge
        can be slow too.
    """

    def __init__(
        self,
        query: AcceptedQuery,
        sender: AttemptSender,
        hedge: Callable[[Part], bool],
    ) -> None:
        """Start without a timer."""
        self._query = query
        self._sender = sender
        self._hedge = hedge
        self._subscription: Subscription | None = None

    def set(self, due_in_s: Seconds | None = None) -> None:
        """Set the timer unless it is set or a hedge would be of no use."""
        delay_s = hedge_delay_s(
            self._query.tracker.quantile_s,
            self._query.time_left_s(),
            suspect=self._sender.crash_suspected,
        )
        if delay_s is not None and self._subscription is None:
            self._subscription = self._query.shared.context.timers.after(
                delay_s if due_in_s is None else due_in_s,
                self._hedge_overdue_parts,
            )

    def schedule_soon(self) -> None:
        """Set the timer if replies have made the latency known.

        The first wide query of a daemon gets enough samples while it runs.
        """
        if self._subscription is None:
            self.set(_COALESCING_WINDOW_S)

    def stop(self) -> None:
        """Cancel the timer."""
        if self._subscription is not None:
            self._subscription.cancel()

    def _hedge_overdue_parts(self) -> None:
        self._subscription = None
        if self._sender.crash_suspected:
            return
        delay_s = self._query.tracker.quantile_s or 0
        now_s = self._query.shared.context.timers.now_s()
        # A part's latest attempt comes last.
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
            self.set(next_s)
