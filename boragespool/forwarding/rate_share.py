"""This daemon's share of the rate that a backend server accepts.

A server in need names the rate that it takes from all daemons together. The
daemons divide it without messages between them, and each sends its share in
even steps.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds

#: Time for which an unused share is kept, in seconds, so that requests that
#: arrive unevenly can use it.
_MAX_UNUSED_S: Final = 0.25
#: Difference between sums of times that may be due to rounding.
_ROUNDING_ERROR: Final = 1e-6


@dataclass(frozen=True, slots=True)
class RateShare:
    """Requests that one daemon may send to one server, as a token bucket.

    Attributes
    ----------
    rate_per_s : float
        Requests a second; infinite if the server names no limit.
    tokens : float
        Requests that could be sent at `updated_at_s`.
    """

    rate_per_s: float = math.inf
    tokens: float = 0
    updated_at_s: Seconds = 0

    def at(self, now_s: Seconds) -> RateShare:
        """Return the share with the tokens of a later time."""
        if math.isinf(self.rate_per_s):
            return self
        most = max(1, self.rate_per_s * _MAX_UNUSED_S)
        added = self.rate_per_s * max(0, now_s - self.updated_at_s)
        return replace(
            self, tokens=min(most, self.tokens + added), updated_at_s=now_s
        )

    def with_rate(self, rate_per_s: float, now_s: Seconds) -> RateShare:
        """Return the share with another rate from now on.

        The first limit begins without tokens: the request whose answer named
        it has used them.
        """
        tokens = 0 if math.isinf(self.rate_per_s) else self.at(now_s).tokens
        return RateShare(rate_per_s, tokens, now_s)

    def after_send(self, now_s: Seconds) -> RateShare:
        """Return the share after a request was sent."""
        if math.isinf(self.rate_per_s):
            return self
        current = self.at(now_s)
        return replace(current, tokens=current.tokens - 1)

    def wait_s(self, now_s: Seconds) -> Seconds:
        """Return the time until a request may be sent, in seconds."""
        if math.isinf(self.rate_per_s):
            return 0
        missing = 1 - self.at(now_s).tokens
        if missing <= _ROUNDING_ERROR:
            return 0
        return missing / self.rate_per_s if self.rate_per_s else math.inf
