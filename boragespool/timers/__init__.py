"""The timer service that all parts subscribe to."""

from __future__ import annotations

from boragespool.timers.service import (
    LoopTimers,
    Subscription,
    TimerService,
    VirtualTimers,
)

__all__ = ('LoopTimers', 'Subscription', 'TimerService', 'VirtualTimers')
