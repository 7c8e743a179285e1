"""Keeps the newest configuration revision in force at this daemon.

The chosen watchers learn revisions from the store, all daemons learn them
from the member records of their peers.
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
from boragespool.controllers.configuration.configuration_store import Stored
from boragespool.controllers.configuration.host_list import HostList
from boragespool.controllers.configuration.revision_updating import (
    RevisionKeeper,
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
    """Posts `IN_FORCE` and `LEAVING_HOSTS`, an async context manager.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    store : ConfigurationStore
        Platform client.
    options : ConfigurationOptions
        Pace.
    """

    def __init__(
        self,
        context: Context,
        store: ConfigurationStore,
        options: ConfigurationOptions | None = None,
    ) -> None:
        """Keep the parts; `__aenter__` starts the tasks."""
        self._context = context
        self._store = store
        self._options = options or ConfigurationOptions()
        self._host_list = HostList(context, store, self._options.host_list)
        self._watching = asyncio.Event()
        self._behind = asyncio.Event()
        self._review_due = False
        self._may_read = False
        self._window_over = asyncio.Event()
        self._keeper = RevisionKeeper(context, store, self._options)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Serve peers and start to watch and fetch."""
        self._keeper.register()
        self._host_list.register()
        self._delay_first_read()
        unsubscribe = self._context.board.subscribe(
            MEMBERS,
            lambda _: self._schedule_review(),
        )
        self._stack.callback(unsubscribe)
        self._review()
        for work in (
            self._watch,
            self._fetch,
            self._read_hosts,
            self._host_list.exchange,
        ):
            self._start(work)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the tasks; the revision in force stays on the blackboard."""
        await self._stack.aclose()

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon is one of those that watch the store."""
        return self._watching.is_set()

    def _start(self, work: Callable[[], Awaitable[None]]) -> None:
        task = asyncio.ensure_future(self._keep_running(work))

        async def stop() -> None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self._stack.push_async_callback(stop)

    async def _keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        """Begin work again if it raises, for example in a subscriber."""
        while True:
            try:
                await work()
            except Exception as error:
                log_event(
                    Event.TASK_FAILED,
                    f'a configuration task raised {error!r}',
                    level=logging.ERROR,
                )
            await pause(self._context.timers, self._options.backoff_limit_s)

    async def _read_hosts(self) -> None:
        await self._host_list.read_while(self._watching)

    def _schedule_review(self) -> None:
        """Look at the member records once for many changes."""
        if not self._review_due:
            self._review_due = True
            self._context.timers.after(
                self._options.review_delay_s,
                self._review,
            )

    def _review(self) -> None:
        """Decide from the member records whether to watch and to fetch."""
        self._review_due = False
        members_by_host = self._context.board.read(MEMBERS)
        own_host = self._context.identity.host
        is_chosen = own_host in choose_watchers(
            members_by_host,
            own_host,
            highest_weight_hosts,
        )
        holders = hosts_with_newer_revision(
            members_by_host, self._keeper.revision
        )
        if is_chosen and (self._may_read or holders):
            self._watching.set()
        elif not is_chosen:
            self._watching.clear()
        if holders:
            self._behind.set()

    def _delay_first_read(self) -> None:
        window_s = self._options.first_read_window_s
        delay_s = self._context.draw() * window_s
        if not window_s:
            self._may_read = True
            self._window_over.set()
            return

        def allow() -> None:
            self._may_read = True
            self._review()

        after = self._context.timers.after
        self._stack.callback(after(delay_s, allow).cancel)
        self._stack.callback(after(window_s, self._window_over.set).cancel)

    async def _watch(self) -> None:
        """Follow the store while this daemon is a watcher."""
        version = 0
        failures = 0
        while True:
            await self._watching.wait()
            began_s = self._context.timers.now_s()
            answer = await self._store.watch(
                CURRENT_KEY,
                version,
                self._options.watch_wait_s,
            )
            if isinstance(answer, Failure):
                failures += 1
                await self._back_off(failures)
                continue
            if not isinstance(answer, Stored):
                failures = 0
                version = answer.version
                passed_s = self._context.timers.now_s() - began_s
                rest_s = max(0, self._options.watch_pause_s - passed_s)
                await pause(self._context.timers, rest_s)
            elif await self._take(answer.value.encode()):
                failures = 0
                version = answer.version
            else:
                # Parts could not be read; the same version is read again.
                failures += 1
                await self._back_off(failures)

    async def _take(self, encoded: bytes) -> bool:
        """Tell whether nothing is left to read of a value of the store.

        Until the daemons know each other, each of them may take itself for
        a watcher; then none may read all parts.
        """
        if self._window_over.is_set() or not self._keeper.lacks_many(encoded):
            return await self._keeper.read_value(encoded)
        await self._window_over.wait()
        return False

    async def _fetch(self) -> None:
        """Get the document from a peer whenever one holds a newer one."""
        failures = 0
        while True:
            await self._behind.wait()
            holders = hosts_with_newer_revision(
                self._context.board.read(MEMBERS),
                self._keeper.revision,
            )[: self._options.holders_asked]
            if not holders:
                self._behind.clear()
                failures = 0
                continue
            host = holders[int(self._context.draw() * len(holders))]
            if await self._keeper.fetch_from(host):
                failures = 0
            else:
                failures += 1
                await self._back_off(failures)

    async def _back_off(self, failures: int) -> None:
        delay_s = backoff_s(
            failures,
            self._options.backoff_first_s,
            self._options.backoff_limit_s,
            self._context.draw(),
        )
        await pause(self._context.timers, delay_s)
