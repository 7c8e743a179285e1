"""Work that reaches a dispatcher before it has a revision in force.

Other daemons send work to a new daemon as soon as it is a member, which can
be before it has read the settings.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from boragespool.controllers.backend_servers.jobs import refusal_reply
from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.messages import WorkReply, WorkRequest
    from boragespool.timers import TimerHandle, TimerService
    from boragespool.types import AttemptId, Seconds

#: Maximum number of attempts that are held; the others are refused.
_CAPACITY: Final = 1_000
_NOT_READY: Final = Failure(
    ResultCode.NOT_READY,
    'this daemon has no revision in force yet',
)


@dataclass(frozen=True, slots=True)
class _HeldWork:
    work: WorkRequest
    reply: Callable[[WorkReply], None]
    received_s: Seconds
    expiry: TimerHandle


class EarlyWork:
    """Holds work until the first revision or the deadline of the work.

    Parameters
    ----------
    timers : TimerService
        Clock and timers.
    """

    def __init__(self, timers: TimerService) -> None:
        """Hold nothing at first."""
        self._timers = timers
        self._held_by_attempt: dict[AttemptId, _HeldWork] = {}

    def hold(
        self, work: WorkRequest, reply: Callable[[WorkReply], None]
    ) -> None:
        """Keep work that cannot be run yet.

        Parameters
        ----------
        work : WorkRequest
            Work to hold. It is refused as not run once its deadline passes,
            or at once if too much is held or the attempt is held already.
        reply : callable
            Called with the refusal.
        """
        is_held = work.attempt_id in self._held_by_attempt
        if is_held or len(self._held_by_attempt) >= _CAPACITY:
            reply(refusal_reply(work, _NOT_READY))
            return
        expiry = self._timers.after(
            work.deadline_s, lambda: self._refuse(work.attempt_id)
        )
        self._held_by_attempt[work.attempt_id] = _HeldWork(
            work, reply, self._timers.now_s(), expiry
        )

    def cancel(self, attempt_id: AttemptId) -> None:
        """Drop work that is no longer needed; unknown ids are ignored."""
        held = self._held_by_attempt.pop(attempt_id, None)
        if held is not None:
            held.expiry.cancel()

    def release(
        self,
    ) -> tuple[tuple[WorkRequest, Callable[[WorkReply], None]], ...]:
        """Return the held work, with the time that is left, and hold none."""
        now_s = self._timers.now_s()
        released = tuple(self._held_by_attempt.values())
        self._held_by_attempt.clear()
        for held in released:
            held.expiry.cancel()
        return tuple((_aged(entry, now_s), entry.reply) for entry in released)

    def refuse_all(self) -> None:
        """Refuse all held work as not run."""
        for attempt_id in tuple(self._held_by_attempt):
            self._refuse(attempt_id)

    def _refuse(self, attempt_id: AttemptId) -> None:
        held = self._held_by_attempt.pop(attempt_id, None)
        if held is not None:
            held.expiry.cancel()
            held.reply(refusal_reply(held.work, _NOT_READY))


def _aged(held: _HeldWork, now_s: Seconds) -> WorkRequest:
    """Return held work with the time that is left to it."""
    held_s = now_s - held.received_s
    return replace(held.work, deadline_s=held.work.deadline_s - held_s)
