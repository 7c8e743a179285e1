"""Keeps the newest configuration revision in force at this daemon.

A few daemons of the fleet, the watchers, watch the store for new revisions.
The others see from the member records that a peer has a newer revision, and
fetch it from that peer.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Self

from boragespool.blackboard.topics import MEMBERS
from boragespool.controllers.configuration.configuration_options import (
    ConfigurationOptions,
)
from boragespool.controllers.configuration.configuration_store import (
    StoredAnswer,
)
from boragespool.controllers.configuration.host_list import HostList
from boragespool.controllers.configuration.revision_updating import (
    RevisionUpdater,
)
from boragespool.controllers.pauses import backoff_s, pause
from boragespool.events import Event, log_event
from boragespool.results import Failure
from boragespool.revisions import (
    CURRENT_KEY,
    choose_watchers,
    hosts_with_newer_revision,
)
from boragespool.routing import highest_weight_hosts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from boragespool.controllers.configuration.configuration_store import (
        ConfigurationStore,
    )
    from boragespool.controllers.context import Context

__all__ = ('ConfigurationController', 'ConfigurationOptions')


class ConfigurationController:
    """Runs the tasks that follow the configuration and the host list.

    An async context manager, which posts `DOCUMENT_IN_FORCE` and
    `LEAVING_HOSTS` on the blackboard.

    Parameters
    ----------
    context : Context
        Identity, blackboard, timers and peers of the daemon.
    store : ConfigurationStore
        Client of the platform's store and host list.
    options : ConfigurationOptions
        Intervals, timeouts and limits.
    """

    def __init__(
        self,
        context: Context,
        store: ConfigurationStore,
        options: ConfigurationOptions | None = None,
    ) -> None:
        """Set up the controller; `__aenter__` starts the tasks."""
        self._context = context
        self._store = store
        self._options = options or ConfigurationOptions()
        self._host_list = HostList(context, store, self._options.host_list)
        self._watch_enabled = asyncio.Event()
        self._newer_revision_known = asyncio.Event()
        self._role_update_scheduled = False
        self._first_read_allowed = False
        self._first_read_window_over = asyncio.Event()
        self._updater = RevisionUpdater(context, store, self._options)
        self._exit_stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Register the handlers for peers and start the tasks."""
        self._updater.register()
        self._host_list.register()
        self._delay_first_read()
        unsubscribe = self._context.board.subscribe(
            MEMBERS,
            lambda _: self._schedule_role_update(),
        )
        self._exit_stack.callback(unsubscribe)
        self._update_roles()
        for coroutine_function in (
            self._watch_store,
            self._fetch_from_peers,
            self._poll_host_list,
            self._host_list.poll_peers,
        ):
            self._start_task(coroutine_function)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the tasks; the revision in force stays on the blackboard."""
        await self._exit_stack.aclose()

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon currently watches the store."""
        return self._watch_enabled.is_set()

    def _start_task(
        self, coroutine_function: Callable[[], Awaitable[None]]
    ) -> None:
        task = asyncio.ensure_future(self._run_forever(coroutine_function))

        async def stop() -> None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self._exit_stack.push_async_callback(stop)

    async def _run_forever(
        self, coroutine_function: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a task and restart it after an error.

        An error can come from a subscriber of the blackboard, for example.
        """
        while True:
            try:
                await coroutine_function()
            except Exception as error:
                log_event(
                    Event.TASK_FAILED,
                    f'restarting a configuration task that raised {error!r}',
                    level=logging.ERROR,
                )
            await pause(self._context.timers, self._options.backoff_limit_s)

    async def _poll_host_list(self) -> None:
        await self._host_list.poll_while(self._watch_enabled)

    def _schedule_role_update(self) -> None:
        """Schedule one role update for all changes of member records."""
        if not self._role_update_scheduled:
            self._role_update_scheduled = True
            self._context.timers.after(
                self._options.role_update_delay_s,
                self._update_roles,
            )

    def _update_roles(self) -> None:
        """Decide whether this daemon watches the store and has to fetch."""
        self._role_update_scheduled = False
        members_by_host = self._context.board.read(MEMBERS)
        own_host = self._context.identity.host
        is_chosen = own_host in choose_watchers(
            members_by_host,
            own_host,
            highest_weight_hosts,
        )
        newer_hosts = hosts_with_newer_revision(
            members_by_host, self._updater.revision
        )
        if is_chosen and (self._first_read_allowed or newer_hosts):
            self._watch_enabled.set()
        elif not is_chosen:
            self._watch_enabled.clear()
        if newer_hosts:
            self._newer_revision_known.set()

    def _delay_first_read(self) -> None:
        window_s = self._options.first_read_window_s
        delay_s = self._context.draw() * window_s
        if not window_s:
            self._first_read_allowed = True
            self._first_read_window_over.set()
            return

        def allow_first_read() -> None:
            self._first_read_allowed = True
            self._update_roles()

        after = self._context.timers.after
        self._exit_stack.callback(after(delay_s, allow_first_read).cancel)
        self._exit_stack.callback(
            after(window_s, self._first_read_window_over.set).cancel
        )

    async def _watch_store(self) -> None:
        """Watch the store for new revisions while this daemon is a watcher."""
        version = 0
        failure_count = 0
        while True:
            await self._watch_enabled.wait()
            started_at_s = self._context.timers.now_s()
            answer = await self._store.watch(
                CURRENT_KEY,
                version,
                self._options.watch_wait_s,
            )
            if isinstance(answer, Failure):
                failure_count += 1
                await self._back_off(failure_count)
                continue
            if not isinstance(answer, StoredAnswer):
                failure_count = 0
                version = answer.version
                elapsed_s = self._context.timers.now_s() - started_at_s
                remaining_s = max(
                    0, self._options.min_watch_interval_s - elapsed_s
                )
                await pause(self._context.timers, remaining_s)
            elif await self._apply_stored_value(answer.value.encode()):
                failure_count = 0
                version = answer.version
            else:
                # Not all parts were read: get the same version again.
                failure_count += 1
                await self._back_off(failure_count)

    async def _apply_stored_value(self, encoded: bytes) -> bool:
        """Apply a value of the store; return False if it has to be retried.

        During the first read window the daemons do not know each other yet,
        and each of them may consider itself a watcher. Therefore none of them
        reads a large number of parts before the window is over.
        """
        if (
            self._first_read_window_over.is_set()
            or not self._updater.needs_many_parts(encoded)
        ):
            return await self._updater.apply_stored_value(encoded)
        await self._first_read_window_over.wait()
        return False

    async def _fetch_from_peers(self) -> None:
        """Fetch the revision of a peer whenever one has a newer one."""
        failure_count = 0
        while True:
            await self._newer_revision_known.wait()
            newer_hosts = hosts_with_newer_revision(
                self._context.board.read(MEMBERS),
                self._updater.revision,
            )[: self._options.fetch_candidate_count]
            if not newer_hosts:
                self._newer_revision_known.clear()
                failure_count = 0
                continue
            host = newer_hosts[int(self._context.draw() * len(newer_hosts))]
            if await self._updater.fetch_from_peer(host):
                failure_count = 0
            else:
                failure_count += 1
                await self._back_off(failure_count)

    async def _back_off(self, failure_count: int) -> None:
        delay_s = backoff_s(
            failure_count,
            self._options.backoff_first_s,
            self._options.backoff_limit_s,
            self._context.draw(),
        )
        await pause(self._context.timers, delay_s)
