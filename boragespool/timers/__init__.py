"""The timer service that all parts subscribe to."""

from __future__ import annotations

from boragespool.timers.service import (
    LoopTimers,
    TimerHandle,
    TimerService,
    VirtualTimers,
)

__all__ = ('LoopTimers', 'TimerHandle', 'TimerService', 'VirtualTimers')
