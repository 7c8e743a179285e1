"""One backend server at its dispatcher: queue, connections and running work."""

from __future__ import annotations

import asyncio
import logging
import math
from dataclasses import replace
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import BLOCKED_FINGERPRINTS
from boragespool.controllers.backend_servers.backend_protocol import (
    build_cancel_request,
    build_work_request,
    decode_cancel,
    decode_reply,
)
from boragespool.controllers.backend_servers.connections import (
    BackendConnectionPool,
)
from boragespool.controllers.backend_servers.jobs import (
    BLOCKED_FAILURE,
    BackendHooks,
    Job,
    WorkInFlight,
    cancellation_reply,
    ran_to_completion,
    refusal_reply,
)
from boragespool.controllers.backend_servers.server_health import ServerHealth
from boragespool.events import Event, log_event
from boragespool.http import (
    ExchangeFailure,
    FailureKind,
    HttpConnection,
    HttpResponse,
)
from boragespool.ranks import QueuedWork, ServerQueue
from boragespool.results import Failure, ResultCode
from boragespool.types import (
    AttemptId,
    Incarnation,
    Rank,
    Seconds,
    ServerName,
    WorkKind,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.controllers.context import Context
    from boragespool.messages import WorkReply, WorkRequest
    from boragespool.settings import RankSettings, ServiceSettings
    from boragespool.timers import TimerHandle

_CANCEL_TIMEOUT_S: Final = 0.5
#: After a cancellation, time for the exchange of the cancelled work to end
#: before its connection is closed.
_CANCEL_GRACE_S: Final = 0.2
#: Time after the deadline at which the exchange times out. Claims get more
#: time, as their outcome is worth more than the slot; claim issuers wait until
#: 1 s after the deadline.
_DEADLINE_GRACE_S_BY_KIND: Final = MappingProxyType(
    {WorkKind.QUERY: _CANCEL_GRACE_S, WorkKind.CLAIM: 0.8},
)


class Backend:
    """Queues the work of one backend server and runs it there.

    Attributes
    ----------
    server : str
        Name of the backend server.
    jobs_by_attempt : dict of str to Job
        Queued and running attempts.
    queue : ServerQueue
        Decides which work gets the slots.
    health : ServerHealth
        Incarnation and concurrency limit of the server.
    pool : BackendConnectionPool
        Connections to the server.
    """

    def __init__(
        self,
        server: ServerName,
        service: ServiceSettings,
        ranks: Mapping[Rank, RankSettings],
        context: Context,
        hooks: BackendHooks,
    ) -> None:
        """Set up an empty queue and the concurrency limit of a cold start."""
        self.server = server
        self.jobs_by_attempt: dict[AttemptId, Job] = {}
        self.queue = ServerQueue(1, ranks)
        self.health = ServerHealth(server, service.slots, context, hooks)
        self.pool = BackendConnectionPool(
            service.servers[server].address,
            service.connections,
            context.timers,
        )
        self._context = context
        self._hooks = hooks
        self._wakeup_timer: TimerHandle | None = None
        self._wakeup_at_s = math.inf

    def configure(
        self,
        service: ServiceSettings,
        ranks: Mapping[Rank, RankSettings],
    ) -> None:
        """Apply changed settings."""
        self.queue.settings_by_rank = ranks
        self.health.configure(service.slots)

    def accept(self, work: WorkRequest, queued: QueuedWork) -> Job:
        """Queue work, or refuse it; either way its job gets a reply."""
        now_s = self._context.timers.now_s()
        loop = asyncio.get_running_loop()
        job = Job(work, queued, now_s, loop.create_future())
        self.jobs_by_attempt[work.attempt_id] = job
        for refused in self.queue.enqueue(queued, now_s):
            self._refuse(refused.work, refused.failure)
        self.schedule()
        return job

    def refuse_queued(self, failure: Failure) -> None:
        """Refuse all queued work."""
        for queued in self.queue.clear():
            self._refuse(queued, failure)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Remove an attempt from the queue, or cancel it at the server."""
        queued = self.queue.withdraw(attempt_id)
        if queued is not None:
            reason = 'cancelled while it was queued'
            self._refuse(queued, Failure(ResultCode.CANCELLED, reason))
            self.schedule()
            return
        job = self.jobs_by_attempt.get(attempt_id)
        if job is not None:
            self._spawn_cancel(job)

    def schedule(self) -> None:
        """Start, refuse and pre-empt work as the queue decides."""
        now_s = self._context.timers.now_s()
        self.queue.slots = self.health.limit
        scheduled = self.queue.schedule(now_s)
        for refused in scheduled.refused:
            self._refuse(refused.work, refused.failure)
        for started in scheduled.started:
            job = self.jobs_by_attempt[started.attempt_id]
            job.started_s = now_s
            self._hooks.spawn(self._run_job(job))
        for preempted in scheduled.preempted:
            self._preempt(preempted)
        self._set_wakeup(self.queue.next_expiry_s, now_s)

    def _set_wakeup(self, at_s: Seconds, now_s: Seconds) -> None:
        """Set the timer to `at_s`, unless it is set to an earlier time.

        The timer is set to the earliest deadline of all work, as one timer for
        each request would cost more.
        """
        if at_s >= self._wakeup_at_s or math.isinf(at_s):
            return
        if self._wakeup_timer is not None:
            self._wakeup_timer.cancel()
        self._wakeup_at_s = at_s
        self._wakeup_timer = self._context.timers.after(
            at_s - now_s, self._on_wakeup
        )

    def _on_wakeup(self) -> None:
        """Cancel running work whose deadline passed, and expire queued work."""
        self._wakeup_at_s = math.inf
        now_s = self._context.timers.now_s()
        for job in tuple(self.jobs_by_attempt.values()):
            if job.started_s > now_s:
                continue
            if job.queued.deadline_at_s > now_s:
                self._set_wakeup(job.queued.deadline_at_s, now_s)
            elif not job.was_cancelled_at_deadline:
                job.was_cancelled_at_deadline = True
                self._spawn_cancel(job)
        self.schedule()

    def _preempt(self, queued: QueuedWork) -> None:
        job = self.jobs_by_attempt[queued.attempt_id]
        log_event(
            Event.WORK_PREEMPTED,
            f'{queued.attempt_id!r} is pre-empted at {self.server!r}',
            level=logging.DEBUG,
            rank=queued.rank,
        )
        self._spawn_cancel(job)

    async def _run_job(self, job: Job) -> None:
        """Run a job that holds a slot, and schedule the next ones."""
        reply: WorkReply | None = None
        try:
            reply = await self._run_attempt(job)
        finally:
            self._finish_job(job, reply)
        self.schedule()

    def _finish_job(self, job: Job, reply: WorkReply | None) -> None:
        """Release the slot of a job and set its reply.

        `reply` is None if the task of the job was cancelled or failed.
        """
        reply = reply or cancellation_reply(job, job.started_s)
        self.queue.finish(
            job.work.attempt_id,
            self._context.timers.now_s(),
            served=ran_to_completion(reply),
        )
        self._set_reply(job, reply)

    async def _run_attempt(self, job: Job) -> WorkReply:
        if job.work.fingerprint in self._context.board.read(
            BLOCKED_FINGERPRINTS
        ):
            return refusal_reply(job.work, BLOCKED_FAILURE)
        if not self.health.incarnation:
            await self.health.fetch_incarnation(self.pool)
        incarnation = self.health.incarnation
        result = await self._send_work(job)
        in_flight = self.queue.running_count
        reply = decode_reply(job.work, result)
        if job.run_state_at_cancel is not None and not ran_to_completion(reply):
            return cancellation_reply(job, self._context.timers.now_s())
        if isinstance(result, ExchangeFailure):
            await self._handle_exchange_failure(job, result, incarnation)
        else:
            self.health.note_reply(reply, in_flight)
        return reply

    async def _send_work(self, job: Job) -> HttpResponse | ExchangeFailure:
        """Send the work, and set the timer that cancels it at its deadline.

        The exchange itself times out a grace time after the deadline.
        """

        def store_connection(connection: HttpConnection) -> None:
            job.connection = connection

        now_s = self._context.timers.now_s()
        left_s = max(0, job.queued.deadline_at_s - now_s)
        request = build_work_request(job.work, left_s)
        self._set_wakeup(job.queued.deadline_at_s, now_s)
        timeout_s = left_s + _DEADLINE_GRACE_S_BY_KIND[job.work.kind]
        return await self.pool.exchange(request, timeout_s, store_connection)

    def _spawn_cancel(self, job: Job) -> None:
        self._hooks.spawn(self._cancel_running(job))

    async def _cancel_running(self, job: Job) -> None:
        """Cancel running work at the server, through another connection."""
        response = await self.pool.exchange(
            build_cancel_request(job.work.attempt_id),
            _CANCEL_TIMEOUT_S,
        )
        reply = decode_cancel(response)
        if job.reply_future.done() or not reply.cancelled:
            return
        job.run_state_at_cancel = reply.run
        await asyncio.wait((job.reply_future,), timeout=_CANCEL_GRACE_S)
        if not job.reply_future.done() and job.connection is not None:
            self._log_closed_connection(
                'the exchange of cancelled work did not end'
            )
            job.connection.close()

    async def _handle_exchange_failure(
        self,
        job: Job,
        failure: ExchangeFailure,
        incarnation: Incarnation,
    ) -> None:
        """Update the pool and the health after a failed exchange."""
        if failure.kind == FailureKind.REFUSED:
            self.health.note_refused_connection()
        elif not failure.sent:
            return
        elif failure.kind == FailureKind.TIMEOUT:
            self.pool.close_idle()
            self._log_closed_connection(failure.reason)
        elif failure.kind == FailureKind.CLOSED:
            in_flight = self._work_in_flight()
            # Without its connection the job no longer counts as in flight, in
            # case the next incarnation is lost before this job has a reply.
            job.connection = None
            await self.health.check_loss(self.pool, incarnation, in_flight)

    def _work_in_flight(self) -> WorkInFlight:
        jobs = [
            job
            for job in self.jobs_by_attempt.values()
            if job.connection is not None and job.work.fingerprint
        ]
        return WorkInFlight(
            tuple(job.work.fingerprint for job in jobs),
            alone=any(job.queued.solo for job in jobs),
        )

    def _log_closed_connection(self, reason: str) -> None:
        log_event(
            Event.CONNECTION_SILENT,
            f'closed a silent connection to server {self.server!r}: {reason}',
            server=self.server,
        )

    def _refuse(self, queued: QueuedWork, failure: Failure) -> None:
        job = self.jobs_by_attempt[queued.attempt_id]
        log_event(
            Event.WORK_REFUSED,
            failure.reason,
            level=logging.DEBUG,
            code=int(failure.code),
            rank=queued.rank,
        )
        self._set_reply(job, refusal_reply(job.work, failure))

    def _set_reply(self, job: Job, reply: WorkReply) -> None:
        """Set the reply of a job, with its times and the waits of the queue."""
        self.jobs_by_attempt.pop(job.work.attempt_id, None)
        now_s = self._context.timers.now_s()
        started_s = min(job.started_s, now_s)
        timed = replace(
            reply,
            queue_time_s=started_s - job.received_s,
            service_time_s=now_s - started_s,
            waits_s=self.queue.waits_s,
        )
        if not job.reply_future.done():
            job.reply_future.set_result(timed)
