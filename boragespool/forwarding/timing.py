"""When a request is hedged, answered in part, or given up."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.forwarding.routes import ForwardRoute
    from boragespool.types import Seconds

#: Part of the target latency that a caller's handshake, the way there and back
#: and the loop take, in seconds: 12 ms of network and the rest measured as the
#: lateness of answers that were due 20 ms before the target.
_RETURN_S: Final = 0.034
#: Least part of the target latency that is left to the backend servers.
_LEAST_TARGET_SHARE: Final = 0.5
#: Time that a final answer needs before the caller's own deadline.
_FINAL_S: Final = 0.03
#: Part of the target latency after which one backend server that has not
#: answered is hedged, if the quantile says less.
_LEAST_HEDGE_SHARE: Final = 0.12


@dataclass(frozen=True, slots=True)
class Deadlines:
    """Points in time of one request, on the clock of the timer service.

    Attributes
    ----------
    target_at_s : float
        An answer that leaves by then reaches the caller while it is worth
        most.
    deadline_at_s : float
        Latest final answer.
    caller_deadline_at_s : float
        End of the caller's patience, which backend servers are told.
    """

    target_at_s: Seconds
    deadline_at_s: Seconds
    caller_deadline_at_s: Seconds


def plan_deadlines(
    route: ForwardRoute,
    timeout_s: Seconds | None,
    arrived_at_s: Seconds,
) -> Deadlines:
    """Return the points in time of a request that arrived just now.

    Parameters
    ----------
    timeout_s : float or None
        Time for which the caller waits; None if it does not say.
    """
    patience_s = route.timeout_s
    if timeout_s is not None:
        patience_s = min(patience_s, timeout_s)
    target_s = max(
        route.target_latency_s - _RETURN_S,
        route.target_latency_s * _LEAST_TARGET_SHARE,
    )
    return Deadlines(
        arrived_at_s + target_s,
        arrived_at_s + max(0, patience_s - _FINAL_S),
        arrived_at_s + patience_s,
    )


def hedge_delay_s(
    route: ForwardRoute,
    quantile_s: Seconds | None,
    round_trip_s: Seconds,
) -> Seconds:
    """Return after how long an unanswered attempt is hedged, in seconds.

    Parameters
    ----------
    quantile_s : float or None
        Latency, without the distance, that few attempts exceed; None while
        it is unknown.
    round_trip_s : float
        Round trip to the server of the first attempt.
    """
    least_s = route.target_latency_s * _LEAST_HEDGE_SHARE
    if quantile_s is None:
        return route.target_latency_s / 2
    return max(least_s, quantile_s) + round_trip_s


def meets_coverage(route: ForwardRoute, answered: int, total: int) -> bool:
    """Whether the answers of some shards make up an answer."""
    if total == 0:
        return False
    needed = math.ceil(route.required_coverage * total - 1e-9)
    return answered >= max(1, needed)
