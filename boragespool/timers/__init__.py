"""Timer service: the clock and the timers that the controllers use."""

from __future__ import annotations

from boragespool.timers.service import (
    LoopTimers,
    TimerHandle,
    TimerService,
    VirtualTimers,
)

__all__ = ('LoopTimers', 'TimerHandle', 'TimerService', 'VirtualTimers')
