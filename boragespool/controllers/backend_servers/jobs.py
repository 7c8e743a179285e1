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
    run_state_at_cancel : RunState or None
        What the server said about execution when it cancelled the work.
    has_passed_deadline : bool
        Whether it was cancelled because its deadline passed.
    """

    work: WorkRequest
    queued: QueuedWork
    received_s: Seconds
    reply_future: asyncio.Future[WorkReply]
    started_s: Seconds = math.inf
    connection: HttpConnection | None = None
    run_state_at_cancel: RunState | None = None
    has_passed_deadline: bool = False


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
    on_loss : callable
        Called with server, incarnation and work in flight after a loss;
        returns when the peers know of it.
    on_observation : callable
        Called with the server and a new observation.
    """

    spawn: Callable[[Coroutine[Any, Any, None]], object]
    on_loss: Callable[
        [ServerName, Incarnation, WorkInFlight],
        Coroutine[Any, Any, None],
    ]
    on_observation: Callable[[ServerName, ServerObservation], None]


def ran_to_completion(reply: WorkReply) -> bool:
    """Whether the backend server ran the work to its end."""
    return reply.code in {ResultCode.COMPLETE, ResultCode.CLAIM_FAILED}


def refusal_reply(work: WorkRequest, failure: Failure) -> WorkReply:
    """Return the reply to work that was not run."""
    return WorkReply(
        work.attempt_id,
        int(failure.code),
        failure.run,
        reason=failure.reason,
        retry_after_s=failure.retry_after_s,
    )


def cancellation_reply(job: Job, now_s: Seconds) -> WorkReply:
    """Return the reply to work that was cancelled while it ran."""
    is_late = now_s >= job.queued.deadline_at_s
    code = ResultCode.DEADLINE_PASSED if is_late else ResultCode.CANCELLED
    return WorkReply(
        job.work.attempt_id,
        int(code),
        job.run_state_at_cancel or RunState.UNKNOWN,
        reason='cancelled while it ran',
    )
