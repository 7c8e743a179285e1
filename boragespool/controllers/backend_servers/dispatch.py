"""Serves the work that mergers and claim issuers give to this daemon."""

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
from boragespool.controllers.backend_servers.answers import RecentAnswers
from boragespool.controllers.backend_servers.backend import Backend
from boragespool.controllers.backend_servers.crash_watch import CrashWatch
from boragespool.controllers.backend_servers.jobs import (
    BLOCKED_FAILURE,
    BackendHooks,
    refusal,
)
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

_UPKEEP_S: Final = 1
_LEAVING: Final = Failure(ResultCode.LEAVING, 'this daemon is leaving')


class DispatchController:
    """Queues and runs work at backend servers, an async context manager.

    Parameters
    ----------
    ledger : CrashTracker, optional
        Crash verdicts; by default an empty one with the usual ages.
    """

    def __init__(
        self,
        context: Context,
        ledger: CrashTracker | None = None,
    ) -> None:
        """Keep the parts; `__aenter__` registers the handlers."""
        self._context = context
        self._crashes = CrashWatch(context, ledger or CrashTracker())
        self._backends: dict[ServerName, Backend] = {}
        self._retired: list[Backend] = []
        self._answers = RecentAnswers()
        self._tasks = TaskSet()
        self._draining = False
        self._stack = contextlib.ExitStack()
        self._hooks = BackendHooks(
            self._tasks.spawn,
            self._crashes.lost,
            self._observed,
        )

    async def __aenter__(self) -> Self:
        """Serve work from now on."""
        context = self._context
        context.peers.on_request_with_callback(WorkRequest, self._serve)
        context.peers.on_message(CancelWork, self._cancel)
        upkeep = context.timers.every(_UPKEEP_S, self._upkeep)
        self._stack.callback(upkeep.cancel)
        self._stack.callback(
            context.board.subscribe(SERVERS, self._servers_changed),
        )
        self._stack.callback(
            context.board.subscribe(DOCUMENT_IN_FORCE, self._settings_changed),
        )
        self._stack.callback(
            context.board.subscribe(
                DOCUMENT_IN_FORCE, self._crashes.follow_revision
            ),
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel what still runs and close all connections."""
        self._stack.close()
        await self._tasks.close()
        for backend in self._all_backends():
            backend.pool.close()

    @property
    def in_flight(self) -> int:
        """Attempts that wait or run."""
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
            for server, backend in self._backends.items()
        }

    def clear(self, fingerprint: int) -> bool:
        """End the verdict on a fingerprint at all daemons.

        Returns
        -------
        bool
            Whether the fingerprint was a suspect or blocked here.
        """
        return self._crashes.clear(fingerprint)

    async def drain(self, timeout_s: Seconds) -> bool:
        """Answer queued work and finish running work.

        Returns
        -------
        bool
            Whether nothing was in flight within `timeout_s` seconds.
        """
        self._draining = True
        for backend in self._all_backends():
            backend.refuse_waiting(_LEAVING)
        waiting = [
            job.answer
            for running in self._all_backends()
            for job in running.jobs_by_attempt.values()
        ]
        if waiting:
            await asyncio.wait(waiting, timeout=timeout_s)
        return not self.in_flight

    def _serve(
        self,
        _sender: Sender,
        work: WorkRequest,
        reply: Callable[[WorkReply], None],
    ) -> None:
        """Run one attempt; a repeated attempt gets the reply of the first."""
        answer = self._answers.find(work)
        if answer is None:
            target = self._admit(work)
            if isinstance(target, Failure):
                reply(refusal(work, target))
                return
            answer = target.accept(work, self._to_queued(work)).answer
            self._answers.begin(work, answer)
        if isinstance(answer, WorkReply):
            reply(answer)
        else:
            answer.add_done_callback(lambda done: reply(done.result()))

    def _all_backends(self) -> Iterable[Backend]:
        return itertools.chain(self._backends.values(), self._retired)

    def _admit(self, work: WorkRequest) -> Backend | Failure:
        """Return the backend server, or why the work is not queued."""
        if self._draining:
            return _LEAVING
        if work.fingerprint in self._context.board.read(BLOCKED_FINGERPRINTS):
            return BLOCKED_FAILURE
        record = self._context.board.read(SERVERS).get(work.server)
        if record is not None and record.state == ServerState.DRAINING:
            return _draining(work.server)
        return self._backend(work.server)

    def _backend(self, server: ServerName) -> Backend | Failure:
        known = self._backends.get(server)
        if known is not None:
            return known
        settings = self._settings()
        service = _service_of(settings, server)
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
        self._backends[server] = created
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

    def _cancel(self, _sender: Sender, message: CancelWork) -> None:
        for backend in self._all_backends():
            if message.attempt_id in backend.jobs_by_attempt:
                backend.cancel(message.attempt_id)
                return

    def _observed(
        self,
        server: ServerName,
        observation: ServerObservation,
    ) -> None:
        before = self._context.board.read(SERVER_OBSERVATIONS)
        observations = {**before, server: observation}
        self._context.board.post(SERVER_OBSERVATIONS, observations)

    def _servers_changed(
        self,
        records: Mapping[ServerName, ServerRecord],
    ) -> None:
        for server, backend in self._backends.items():
            record = records.get(server)
            if record is None:
                continue
            if record.state == ServerState.DRAINING:
                backend.refuse_waiting(_draining(server))
            # An unknown incarnation is learned from the server itself, as
            # the record may be older than the loss that was seen here.
            if backend.health.incarnation:
                backend.health.restarted(record.incarnation)

    def _settings_changed(self, _document: RevisionDocument | None) -> None:
        settings = self._settings()
        for server, backend in tuple(self._backends.items()):
            service = _service_of(settings, server)
            if service is not None and (
                service.servers[server].address == backend.pool.address
            ):
                backend.configure(service, settings.ranks)
                backend.pump()
                continue
            self._retired.append(self._backends.pop(server))
            backend.refuse_waiting(_draining(server))

    def _upkeep(self) -> None:
        self._crashes.post()
        for backend in self._backends.values():
            backend.pool.trim()
        for retired in tuple(self._retired):
            if not retired.jobs_by_attempt:
                retired.pool.close()
                self._retired.remove(retired)


def _draining(server: ServerName) -> Failure:
    return Failure(
        ResultCode.SERVER_DRAINING,
        f'server {server!r} gets no new work',
    )


def _service_of(
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
