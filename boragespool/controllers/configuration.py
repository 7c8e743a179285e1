"""Keeps the newest configuration revision in force at this daemon.

The chosen watchers learn revisions from the store, all daemons learn them
from the member records of their peers.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Self

from boragespool.blackboard.topics import IN_FORCE, MEMBERS
from boragespool.controllers.configuration_store import Stored
from boragespool.controllers.host_list import (
    HostList,
    HostListOptions,
)
from boragespool.controllers.pauses import backoff_s, pause
from boragespool.events import Event, log_event
from boragespool.messages import RevisionReply, RevisionRequest
from boragespool.results import Failure
from boragespool.revisions import (
    CURRENT_KEY,
    RevisionDocument,
    adopt,
    newest_holders,
    watchers,
)
from boragespool.routing import highest_weights

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from boragespool.controllers.configuration_store import (
        ConfigurationStore,
    )
    from boragespool.controllers.context import Context
    from boragespool.peers import Sender
    from boragespool.types import Revision, Seconds


@dataclass(frozen=True, slots=True)
class ConfigurationOptions:
    """Pace of the controller.

    Attributes
    ----------
    watch_wait_s : float
        Longest wait of one watch at the store.
    watch_pause_s : float
        Shortest time between two watches without news, so that a store that
        answers at once is not called in a tight loop.
    review_delay_s : float
        Member records that change within this time are looked at together.
    peer_timeout_s : float
        Longest wait for the document of a peer.
    backoff_first_s, backoff_limit_s : float
        Delays after failed calls.
    holders_asked : int
        Newest holders among which one is drawn, so that not all daemons
        fetch from the same peer.
    """

    watch_wait_s: Seconds = 10
    watch_pause_s: Seconds = 0.5
    review_delay_s: Seconds = 0.05
    peer_timeout_s: Seconds = 1
    backoff_first_s: Seconds = 0.1
    backoff_limit_s: Seconds = 3
    holders_asked: int = 8
    host_list: HostListOptions = field(default_factory=HostListOptions)


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
        self._encoded: bytes = b''
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Serve peers and start to watch and fetch."""
        self._context.peers.on_request(RevisionRequest, self._serve)
        self._host_list.register()
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
        if own_host in watchers(members_by_host, own_host, highest_weights):
            self._watching.set()
        else:
            self._watching.clear()
        if newest_holders(members_by_host, self._revision()):
            self._behind.set()

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
            failures = 0
            version = answer.version
            if isinstance(answer, Stored):
                self._consider(answer.value.encode(), 'the store')
            else:
                passed_s = self._context.timers.now_s() - began_s
                rest_s = max(0, self._options.watch_pause_s - passed_s)
                await pause(self._context.timers, rest_s)

    async def _fetch(self) -> None:
        """Get the document from a peer whenever one holds a newer one."""
        failures = 0
        while True:
            await self._behind.wait()
            holders = newest_holders(
                self._context.board.read(MEMBERS),
                self._revision(),
            )[: self._options.holders_asked]
            if not holders:
                self._behind.clear()
                failures = 0
                continue
            host = holders[int(self._context.draw() * len(holders))]
            if await self._fetch_from(host):
                failures = 0
            else:
                failures += 1
                await self._back_off(failures)

    async def _fetch_from(self, host: str) -> bool:
        """Tell whether a peer's document was put in force."""
        reply = await self._context.peers.request(
            host,
            RevisionRequest(self._revision()),
            self._options.peer_timeout_s,
        )
        if not isinstance(reply, RevisionReply) or not reply.document:
            return False
        return self._consider(reply.document, f'peer {host!r}')

    async def _back_off(self, failures: int) -> None:
        delay_s = backoff_s(
            failures,
            self._options.backoff_first_s,
            self._options.backoff_limit_s,
            self._context.draw(),
        )
        await pause(self._context.timers, delay_s)

    def _consider(self, encoded: bytes, origin: str) -> bool:
        """Put a received document in force if it is valid and newer."""
        document = adopt(self._context.board.read(IN_FORCE), encoded)
        if isinstance(document, Failure):
            log_event(
                Event.REVISION_REJECTED,
                f'a revision from {origin} is invalid; revision '
                f'{self._revision()!r} stays in force: {document.reason}',
                level=logging.ERROR,
                code=int(document.code),
            )
        if not isinstance(document, RevisionDocument):
            return False
        # Passed on as received: a newer release may have added keys.
        self._encoded = encoded
        self._context.board.post(IN_FORCE, document)
        log_event(
            Event.REVISION_IN_FORCE,
            f'revision {document.revision!r} from {origin} is in force',
            revision=document.revision,
            change_id=document.change_id,
        )
        return True

    async def _serve(
        self, _: Sender, request: RevisionRequest
    ) -> RevisionReply:
        revision = self._revision()
        if revision <= request.have:
            return RevisionReply(revision)
        return RevisionReply(revision, self._encoded)

    def _revision(self) -> Revision:
        document = self._context.board.read(IN_FORCE)
        return document.revision if document else 0
