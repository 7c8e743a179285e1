"""Timer service: the clock and the timers that the controllers use."""

from __future__ import annotations

from boragespool.timers.service import (
    LoopTimers,
    RestartableTimer,
    TimerHandle,
    TimerService,
    VirtualTimers,
)

__all__ = (
    'LoopTimers',
    'RestartableTimer',
    'TimerHandle',
    'TimerService',
    'VirtualTimers',
)
