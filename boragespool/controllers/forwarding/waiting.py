"""Calls of a daemon that wait until a backend server has room."""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import TYPE_CHECKING, Final

from boragespool.forwarding import CallQueue
from boragespool.metrics import FORWARD_WAITS

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.forwarding import WaitingCall
    from boragespool.timers import TimerService
    from boragespool.types import Seconds, ServiceName

#: Calls that are tried for one free connection. The first ones may wait for
#: another server, since they were sent to this one before.
_LOOK_AHEAD: Final = 4


class WaitingCalls:
    """One queue for each service.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        """Start without calls."""
        self._timers = timers
        self._queues_by_service: defaultdict[ServiceName, CallQueue]
        self._queues_by_service = defaultdict(CallQueue)
        self._resume_by_number: dict[int, Callable[[], bool]] = {}

    def join(
        self,
        service: ServiceName,
        call: WaitingCall,
        resume: Callable[[], bool],
    ) -> bool:
        """Let a call wait; False if its turn would come too late.

        Parameters
        ----------
        resume : callable
            Sends the call; False if no server that it may use has room.
        """
        queue = self._queues_by_service[service]
        is_waiting = queue.add(call, self._timers.now_s())
        FORWARD_WAITS.labels(
            str(call.priority),
            'waits' if is_waiting else 'refused',
        ).inc()
        if is_waiting:
            self._resume_by_number[call.number] = resume
        return is_waiting

    def leave(self, service: ServiceName, number: int) -> None:
        """Forget a call that has ended."""
        if self._resume_by_number.pop(number, None) is not None:
            self._queues_by_service[service].remove(number)

    def is_waiting(self, service: ServiceName) -> bool:
        """Whether a call to the service waits."""
        return bool(self._queues_by_service.get(service))

    def wait_s(self, service: ServiceName, priority: int) -> Seconds:
        """Return how long one more call would wait, in seconds."""
        queue = self._queues_by_service.get(service)
        if queue is None:
            return 0
        return queue.wait_s(priority, self._timers.now_s())

    def serve(self, service: ServiceName) -> None:
        """Send calls while servers of the service have room."""
        queue = self._queues_by_service.get(service)
        while queue and self._serve_one(queue):
            pass

    def serve_all(self) -> None:
        """Send calls of all services."""
        for service in tuple(self._queues_by_service):
            self.serve(service)

    def _serve_one(self, queue: CallQueue) -> bool:
        now_s = self._timers.now_s()
        for number in itertools.islice(queue.order(now_s), _LOOK_AHEAD):
            if self._resume_by_number[number]():
                self._resume_by_number.pop(number, None)
                queue.mark_dispatched(number, now_s)
                return True
        return False
