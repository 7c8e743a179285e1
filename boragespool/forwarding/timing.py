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
#: Time that the server of a hedge is given, as a multiple of the service time
#: without load; most servers need less.
_HEDGE_SERVICE_FACTOR: Final = 2.5


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


@dataclass(frozen=True, slots=True)
class HedgeTimes:
    """What is known about the times of an attempt and its hedge, in seconds.

    Attributes
    ----------
    quantile_s : float or None
        High quantile of the service time; None while it is unknown.
    unloaded_s : float
        Service time at a server without load.
    round_trip_s : float
        Network round trip time to the server of the first attempt.
    hedge_round_trip_s : float
        Network round trip time to the nearest server for the hedge.
    target_left_s : float
        Time until the response must be sent to meet the target latency, when
        the first attempt is sent.
    """

    quantile_s: Seconds | None
    unloaded_s: Seconds
    round_trip_s: Seconds
    hedge_round_trip_s: Seconds
    target_left_s: Seconds


def hedge_delay_s(route: ForwardRoute, times: HedgeTimes) -> Seconds:
    """Return the delay after which an unanswered attempt is hedged, in seconds.

    Answers the load of an urgent query of which each daemon sees little while
    some servers are slow: the quantile then is that of the slow servers, and
    stays so for many queries after they have recovered. A hedge that can meet
    the target is therefore sent no later than it can do so.

    Parameters
    ----------
    route : ForwardRoute
        Route of the request, with its target latency.
    times : HedgeTimes
        Observed times. While the quantile is unknown, the delay is half of the
        target latency at most.
    """
    min_delay_s = (
        route.target_latency_s * _MIN_HEDGE_DELAY_RATIO + times.round_trip_s
    )
    usual_delay_s = route.target_latency_s / 2
    if times.quantile_s is not None:
        usual_delay_s = times.quantile_s + times.round_trip_s
    latest_s = (
        times.target_left_s
        - times.hedge_round_trip_s
        - _HEDGE_SERVICE_FACTOR * times.unloaded_s
    )
    if latest_s >= min_delay_s:
        usual_delay_s = min(usual_delay_s, latest_s)
    return max(min_delay_s, usual_delay_s)


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
