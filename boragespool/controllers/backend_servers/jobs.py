"""Jobs of a dispatcher: attempts from their arrival to their reply."""

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
    'requests with the same fingerprint crashed backend servers',
)


@dataclass(slots=True)
class Job:
    """State of one attempt at its dispatcher.

    Attributes
    ----------
    work : WorkRequest
        Request of the merger or claim issuer.
    queued : QueuedWork
        Entry of the attempt in the queue of the server.
    received_s : float
        Time of the arrival, in seconds on the clock of the timer service.
    reply_future : Future of WorkReply
        Completed with the reply.
    started_s : float
        Time at which the attempt got a slot, on the same clock; infinity
        before.
    connection : HttpConnection or None
        Connection on which the work was sent.
    run_state_at_cancel : RunState or None
        Run state in the server's answer to a cancellation; None if it did not
        cancel the work.
    was_cancelled_at_deadline : bool
        Whether a cancellation was sent because the deadline passed.
    """

    work: WorkRequest
    queued: QueuedWork
    received_s: Seconds
    reply_future: asyncio.Future[WorkReply]
    started_s: Seconds = math.inf
    connection: HttpConnection | None = None
    run_state_at_cancel: RunState | None = None
    was_cancelled_at_deadline: bool = False


@dataclass(frozen=True, slots=True)
class WorkInFlight:
    """Work that was in flight on a server when a connection was lost.

    Attributes
    ----------
    fingerprints : tuple of int
        Fingerprints of the requests.
    alone : bool
        Whether a request ran alone on the server, as suspects do.
    """

    fingerprints: tuple[int, ...]
    alone: bool


@dataclass(frozen=True, slots=True)
class BackendHooks:
    """Callbacks of a `Backend` to its controller.

    Attributes
    ----------
    spawn : callable
        Starts a task that is cancelled when the controller is closed.
    on_loss : callable
        Called with the server, its incarnation and the work in flight when
        the server was lost; returns when the peers were notified.
    on_observation : callable
        Called with the server and its changed observation.
    """

    spawn: Callable[[Coroutine[Any, Any, None]], object]
    on_loss: Callable[
        [ServerName, Incarnation, WorkInFlight],
        Coroutine[Any, Any, None],
    ]
    on_observation: Callable[[ServerName, ServerObservation], None]


def ran_to_completion(reply: WorkReply) -> bool:
    """Return whether the backend server ran the work to its end."""
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
