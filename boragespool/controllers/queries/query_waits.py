"""What a query without open attempts may still wait for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.queries.query_state import AcceptedQuery
    from boragespool.timers import Subscription
    from boragespool.types import Seconds

#: Holdings change at a dispatcher's poll; a range that was just repartitioned
#: is usually announced within this time.
_HOLDINGS_WAIT_S: Final = 0.1
#: Share of the time left that a query waits for changed holdings.
_HOLDINGS_WAIT_RATIO: Final = 0.25
#: Without a wait for tokens one lost replica per shard lowered the coverage
#: of the first queries; 0.1 s in all bounds the work that a flood holds.
_TOKEN_WAIT_S: Final = 0.005
_MAX_TOKEN_WAITS: Final = 20


class QueryWaits:
    """Bounded waits of one query for holdings and for tokens.

    Parameters
    ----------
    work : AcceptedQuery
        The query.
    advance : callable
        Called when a wait ended.
    """

    def __init__(
        self, query: AcceptedQuery, advance: Callable[[], None]
    ) -> None:
        """Start without a wait."""
        self._query = query
        self._advance = advance
        self._holdings_wait: Subscription | None = None
        self._token_wait: Subscription | None = None
        self._token_waits_left = _MAX_TOKEN_WAITS
        self.may_wait_for_holdings = True

    @property
    def is_waiting_for_holdings(self) -> bool:
        """Whether the query waits for changed holdings."""
        return self._holdings_wait is not None

    def wait_for_holdings(self) -> None:
        """Wait for changed holdings; once per query."""
        if self._holdings_wait is None:
            left_s = self._query.time_left_s() * _HOLDINGS_WAIT_RATIO
            self._holdings_wait = self._after(
                min(left_s, _HOLDINGS_WAIT_S),
                self._end_holdings_wait,
            )

    def wait_for_token(self) -> bool:
        """Wait a little for a token; False if that was done too often."""
        if self._token_wait is None and self._token_waits_left:
            self._token_waits_left -= 1
            self._token_wait = self._after(
                _TOKEN_WAIT_S,
                self._end_token_wait,
            )
        return self._token_wait is not None

    def stop(self) -> None:
        """Cancel all waits."""
        for wait in (self._holdings_wait, self._token_wait):
            if wait is not None:
                wait.cancel()

    def _end_holdings_wait(self) -> None:
        self._holdings_wait = None
        self.may_wait_for_holdings = False
        self._advance()

    def _end_token_wait(self) -> None:
        self._token_wait = None
        self._advance()

    def _after(
        self,
        delay_s: Seconds,
        callback: Callable[[], None],
    ) -> Subscription:
        return self._query.shared.context.timers.after(delay_s, callback)
