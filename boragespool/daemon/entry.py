"""Entry daemon, which serves queries and claims of callers.

Several daemons can run in one process. All state belongs to the `EntryDaemon`
instance, except metrics and logging, which are shared by the process.
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


class EntryDaemon:
    """Entry daemon, an async context manager that starts and stops its parts.

    Parameters
    ----------
    options : EntryOptions
        Validated settings.
    incarnation : int, optional
        Unix time of the daemon's start in milliseconds; the present time by
        default.

    Attributes
    ----------
    context : Context
        Shared parts of the daemon; set by `__aenter__`.
    controllers : Controllers
        Controllers that are called directly; set by `__aenter__`.
    http : HttpServer
        Listener for callers; set by `__aenter__`.
    """

    context: Context
    controllers: Controllers
    http: HttpServer

    def __init__(
        self,
        options: EntryOptions,
        incarnation: Incarnation | None = None,
    ) -> None:
        """Keep the settings; `__aenter__` starts the daemon."""
        self.options = options
        self._incarnation = incarnation or int(time.time() * _MS_PER_S)
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start all parts, the listener for callers last.

        Raises
        ------
        OSError
            If the caller address is in use or not local.
        pynng.NNGException
            If the peer address is in use or not local.
        """
        async with AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all parts immediately, in reverse order of their start.

        `boragespool.daemon.shutdown.stop_gracefully` does so without
        interrupting requests.
        """
        await self._stack.aclose()
        self.context.board.post(PHASE, Phase.STOPPED)

    @property
    def in_flight(self) -> int:
        """Number of unfinished caller requests and dispatched work items."""
        return (
            self.http.in_flight
            + self.controllers.api.in_flight
            + self.controllers.dispatch.in_flight
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
        self.controllers = await start_controllers(
            stack, self.context, store, options
        )
        self.http = await stack.enter_async_context(
            HttpServer(options.caller_address, options.http, self._handle),
        )
        log_event(
            Event.PROCESS_STARTED,
            f'daemon {options.host!r} is listening',
            host=options.host,
            incarnation=self._incarnation,
            caller_address=options.caller_address,
            peer_address=options.peer_address,
        )
        self._become_ready_on_first_revision(stack)

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

    def _become_ready_on_first_revision(self, stack: AsyncExitStack) -> None:
        """Enter the ready phase when the first revision is in force."""
        board = self.context.board
        host = self.options.host

        def update_phase(_: object) -> None:
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

        stack.callback(board.subscribe(DOCUMENT_IN_FORCE, update_phase))
        update_phase(None)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of a caller.

        While the daemon is leaving, responses close the connection, so that
        the caller connects to another daemon.
        """
        response = await self.controllers.api.handle(request)
        if self.context.board.read(PHASE) is Phase.LEAVING:
            return replace(response, close=True)
        return response
