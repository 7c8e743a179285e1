"""One token budget for hedges and retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.settings import HedgingSettings


class TokenBudget:
    """Token bucket that first attempts fill and second attempts empty.

    Since the start the second attempts are at most ``burst + budget_ratio *
    first attempts``. Over a later period they may also use what was saved
    up: `burst`, or the tokens of one query if these are more.

    Parameters
    ----------
    hedging : HedgingSettings
        Ratio and burst. The bucket starts full, so that a restarted daemon
        can retry.
    """

    def __init__(self, hedging: HedgingSettings) -> None:
        """Fill the bucket."""
        self._hedging = hedging
        self._tokens = hedging.burst

    @property
    def tokens(self) -> float:
        """Second attempts that may be sent now."""
        return self._tokens

    def configure(self, hedging: HedgingSettings) -> None:
        """Take over new settings; tokens above the new burst are dropped."""
        self._hedging = hedging
        self._tokens = min(self._tokens, hedging.burst)

    def earn(self, first_attempts: int) -> None:
        """Add the tokens of the first attempts of one query.

        A query that is sent to 1,900 shards earns 85 tokens at once; a limit
        of `burst` would take most of them away.
        """
        gained = first_attempts * self._hedging.budget_ratio
        limit = max(self._hedging.burst, gained)
        self._tokens = min(limit, self._tokens + gained)

    def spend(self) -> bool:
        """Take the token of one second attempt; False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
