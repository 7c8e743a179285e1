"""Sleeping on a timer service, and exponential backoff."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.timers import TimerService
    from boragespool.types import Seconds


async def pause(timers: TimerService, delay_s: Seconds) -> None:
    """Sleep for a time of the timer service, which tests can advance.

    Parameters
    ----------
    timers : TimerService
        Timers that end the pause.
    delay_s : float
        Duration of the pause, in seconds.
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
    """Return the delay before a retry: exponential backoff with jitter.

    Parameters
    ----------
    failure_count : int
        Number of consecutive failed attempts, at least 1.
    first_s, limit_s : float
        Delay after the first failure, and the maximum delay, in seconds,
        both before the jitter.
    draw : float
        Random number in ``[0, 1)`` for the jitter, which avoids that callers
        whose attempts failed together retry together.

    Returns
    -------
    float
        Delay in seconds: between half of the exponential delay and all of it.
    """
    # 2**20 times the first delay is more than any limit in use.
    doublings = min(failure_count - 1, 20)
    full_s = min(limit_s, math.ldexp(first_s, doublings))
    return full_s * (1 + draw) / 2
