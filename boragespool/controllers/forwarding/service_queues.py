"""Queues of calls that wait until a backend server has capacity."""

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

#: Maximum number of queued calls that are tried when a server has capacity. The
#: first ones may already have tried that server and need a different one.
_MAX_TRIED_CALLS: Final = 4


class ServiceQueues:
    """Priority queues of waiting calls, one for each service.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        """Set up empty queues."""
        self._timers = timers
        self._queues_by_service: defaultdict[ServiceName, CallQueue]
        self._queues_by_service = defaultdict(CallQueue)
        self._send_by_number: dict[int, Callable[[], bool]] = {}

    def enqueue(
        self,
        service: ServiceName,
        call: WaitingCall,
        send: Callable[[], bool],
    ) -> bool:
        """Queue a call until a server of the service has capacity.

        Parameters
        ----------
        send : callable
            Send the call; return False, with the call still waiting, if no
            server that it may use has capacity.

        Returns
        -------
        bool
            Whether the call is queued; False if its turn would come after its
            deadline.
        """
        queue = self._queues_by_service[service]
        is_queued = queue.add(call, self._timers.now_s())
        FORWARD_WAITS.labels(
            str(call.priority),
            'waits' if is_queued else 'refused',
        ).inc()
        if is_queued:
            self._send_by_number[call.number] = send
        return is_queued

    def remove(self, service: ServiceName, number: int) -> None:
        """Remove a call from the queue of a service, if it is queued."""
        if self._send_by_number.pop(number, None) is not None:
            self._queues_by_service[service].remove(number)

    def has_waiting(self, service: ServiceName) -> bool:
        """Whether any call to the service is queued."""
        return bool(self._queues_by_service.get(service))

    def waiting_count(self, service: ServiceName) -> int:
        """Return the number of calls to the service that wait."""
        return len(self._queues_by_service.get(service, ()))

    def expected_wait_s(self, service: ServiceName, priority: int) -> Seconds:
        """Return the expected wait of one more call, in seconds."""
        queue = self._queues_by_service.get(service)
        if queue is None:
            return 0
        return queue.expected_wait_s(priority, self._timers.now_s())

    def dispatch(self, service: ServiceName) -> None:
        """Send queued calls while servers of the service have capacity."""
        queue = self._queues_by_service.get(service)
        while queue and self._dispatch_one(queue):
            pass

    def dispatch_all(self) -> None:
        """Send queued calls of each service while its servers have capacity."""
        for service in tuple(self._queues_by_service):
            self.dispatch(service)

    def _dispatch_one(self, queue: CallQueue) -> bool:
        now_s = self._timers.now_s()
        for number in itertools.islice(queue.order(now_s), _MAX_TRIED_CALLS):
            send = self._send_by_number.get(number)
            if send is not None and send():
                self._send_by_number.pop(number, None)
                queue.mark_dispatched(number, now_s)
                return True
        return False
