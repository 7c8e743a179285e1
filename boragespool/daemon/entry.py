"""Composition of one daemon.

Several daemons can run in one process: all state belongs to an `Entry`,
except metrics and logging.
"""

from __future__ import annotations

import random
import time
from contextlib import AsyncExitStack
from dataclasses import asdict, replace
from typing import TYPE_CHECKING, Self

from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, PHASE
from boragespool.controllers.context import Context, Identity
from boragespool.daemon.controllers import Controllers, start_controllers
from boragespool.events import Event, log_event
from boragespool.http import HttpServer
from boragespool.peers import PeerNetwork, PeerOptions
from boragespool.store import StoreClient
from boragespool.timers import LoopTimers
from boragespool.types import Phase

if TYPE_CHECKING:
    from boragespool.daemon.options import EntryOptions
    from boragespool.http import HttpRequest, HttpResponse
    from boragespool.types import Incarnation

_MS_PER_S = 1_000


class Entry:
    """One daemon, an async context manager.

    Parameters
    ----------
    options : EntryOptions
        Checked settings.
    incarnation : int, optional
        Wall time at the start in milliseconds; by default the present.
    """

    context: Context
    parts: Controllers
    http: HttpServer

    def __init__(
        self,
        options: EntryOptions,
        incarnation: Incarnation | None = None,
    ) -> None:
        """Keep the settings; `__aenter__` listens."""
        self.options = options
        self._incarnation = incarnation or int(time.time() * _MS_PER_S)
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start all parts; the caller address listens last.

        Raises
        ------
        OSError
            If the caller address is in use or is not local.
        pynng.NNGException
            If the peer address is in use or is not local.
        """
        async with AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all parts at once, in reverse order."""
        await self._stack.aclose()
        self.context.board.post(PHASE, Phase.STOPPED)

    @property
    def in_flight(self) -> int:
        """Requests of callers and dispatched work that are not finished."""
        return (
            self.http.in_flight
            + self.parts.api.in_flight
            + self.parts.dispatch.in_flight
        )

    async def _start(self, stack: AsyncExitStack) -> None:
        options = self.options
        timers = LoopTimers()
        network = await stack.enter_async_context(
            PeerNetwork(self._peer_options(), timers),
        )
        self.context = Context(
            self._identity(),
            Blackboard(),
            timers,
            network,
            random.Random().random,
        )
        store = await stack.enter_async_context(
            StoreClient(options.platform_address, options.store_timeout_s),
        )
        self.parts = await start_controllers(
            stack, self.context, store, options
        )
        self.http = await stack.enter_async_context(
            HttpServer(options.caller_address, options.http, self._handle),
        )
        log_event(
            Event.PROCESS_STARTED,
            f'daemon {options.host!r} listens',
            host=options.host,
            incarnation=self._incarnation,
            caller_address=options.caller_address,
            peer_address=options.peer_address,
        )
        self._follow_readiness(stack)

    def _identity(self) -> Identity:
        options = self.options
        return Identity(
            options.host,
            self._incarnation,
            options.data_centre,
            options.region,
            options.peer_address,
            options.caller_address,
        )

    def _peer_options(self) -> PeerOptions:
        options = self.options
        return PeerOptions(
            options.host,
            self._incarnation,
            options.peer_address,
            **asdict(options.links),
        )

    def _follow_readiness(self, stack: AsyncExitStack) -> None:
        """Become ready with the first revision in force."""
        board = self.context.board
        host = self.options.host

        def review(_: object) -> None:
            is_starting = board.read(PHASE) is Phase.STARTING
            document = board.read(DOCUMENT_IN_FORCE)
            if is_starting and document is not None:
                board.post(PHASE, Phase.READY)
                log_event(
                    Event.PROCESS_READY,
                    f'daemon {host!r} is ready',
                    host=host,
                    revision=document.revision,
                )

        stack.callback(board.subscribe(DOCUMENT_IN_FORCE, review))
        review(None)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a caller; a leaving daemon asks it to connect elsewhere."""
        response = await self.parts.api.handle(request)
        if self.context.board.read(PHASE) is Phase.LEAVING:
            return replace(response, close=True)
        return response
