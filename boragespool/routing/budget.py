"""Budget that limits hedges and retries to a share of the first attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.settings import HedgingSettings


class TokenBudget:
    """Token bucket: first attempts add tokens, hedges and retries take them.

    Hedges and retries are called second attempts. Since the start there are at
    most ``burst + budget_ratio * first attempts`` of them. In any later period
    they may also use the saved tokens: at most `burst`, or the tokens of one
    query if these are more.

    Parameters
    ----------
    hedging : HedgingSettings
        Ratio and burst. The bucket starts full, so that a daemon can retry
        right after a restart.
    """

    def __init__(self, hedging: HedgingSettings) -> None:
        """Set up a full bucket."""
        self._hedging = hedging
        self._tokens = hedging.burst

    @property
    def tokens(self) -> float:
        """Number of second attempts that may be sent now."""
        return self._tokens

    def configure(self, hedging: HedgingSettings) -> None:
        """Apply new settings; tokens above the new burst are dropped."""
        self._hedging = hedging
        self._tokens = min(self._tokens, hedging.burst)

    def earn(self, first_attempts: int) -> None:
        """Add the tokens of the first attempts of one query.

        May fill the bucket above `burst`: a query to 1,900 shards earns 85
        tokens at once, and a limit of `burst` would drop most of them.
        """
        gained = first_attempts * self._hedging.budget_ratio
        limit = max(self._hedging.burst, gained)
        self._tokens = min(limit, self._tokens + gained)

    def spend(self) -> bool:
        """Take the token of one second attempt; False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
