"""Admission of requests by a daemon that is stopping.

Answers the load of a planned stop in calm: callers still have the address of
the daemon and send requests as before, but what has no answer when the
process ends is cut off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.forwarding.routes import ForwardRoute
    from boragespool.types import Seconds

#: Multiples of the usual service time that must be left until the daemon
#: ends. A request that is not idempotent cannot be sent again after it was
#: cut off.
_IDEMPOTENT_FACTOR: Final = 1.5
_NOT_IDEMPOTENT_FACTOR: Final = 3


def can_finish_before_stop(
    route: ForwardRoute,
    usual_s: Seconds | None,
    left_s: Seconds,
) -> bool:
    """Return whether a new request will probably end before the daemon does.

    Parameters
    ----------
    route : ForwardRoute
        Route of the request.
    usual_s : float or None
        High quantile of the route's service times, in seconds; None while it
        is unknown, for which the target latency is taken.
    left_s : float
        Time until the daemon sends its last responses, in seconds.
    """
    expected_s = route.target_latency_s if usual_s is None else usual_s
    if route.shards:
        # A gather may be held until its target latency for late shards.
        expected_s = max(expected_s, route.target_latency_s)
    factor = _IDEMPOTENT_FACTOR if route.idempotent else _NOT_IDEMPOTENT_FACTOR
    return expected_s * factor <= left_s
