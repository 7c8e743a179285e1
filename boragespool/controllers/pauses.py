"""Pauses of tasks, and the delay before another attempt."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.timers import TimerService
    from boragespool.types import Seconds


async def pause(timers: TimerService, delay_s: Seconds) -> None:
    """Wait on the timer service.

    Parameters
    ----------
    timers : TimerService
        Clock.
    delay_s : float
        Length of the pause, in seconds.
    """
    elapsed = asyncio.Event()
    handle = timers.after(delay_s, elapsed.set)
    try:
        await elapsed.wait()
    finally:
        handle.cancel()


def backoff_s(
    failure_count: int,
    first_s: Seconds,
    limit_s: Seconds,
    draw: float,
) -> Seconds:
    """Return the delay before the next attempt.

    Parameters
    ----------
    failures : int
        Failed attempts in a row, from 1.
    first_s, limit_s : float
        Delay after the first failure and the longest one, in seconds.
    draw : float
        Random number in ``[0, 1)``; it spreads callers that failed together.

    Returns
    -------
    float
        Between half of the doubled delay and all of it, in seconds.
    """
    # 2**20 times the first delay exceeds every limit in use.
    doublings = min(failure_count - 1, 20)
    full_s = min(limit_s, math.ldexp(first_s, doublings))
    return full_s * (1 + draw) / 2
