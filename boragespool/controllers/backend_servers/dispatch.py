"""Runs the work that mergers and claim issuers send to this dispatcher.

Owns a `Backend` for each backend server that work was sent to, and the
detection of requests that crash backend servers.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING, Final, Self

from boragespool.backends import CrashTracker
from boragespool.blackboard.topics import (
    BLOCKED_FINGERPRINTS,
    DOCUMENT_IN_FORCE,
    SERVER_OBSERVATIONS,
    SERVERS,
    SUSPECT_FINGERPRINTS,
    ServerObservation,
)
from boragespool.controllers.backend_servers.backend import Backend
from boragespool.controllers.backend_servers.crash_watch import CrashWatch
from boragespool.controllers.backend_servers.early_work import EarlyWork
from boragespool.controllers.backend_servers.jobs import (
    BLOCKED_FAILURE,
    BackendHooks,
    refusal_reply,
)
from boragespool.controllers.backend_servers.recent_replies import RecentReplies
from boragespool.messages import (
    CancelWork,
    ServerRecord,
    WorkReply,
    WorkRequest,
)
from boragespool.ranks import QueuedWork
from boragespool.results import Failure, ResultCode
from boragespool.settings import ServiceSettings, Settings
from boragespool.tasks import TaskSet
from boragespool.types import Seconds, ServerName, ServerState, WorkKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from boragespool.controllers.context import Context
    from boragespool.peers import Sender
    from boragespool.revisions import RevisionDocument

_MAINTENANCE_INTERVAL_S: Final = 1
_LEAVING_FAILURE: Final = Failure(ResultCode.LEAVING, 'this daemon is leaving')


class DispatchController:
    """Queues work and runs it at backend servers, an async context manager.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    crash_tracker : CrashTracker, optional
        Losses of backend servers by fingerprint; by default an empty tracker
        with the default ages.
    """

    def __init__(
        self,
        context: Context,
        crash_tracker: CrashTracker | None = None,
    ) -> None:
        """Set up without backends; `__aenter__` registers the handlers."""
        self._context = context
        self._crash_watch = CrashWatch(context, crash_tracker or CrashTracker())
        self._backends_by_server: dict[ServerName, Backend] = {}
        self._retired_backends: list[Backend] = []
        self._recent_replies = RecentReplies()
        self._early_work = EarlyWork(context.timers)
        self._tasks = TaskSet()
        self._is_draining = False
        self._stack = contextlib.ExitStack()
        self._hooks = BackendHooks(
            self._tasks.spawn,
            self._crash_watch.report_loss,
            self._on_observation,
        )

    async def __aenter__(self) -> Self:
        """Register the handlers and subscriptions; start the maintenance."""
        context = self._context
        context.peers.on_request_with_callback(
            WorkRequest, self._handle_work_request
        )
        context.peers.on_message(CancelWork, self._handle_cancel)
        maintenance = context.timers.every(
            _MAINTENANCE_INTERVAL_S, self._run_maintenance
        )
        self._stack.callback(maintenance.cancel)
        self._stack.callback(
            context.board.subscribe(SERVERS, self._on_servers),
        )
        self._stack.callback(
            context.board.subscribe(DOCUMENT_IN_FORCE, self._on_revision),
        )
        self._stack.callback(
            context.board.subscribe(
                DOCUMENT_IN_FORCE, self._crash_watch.on_revision
            ),
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel the running jobs and close all connections."""
        self._stack.close()
        await self._tasks.close()
        for backend in self._all_backends():
            backend.pool.close()

    @property
    def in_flight(self) -> int:
        """Number of attempts that are queued or run."""
        return sum(
            len(backend.jobs_by_attempt) for backend in self._all_backends()
        )

    def status(self) -> object:
        """Return limits, queues and connections by backend server."""
        return {
            server: {
                'limit': backend.health.limit,
                'connections': backend.pool.open_count,
                'waits_s': backend.queue.waits_s,
                'ranks': backend.queue.counts_by_rank,
            }
            for server, backend in self._backends_by_server.items()
        }

    def clear(self, fingerprint: int) -> bool:
        """Remove the suspicion or block of a fingerprint at all daemons.

        Returns
        -------
        bool
            Whether the fingerprint was a suspect or blocked here.
        """
        return self._crash_watch.clear(fingerprint)

    async def drain(self, timeout_s: Seconds) -> bool:
        """Refuse new and queued work, and wait for running work to end.

        Parameters
        ----------
        timeout_s : float
            Longest wait for running work, in seconds.

        Returns
        -------
        bool
            Whether all work ended within `timeout_s` seconds.
        """
        self._is_draining = True
        self._early_work.refuse_all()
        for backend in self._all_backends():
            backend.refuse_queued(_LEAVING_FAILURE)
        reply_futures = [
            job.reply_future
            for running in self._all_backends()
            for job in running.jobs_by_attempt.values()
        ]
        if reply_futures:
            await asyncio.wait(reply_futures, timeout=timeout_s)
        return not self.in_flight

    def _handle_work_request(
        self,
        _sender: Sender,
        work: WorkRequest,
        reply: Callable[[WorkReply], None],
    ) -> None:
        """Run one attempt, and call `reply` with its reply.

        A request with the identifier of an earlier attempt is not run again;
        it gets the reply that `RecentReplies.find` returns. Work that arrives
        before the first revision is held until then.
        """
        has_revision = self._context.board.read(DOCUMENT_IN_FORCE) is not None
        if not has_revision and not self._is_draining:
            self._early_work.hold(work, reply)
            return
        self._run(work, reply)

    def _run(
        self, work: WorkRequest, reply: Callable[[WorkReply], None]
    ) -> None:
        reply_or_future = self._recent_replies.find(work)
        if reply_or_future is None:
            target = self._admit(work)
            if isinstance(target, Failure):
                reply(refusal_reply(work, target))
                return
            reply_or_future = target.accept(
                work, self._to_queued(work)
            ).reply_future
            self._recent_replies.add(work, reply_or_future)
        if isinstance(reply_or_future, WorkReply):
            reply(reply_or_future)
        else:
            reply_or_future.add_done_callback(lambda done: reply(done.result()))

    def _all_backends(self) -> Iterable[Backend]:
        return itertools.chain(
            self._backends_by_server.values(), self._retired_backends
        )

    def _admit(self, work: WorkRequest) -> Backend | Failure:
        """Return the backend that runs the work, or the reason to refuse it."""
        if self._is_draining:
            return _LEAVING_FAILURE
        if work.fingerprint in self._context.board.read(BLOCKED_FINGERPRINTS):
            return BLOCKED_FAILURE
        record = self._context.board.read(SERVERS).get(work.server)
        if record is not None and record.state == ServerState.DRAINING:
            return _draining_failure(work.server)
        return self._get_or_create_backend(work.server)

    def _get_or_create_backend(self, server: ServerName) -> Backend | Failure:
        known = self._backends_by_server.get(server)
        if known is not None:
            return known
        settings = self._settings()
        service = _find_service(settings, server)
        if service is None:
            return Failure(
                ResultCode.NO_SERVER,
                f'server {server!r} is not in the settings',
            )
        created = Backend(
            server,
            service,
            settings.ranks,
            self._context,
            self._hooks,
        )
        self._backends_by_server[server] = created
        return created

    def _to_queued(self, work: WorkRequest) -> QueuedWork:
        route = self._settings().routes.get(work.route)
        may_cancel = route is None or route.cancellable
        suspects = self._context.board.read(SUSPECT_FINGERPRINTS)
        return QueuedWork(
            work.attempt_id,
            work.rank,
            work.caller,
            self._context.timers.now_s() + work.deadline_s,
            cancellable=may_cancel and work.kind == WorkKind.QUERY,
            solo=work.solo or work.fingerprint in suspects,
        )

    def _settings(self) -> Settings:
        document = self._context.board.read(DOCUMENT_IN_FORCE)
        return Settings() if document is None else document.settings

    def _handle_cancel(self, _sender: Sender, message: CancelWork) -> None:
        self._early_work.cancel(message.attempt_id)
        for backend in self._all_backends():
            if message.attempt_id in backend.jobs_by_attempt:
                backend.cancel(message.attempt_id)
                return

    def _on_observation(
        self,
        server: ServerName,
        observation: ServerObservation,
    ) -> None:
        before = self._context.board.read(SERVER_OBSERVATIONS)
        observations = {**before, server: observation}
        self._context.board.post(SERVER_OBSERVATIONS, observations)

    def _on_servers(
        self,
        records: Mapping[ServerName, ServerRecord],
    ) -> None:
        for server, backend in self._backends_by_server.items():
            record = records.get(server)
            if record is None:
                continue
            if record.state == ServerState.DRAINING:
                backend.refuse_queued(_draining_failure(server))
            # While the incarnation is unknown, it is fetched from the server:
            # the record may be older than a loss that this daemon detected.
            if backend.health.incarnation:
                backend.health.note_incarnation(record.incarnation)

    def _on_revision(self, _document: RevisionDocument | None) -> None:
        """Apply settings; retire backends that were removed or have moved.

        A retired backend finishes its running work and is then closed.
        """
        settings = self._settings()
        for server, backend in tuple(self._backends_by_server.items()):
            service = _find_service(settings, server)
            if service is not None and (
                service.servers[server].address == backend.pool.address
            ):
                backend.configure(service, settings.ranks)
                backend.schedule()
                continue
            self._retired_backends.append(self._backends_by_server.pop(server))
            backend.refuse_queued(_draining_failure(server))
        for work, reply in self._early_work.release():
            self._run(work, reply)

    def _run_maintenance(self) -> None:
        self._crash_watch.post_verdicts()
        for backend in self._backends_by_server.values():
            backend.pool.close_expired()
        for retired in tuple(self._retired_backends):
            if not retired.jobs_by_attempt:
                retired.pool.close()
                self._retired_backends.remove(retired)


def _draining_failure(server: ServerName) -> Failure:
    return Failure(
        ResultCode.SERVER_DRAINING,
        f'server {server!r} gets no new work',
    )


def _find_service(
    settings: Settings,
    server: ServerName,
) -> ServiceSettings | None:
    return next(
        (
            service
            for service in settings.services.values()
            if server in service.servers
        ),
        None,
    )
