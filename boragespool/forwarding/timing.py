"""Deadlines, hedging delay and required coverage of a request."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.forwarding.routes import ForwardRoute
    from boragespool.types import Seconds

#: Part of the target latency that passes outside the forwarding itself, in
#: seconds: the caller's handshake, the network round trip and the delay of the
#: event loop. 12 ms are network time; the rest is the lateness of responses
#: that were due 20 ms before the target.
_CALLER_OVERHEAD_S: Final = 0.034
#: Least fraction of the target latency that is left to the backend servers.
_MIN_TARGET_RATIO: Final = 0.5
#: Time before the caller's timeout at which the final response must be sent, in
#: seconds.
_FINAL_RESPONSE_MARGIN_S: Final = 0.03
#: Lower bound of the hedging delay, as a fraction of the target latency.
_MIN_HEDGE_DELAY_RATIO: Final = 0.12


@dataclass(frozen=True, slots=True)
class Deadlines:
    """Deadlines of one request, in seconds on the clock of the timer service.

    Attributes
    ----------
    target_at_s : float
        Time by which a response must be sent to reach the caller within the
        target latency.
    deadline_at_s : float
        Time by which the final response must be sent.
    caller_deadline_at_s : float
        Time at which the caller stops waiting. It is passed on to backend
        servers.
    """

    target_at_s: Seconds
    deadline_at_s: Seconds
    caller_deadline_at_s: Seconds


def plan_deadlines(
    route: ForwardRoute,
    timeout_s: Seconds | None,
    arrived_at_s: Seconds,
) -> Deadlines:
    """Return the deadlines of a request.

    Parameters
    ----------
    route : ForwardRoute
        Route of the request, with its target latency and timeout.
    timeout_s : float or None
        Time for which the caller waits, in seconds; None if the request does
        not state it.
    arrived_at_s : float
        Arrival of the request on the clock of the timer service.
    """
    caller_timeout_s = route.timeout_s
    if timeout_s is not None:
        caller_timeout_s = min(caller_timeout_s, timeout_s)
    target_s = max(
        route.target_latency_s - _CALLER_OVERHEAD_S,
        route.target_latency_s * _MIN_TARGET_RATIO,
    )
    return Deadlines(
        arrived_at_s + target_s,
        arrived_at_s + max(0, caller_timeout_s - _FINAL_RESPONSE_MARGIN_S),
        arrived_at_s + caller_timeout_s,
    )


def hedge_delay_s(
    route: ForwardRoute,
    quantile_s: Seconds | None,
    round_trip_s: Seconds,
) -> Seconds:
    """Return the delay after which an unanswered attempt is hedged, in seconds.

    Parameters
    ----------
    route : ForwardRoute
        Route of the request, with its target latency.
    quantile_s : float or None
        High quantile of the service time, in seconds; None while it is
        unknown, for which the delay is half of the target latency.
    round_trip_s : float
        Network round trip time to the server of the first attempt, in
        seconds.
    """
    min_delay_s = route.target_latency_s * _MIN_HEDGE_DELAY_RATIO
    if quantile_s is None:
        return route.target_latency_s / 2
    return max(min_delay_s, quantile_s) + round_trip_s


def meets_coverage(
    route: ForwardRoute, replied_count: int, total_count: int
) -> bool:
    """Return whether enough shards have replied for the required coverage.

    At least one shard must have replied.
    """
    if total_count == 0:
        return False
    required_count = math.ceil(route.required_coverage * total_count - 1e-9)
    return replied_count >= max(1, required_count)
