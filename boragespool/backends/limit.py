"""Concurrency limit of one backend server.

Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of the
increase and decrease algorithms for congestion avoidance in computer
networks", 1989). Only replies and shedding move the limit; reports of the
backend server do not.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds

_DECREASE: Final = 0.5
#: Shedding within this time of a decrease is answered by that decrease.
_DECREASE_INTERVAL_S: Final = 0.1


@dataclass(frozen=True, slots=True)
class LimitState:
    """Limit of one backend server.

    Attributes
    ----------
    slots : int
        Configured slots, the upper bound.
    allowed : float
        Requests that may run at the same time, before rounding down.
    reduced_at_s : float
        Time of the last decrease, in seconds.
    """

    slots: int
    fractional_limit: float = 1
    reduced_at_s: Seconds = -math.inf

    @property
    def limit(self) -> int:
        """Requests that may run at the same time, at least one."""
        return max(1, int(self.fractional_limit))

    @property
    def cold(self) -> bool:
        """Whether the limit is below the configured slots."""
        return self.limit < self.slots


def initial_limit(slots: int) -> LimitState:
    """Return the limit of a server that just started: one slot."""
    return LimitState(slots)


def after_reply(state: LimitState, in_flight: int) -> LimitState:
    """Raise the limit by one per round of replies, if it was in use.

    Parameters
    ----------
    state : LimitState
        Limit before the reply.
    in_flight : int
        Requests that ran at the server, the answered one included.
    """
    if in_flight < state.limit or state.limit >= state.slots:
        return state
    return replace(
        state, fractional_limit=state.fractional_limit + 1 / state.limit
    )


def after_shed(state: LimitState, now_s: Seconds) -> LimitState:
    """Halve the limit, once for one burst of shed requests."""
    if now_s - state.reduced_at_s < _DECREASE_INTERVAL_S:
        return state
    lowered = max(1, state.limit * _DECREASE)
    return LimitState(state.slots, lowered, now_s)


def with_slots(state: LimitState, slots: int) -> LimitState:
    """Follow a change of the configured slots; more slots are ramped up."""
    return replace(
        state, slots=slots, fractional_limit=min(state.fractional_limit, slots)
    )
