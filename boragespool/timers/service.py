"""Timers on the event loop's clock or on a virtual clock."""

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
    """A timer that can be cancelled."""

    callback: Callable[[], None]
    active: bool = True

    def cancel(self) -> None:
        """Prevent further calls."""
        self.active = False

    def fire(self) -> None:
        """Call back unless cancelled."""
        if self.active:
            self.callback()


class TimerService(Protocol):
    """Monotonic time and callbacks, in seconds."""

    def now_s(self) -> Seconds:
        """Return monotonic time."""
        ...

    def after(
        self,
        delay_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call back once."""
        ...

    def every(
        self,
        interval_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call back at each interval until cancelled."""
        ...


def _repeat(
    timers: TimerService,
    interval_s: Seconds,
    callback: Callable[[], None],
) -> TimerHandle:
    """Chain one-shot timers, so that a late tick delays the following ones."""

    def tick() -> None:
        timers.after(interval_s, subscription.fire)
        callback()

    def tick_if_active() -> None:
        if subscription.active:
            tick()

    subscription = TimerHandle(tick_if_active)
    timers.after(interval_s, subscription.fire)
    return subscription


class LoopTimers:
    """Timers on the running asyncio loop."""

    def now_s(self) -> Seconds:
        """Return the loop's monotonic time."""
        return asyncio.get_running_loop().time()

    def after(
        self,
        delay_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call back once."""
        subscription = TimerHandle(callback)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, subscription.fire)
        return subscription

    def every(
        self,
        interval_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call back at each interval until cancelled."""
        return _repeat(self, interval_s, callback)


class VirtualTimers:
    """Timers on a clock that only `advance` moves."""

    def __init__(self, start_s: Seconds = 0) -> None:
        """Set the clock."""
        self._now_s = start_s
        self._order = itertools.count()
        self._heap: list[tuple[Seconds, int, TimerHandle]] = []

    def now_s(self) -> Seconds:
        """Return virtual time."""
        return self._now_s

    def after(
        self,
        delay_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call back once."""
        subscription = TimerHandle(callback)
        due_s = self._now_s + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), subscription))
        return subscription

    def every(
        self,
        interval_s: Seconds,
        callback: Callable[[], None],
    ) -> TimerHandle:
        """Call back at each interval until cancelled."""
        return _repeat(self, interval_s, callback)

    def advance(self, duration_s: Seconds) -> None:
        """Move the clock and fire what falls due, in order of time."""
        end_s = self._now_s + duration_s
        while self._heap and self._heap[0][0] <= end_s:
            due_s, _, subscription = heapq.heappop(self._heap)
            self._now_s = due_s
            subscription.fire()
        self._now_s = end_s
