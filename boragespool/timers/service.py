"""Timers on the clock of the event loop or on a virtual clock."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.types import Seconds


@dataclass(slots=True)
class TimerHandle:
    """Handle of a scheduled callback, with which it can be cancelled.

    Attributes
    ----------
    callback : callable or None
        None once the timer was cancelled, so that what it refers to can be
        freed before the timer is due.
    """

    callback: Callable[[], None] | None

    @property
    def active(self) -> bool:
        """False once the timer was cancelled."""
        return self.callback is not None

    def cancel(self) -> None:
        """Cancel the timer; its callback is not called any more."""
        self.callback = None

    def fire(self) -> None:
        """Call the callback unless the timer was cancelled."""
        if self.callback is not None:
            self.callback()


class TimerService(Protocol):
    """Interface to a monotonic clock and its timers; times are in seconds."""

    def now_s(self) -> Seconds:
        """Return the monotonic time, in seconds."""
        ...

    def after(
        self,
        delay_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call a function once, after a delay in seconds."""
        ...

    def every(
        self,
        interval_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call a function at each interval, in seconds, until cancelled."""
        ...


def _schedule_repeating(
    timers: TimerService,
    interval_s: Seconds,
    callback: Callable[[], None],
) -> TimerHandle:
    """Schedule a callback repeatedly with a chain of one-shot timers.

    The next call is due one interval after the last one began: a late call
    delays the following ones, and missed calls are not made up for.
    """

    def reschedule_and_call() -> None:
        timers.after(interval_s, handle.fire)
        callback()

    def call_if_active() -> None:
        if handle.active:
            reschedule_and_call()

    handle = TimerHandle(call_if_active)
    timers.after(interval_s, handle.fire)
    return handle


class LoopTimers:
    """Timers on the running asyncio event loop."""

    def now_s(self) -> Seconds:
        """Return the monotonic time of the event loop, in seconds."""
        return asyncio.get_running_loop().time()

    def after(
        self,
        delay_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call a function once, after a delay in seconds."""
        handle = TimerHandle(callback)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, handle.fire)
        return handle

    def every(
        self,
        interval_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call a function at each interval, in seconds, until cancelled."""
        return _schedule_repeating(self, interval_s, callback)


class RestartableTimer:
    """Timer of which at most one callback is scheduled.

    Parameters
    ----------
    timers : TimerService
        Clock and timers.
    """

    def __init__(self, timers: TimerService) -> None:
        """Set up a timer without a callback."""
        self._timers = timers
        self._handle: TimerHandle | None = None

    def restart(self, delay_s: Seconds, callback: Callable[[], None]) -> None:
        """Call a function after a delay in seconds, in place of the last."""
        self.cancel()
        self._handle = self._timers.after(delay_s, callback)

    def cancel(self) -> None:
        """Cancel the callback, if one is scheduled."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


class VirtualTimers:
    """Timers on a virtual clock that only `advance` moves, for tests.

    Parameters
    ----------
    start_s : float, optional
        Initial time, in seconds.
    """

    def __init__(self, start_s: Seconds = 0) -> None:
        """Set the clock; no timer is scheduled."""
        self._now_s = start_s
        self._order = itertools.count()
        self._heap: list[tuple[Seconds, int, TimerHandle]] = []

    def now_s(self) -> Seconds:
        """Return the virtual time, in seconds."""
        return self._now_s

    def after(
        self,
        delay_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call a function once, after a delay in seconds."""
        handle = TimerHandle(callback)
        due_s = self._now_s + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), handle))
        return handle

    def every(
        self,
        interval_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call a function at each interval, in seconds, until cancelled."""
        return _schedule_repeating(self, interval_s, callback)

    def advance(self, duration_s: Seconds) -> None:
        """Move the clock and fire the timers that fall due, in order of time.

        Parameters
        ----------
        duration_s : float
            Time by which the clock moves, in seconds.
        """
        end_s = self._now_s + duration_s
        while self._heap and self._heap[0][0] <= end_s:
            due_s, _, handle = heapq.heappop(self._heap)
            self._now_s = due_s
            handle.fire()
        self._now_s = end_s
