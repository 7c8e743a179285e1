"""Concurrency limit of one backend server.

Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of the
increase and decrease algorithms for congestion avoidance in computer
networks", 1989). Only replies, shed requests and a change of the configured
slots change the limit; load that the backend server reports does not.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds

_DECREASE_FACTOR: Final = 0.5
#: Shed requests within this time after a decrease do not cause another one.
_MIN_DECREASE_INTERVAL_S: Final = 0.1


@dataclass(frozen=True, slots=True)
class LimitState:
    """Concurrency limit of one backend server.

    Attributes
    ----------
    slots : int
        Configured number of slots, the upper bound of the limit.
    fractional_limit : float
        Number of requests that may run at the same time, before rounding
        down.
    reduced_at_s : float
        Time of the last decrease, in seconds.
    """

    slots: int
    fractional_limit: float = 1
    reduced_at_s: Seconds = -math.inf

    @property
    def limit(self) -> int:
        """Number of requests that may run at the same time, at least one."""
        return max(1, int(self.fractional_limit))

    @property
    def cold(self) -> bool:
        """Whether the limit is below the configured slots."""
        return self.limit < self.slots


def initial_limit(slots: int) -> LimitState:
    """Return the limit of a server that just started: one request."""
    return LimitState(slots)


def after_reply(state: LimitState, in_flight: int) -> LimitState:
    """Raise the limit by one per round of replies, if it was used up.

    Parameters
    ----------
    state : LimitState
        Limit before the reply.
    in_flight : int
        Number of requests at the server, the answered one included.
    """
    if in_flight < state.limit or state.limit >= state.slots:
        return state
    return replace(
        state, fractional_limit=state.fractional_limit + 1 / state.limit
    )


def after_shed(state: LimitState, now_s: Seconds) -> LimitState:
    """Halve the limit, once per burst of shed requests."""
    if now_s - state.reduced_at_s < _MIN_DECREASE_INTERVAL_S:
        return state
    reduced = max(1, state.limit * _DECREASE_FACTOR)
    return LimitState(state.slots, reduced, now_s)


def with_slots(state: LimitState, slots: int) -> LimitState:
    """Return the limit after a change of the configured slots.

    Fewer slots lower the limit at once; more slots only raise its upper bound.
    """
    return replace(
        state, slots=slots, fractional_limit=min(state.fractional_limit, slots)
    )
