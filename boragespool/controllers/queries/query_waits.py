"""Waits of one query for changed holdings and for budget tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.queries.query_state import AcceptedQuery
    from boragespool.timers import TimerHandle
    from boragespool.types import Seconds

#: Dispatchers notice changed holdings when they poll. The holdings of a
#: repartitioned range are usually announced within this time.
_HOLDINGS_WAIT_S: Final = 0.1
#: Fraction of the remaining time that a query may wait for changed holdings.
_HOLDINGS_WAIT_RATIO: Final = 0.25
#: Without a wait for tokens, one lost replica per shard lowered the coverage
#: of the first queries. The limit of 0.1 s in total bounds the number of
#: queries that wait in a flood.
_TOKEN_WAIT_S: Final = 0.005
_MAX_TOKEN_WAITS: Final = 20


class QueryWaits:
    """Limits how long one query waits for new holdings and budget tokens.

    Parameters
    ----------
    query : AcceptedQuery
        Query that waits.
    on_wait_ended : callable
        Called when a wait has ended.

    Attributes
    ----------
    may_wait_for_holdings : bool
        False after the wait for holdings has ended.
    """

    def __init__(
        self, query: AcceptedQuery, on_wait_ended: Callable[[], None]
    ) -> None:
        """Set up the state without a wait."""
        self._query = query
        self._on_wait_ended = on_wait_ended
        self._holdings_wait: TimerHandle | None = None
        self._token_wait: TimerHandle | None = None
        self._token_waits_left = _MAX_TOKEN_WAITS
        self.may_wait_for_holdings = True

    @property
    def is_waiting_for_holdings(self) -> bool:
        """Whether the query waits for changed holdings."""
        return self._holdings_wait is not None

    def wait_for_holdings(self) -> None:
        """Start the only wait for changed holdings, unless it is running."""
        if self._holdings_wait is None:
            left_s = self._query.time_left_s() * _HOLDINGS_WAIT_RATIO
            self._holdings_wait = self._after(
                min(left_s, _HOLDINGS_WAIT_S),
                self._end_holdings_wait,
            )

    def wait_for_token(self) -> bool:
        """Start a wait for a token; False if the number of waits is used up."""
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
        self._on_wait_ended()

    def _end_token_wait(self) -> None:
        self._token_wait = None
        self._on_wait_ended()

    def _after(
        self,
        delay_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        return self._query.shared.context.timers.after(delay_s, callback)
