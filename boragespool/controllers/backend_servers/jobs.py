"""Attempts at a dispatcher from their arrival to their reply."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from boragespool.messages import WorkReply
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Coroutine

    from boragespool.blackboard.topics import ServerObservation
    from boragespool.http import HttpConnection
    from boragespool.messages import WorkRequest
    from boragespool.ranks import QueuedWork
    from boragespool.types import Incarnation, Seconds, ServerName


BLOCKED_FAILURE: Final = Failure(
    ResultCode.REQUEST_BLOCKED,
    'requests like this one crashed backend servers',
)


@dataclass(slots=True)
class Job:
    """One attempt.

    Attributes
    ----------
    received_s, started_s : float
        Times on the clock of the timer service; infinity before the start.
    connection : HttpConnection or None
        Connection that carries the work.
    cancel_run : RunState or None
        What the server said about execution when it cancelled the work.
    is_overdue : bool
        Whether it was cancelled because its deadline passed.
    """

    work: WorkRequest
    queued: QueuedWork
    received_s: Seconds
    answer: asyncio.Future[WorkReply]
    started_s: Seconds = math.inf
    connection: HttpConnection | None = None
    cancel_run: RunState | None = None
    is_overdue: bool = False


@dataclass(frozen=True, slots=True)
class WorkInFlight:
    """Work on a server at the moment when it was lost.

    Attributes
    ----------
    alone : bool
        Whether it was a suspect that ran alone.
    """

    fingerprints: tuple[int, ...]
    alone: bool


@dataclass(frozen=True, slots=True)
class BackendHooks:
    """What a backend server needs from its controller.

    Attributes
    ----------
    spawn : callable
        Runs a coroutine that ends with the controller.
    lost : callable
        Called with server, incarnation and work in flight after a loss;
        returns when the peers know of it.
    observed : callable
        Called with the server and a new observation.
    """

    spawn: Callable[[Coroutine[Any, Any, None]], object]
    lost: Callable[
        [ServerName, Incarnation, WorkInFlight],
        Coroutine[Any, Any, None],
    ]
    observed: Callable[[ServerName, ServerObservation], None]


def was_served(reply: WorkReply) -> bool:
    """Whether the backend server ran the work to its end."""
    return reply.code in {ResultCode.COMPLETE, ResultCode.CLAIM_FAILED}


def refusal(work: WorkRequest, failure: Failure) -> WorkReply:
    """Return the reply to work that was not run."""
    return WorkReply(
        work.attempt_id,
        int(failure.code),
        failure.run,
        reason=failure.reason,
        retry_after_s=failure.retry_after_s,
    )


def interrupted(job: Job, now_s: Seconds) -> WorkReply:
    """Return the reply to work that was cancelled while it ran."""
    is_late = now_s >= job.queued.deadline_at_s
    code = ResultCode.DEADLINE_PASSED if is_late else ResultCode.CANCELLED
    return WorkReply(
        job.work.attempt_id,
        int(code),
        job.cancel_run or RunState.UNKNOWN,
        reason='cancelled while it ran',
    )
