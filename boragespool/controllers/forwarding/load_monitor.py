"""Measures the lateness of the event loop and reports when it is busy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Self

from boragespool.events import Event, log_event
from boragespool.forwarding import Busyness, after_sample
from boragespool.metrics import LOOP_LATENESS

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.timers import TimerHandle, TimerService

#: Interval of the measurements, in seconds.
_INTERVAL_S: Final = 0.25


class LoadMonitor:
    """Measures the event loop while it is entered.

    Parameters
    ----------
    timers : TimerService
        Clock and timers.
    on_change : callable
        Called with True once the daemon is busy, and with False once it is
        no longer.
    """

    def __init__(
        self, timers: TimerService, on_change: Callable[[bool], None]
    ) -> None:
        """Set up a monitor that measures nothing until it is entered."""
        self._timers = timers
        self._on_change = on_change
        self._busyness = Busyness()
        self._last_at_s = timers.now_s()
        self._timer: TimerHandle | None = None

    def __enter__(self) -> Self:
        """Start to measure."""
        self._last_at_s = self._timers.now_s()
        self._timer = self._timers.every(_INTERVAL_S, self._measure)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()

    def _measure(self) -> None:
        now_s = self._timers.now_s()
        lateness_s = now_s - self._last_at_s - _INTERVAL_S
        self._last_at_s = now_s
        before = self._busyness
        self._busyness = after_sample(before, lateness_s, now_s)
        LOOP_LATENESS.set(self._busyness.lateness_s)
        if self._busyness.busy == before.busy:
            return
        log_event(
            Event.HOST_LOAD_CHANGED,
            'this daemon is busy'
            if self._busyness.busy
            else 'this daemon is no longer busy',
            busy=self._busyness.busy,
            lateness_s=round(self._busyness.lateness_s, 4),
        )
        self._on_change(self._busyness.busy)
