"""Daemon that forwards requests of callers to backend servers.

It has no persistent state: the other daemons, the backend servers and the
configuration are read from the store.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import TYPE_CHECKING, Final, Self

from boragespool.blackboard import Blackboard
from boragespool.blackboard.forwarding_topics import REGISTRATIONS, ROUTES
from boragespool.controllers.forwarding.connection_warmer import (
    ConnectionWarmer,
)
from boragespool.controllers.forwarding.control_api import (
    handle_control_request,
)
from boragespool.controllers.forwarding.fleet import ServerFleet
from boragespool.controllers.forwarding.gateway import Gateway
from boragespool.controllers.forwarding.store_mirrors import StoreMirrors
from boragespool.events import Event, log_event
from boragespool.http import HttpLimits, HttpResponse, HttpServer
from boragespool.results import Failure, ResultCode
from boragespool.timers import LoopTimers

if TYPE_CHECKING:
    from boragespool.controllers.forwarding.codec import MessageCodec
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.forwarding import RouteTable
    from boragespool.http import HttpRequest
    from boragespool.item_store import ItemStore

#: Time before the end of the graceful stop by which all responses must have
#: been sent, in seconds.
_STOP_MARGIN_S: Final = 0.5
#: Time that the last responses have to reach their callers, in seconds.
_LAST_RESPONSE_S: Final = 0.2
#: Time for which new connections are still accepted during a graceful stop,
#: in seconds, in addition to the time for which callers keep addresses.
_LISTEN_MARGIN_S: Final = 0.5


class Forwarder:
    """Forwarding daemon, an async context manager.

    Parameters
    ----------
    options : ForwardingOptions
        Settings.
    codec : MessageCodec
        Conversion between internal messages and the platform's format.
    store : ItemStore
        The platform's store.

    Attributes
    ----------
    board : Blackboard
        State that the parts of the daemon share.
    fleet : ServerFleet
        Backend servers.
    gateway : Gateway
        Handler of the callers' requests.
    """

    def __init__(
        self,
        options: ForwardingOptions,
        codec: MessageCodec,
        store: ItemStore,
    ) -> None:
        """Create the parts of the daemon; `__aenter__` starts them."""
        self.options = options
        self._codec = codec
        self._is_leaving = False
        self.board = Blackboard()
        self._timers = LoopTimers()
        self._stack = AsyncExitStack()
        self.fleet = ServerFleet(
            self.board,
            self._timers,
            options,
            random.Random().random,
        )
        self.gateway = Gateway(self.fleet, codec)
        self._store_mirrors = StoreMirrors(
            self.board,
            self._timers,
            options,
            codec,
            store,
        )
        self._hosts = self._store_mirrors.hosts
        self._caller_server = HttpServer(
            options.caller_address,
            HttpLimits(connection_count=options.connection_count),
            self.handle,
            cancel_on_close=True,
        )

    async def __aenter__(self) -> Self:
        """Start to listen and to read the store.

        Raises
        ------
        OSError
            If an address is in use or not local.
        """
        async with AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all parts immediately; `stop` stops gracefully."""
        await self._stack.aclose()

    @property
    def is_ready(self) -> bool:
        """Whether the daemon can serve callers.

        It needs routes and registrations of backend servers, and must not be
        stopping.
        """
        has_routes = self.board.read(ROUTES) is not None
        has_servers = self.board.read(REGISTRATIONS) is not None
        return has_routes and has_servers and not self._is_leaving

    async def stop(self) -> None:
        """Withdraw this daemon's address and finish all requests in flight.

        New requests are served while callers may still have the address, but
        for at most half of the stop time, and only if they will probably end
        in time. Every request that was accepted gets a response.
        """
        host = self.options.host
        stop_started_at_s = self._timers.now_s()
        drain_end_s = (
            stop_started_at_s + self.options.stop_timeout_s - _STOP_MARGIN_S
        )
        self._is_leaving = True
        self.gateway.stop_at(drain_end_s - _LAST_RESPONSE_S)
        log_event(
            Event.STOP_REQUESTED,
            f'daemon {host!r} is stopping',
            host=host,
            in_flight=self.gateway.in_flight,
        )
        leave_task = asyncio.create_task(self._hosts.leave())
        listen_s = self.options.address_keep_s + _LISTEN_MARGIN_S
        await asyncio.sleep(min(listen_s, self.options.stop_timeout_s / 2))
        self._caller_server.stop_listening()
        await self._caller_server.drain(drain_end_s - self._timers.now_s())
        leave_task.cancel()
        log_event(
            Event.PROCESS_STOPPED,
            f'daemon {host!r} stopped',
            host=host,
            in_flight=self.gateway.in_flight,
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Forward a request of a caller.

        While the daemon stops, responses close the connection, so that the
        caller connects to another daemon.
        """
        response = await self.gateway.handle(request)
        if not self._is_leaving:
            return response
        return replace(response, close=True)

    async def handle_readiness(self, _: HttpRequest) -> HttpResponse:
        """Respond to a readiness check with status 200 or 503."""
        return HttpResponse(200 if self.is_ready else 503)

    async def handle_address_request(
        self, request: HttpRequest
    ) -> HttpResponse:
        """Respond to a caller with the addresses of the nearest daemons."""
        query = self._codec.read_address_query(request)
        if isinstance(query, Failure):
            return self._codec.write_failure(query)
        addresses = self._hosts.addresses(
            query.data_centre,
            query.region,
        )
        if not addresses:
            return self._codec.write_failure(
                Failure(ResultCode.NOT_READY, 'no daemon is ready'),
            )
        return self._codec.write_addresses(
            addresses,
            self.options.address_keep_s,
        )

    async def handle_control(self, request: HttpRequest) -> HttpResponse:
        """Respond with the metrics, or with changes of the store.

        Other daemons of the data centre may read the store through this one.
        """
        return await handle_control_request(
            self._store_mirrors.feeds_by_prefix,
            request,
            self.options.relay_wait_s,
        )

    async def _start(self, stack: AsyncExitStack) -> None:
        options = self.options
        stack.enter_context(self.fleet)
        stack.enter_context(ConnectionWarmer(self.fleet))
        stack.callback(self.board.subscribe(ROUTES, self._apply_caller_limits))
        stack.callback(
            self.board.subscribe(REGISTRATIONS, self._serve_if_ready)
        )
        await stack.enter_async_context(self._store_mirrors)
        await stack.enter_async_context(self._caller_server)
        for address, handler in (
            (options.directory_address, self.handle_address_request),
            (options.readiness_address, self.handle_readiness),
            (options.control_address, self.handle_control),
        ):
            if address:
                await stack.enter_async_context(
                    HttpServer(address, HttpLimits(), handler),
                )
        log_event(
            Event.PROCESS_STARTED,
            f'daemon {options.host!r} is listening',
            host=options.host,
            data_centre=options.data_centre,
            caller_address=options.caller_address,
        )

    def _apply_caller_limits(self, routes: RouteTable | None) -> None:
        limits = None if routes is None else routes.configuration.limits
        if limits is not None:
            self._caller_server.limits = HttpLimits(
                limits.header_size_bytes,
                limits.body_size_bytes,
                self.options.connection_count,
                limits.read_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
            )
        self._serve_if_ready(routes)

    def _serve_if_ready(self, _: object) -> None:
        """Publish this daemon's address once it is ready."""
        if self.is_ready:
            self._hosts.publish()
