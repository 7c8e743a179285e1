"""Composition of a daemon that forwards requests to backend servers.

It keeps nothing: daemons, backend servers and the configuration are read from
the store.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import TYPE_CHECKING, Final, Self

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from boragespool.blackboard import Blackboard
from boragespool.blackboard.forwarding_topics import REGISTRATIONS, ROUTES
from boragespool.controllers.forwarding.feed_http import (
    FEED_PATH,
    handle_feed_request,
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

#: Time before the end of the stop in which all answers are out, in seconds.
_STOP_MARGIN_S: Final = 0.5
#: Time after the request to stop in which new requests are served, in
#: seconds, beyond the time for which callers keep addresses.
_LISTEN_ON_S: Final = 0.5


class Forwarder:
    """One daemon, an async context manager.

    Parameters
    ----------
    options : ForwardingOptions
        Settings.
    dialect : MessageCodec
        Translations of messages.
    store : ItemStore
        The platform's store.
    """

    def __init__(
        self,
        options: ForwardingOptions,
        dialect: MessageCodec,
        store: ItemStore,
    ) -> None:
        """Keep the parts; `__aenter__` listens."""
        self.options = options
        self._dialect = dialect
        self._leaving = False
        self.board = Blackboard()
        self._timers = LoopTimers()
        self._stack = AsyncExitStack()
        self.fleet = ServerFleet(
            self.board,
            self._timers,
            options,
            random.Random().random,
        )
        self.gateway = Gateway(self.fleet, dialect)
        self._reading = StoreMirrors(
            self.board,
            self._timers,
            options,
            dialect,
            store,
        )
        self._hosts = self._reading.hosts
        self._callers = HttpServer(
            options.caller_address,
            HttpLimits(connection_count=options.connection_count),
            self.handle,
            cancel_on_close=True,
        )

    async def __aenter__(self) -> Self:
        """Listen and begin to read the store.

        Raises
        ------
        OSError
            If an address is in use or is not local.
        """
        async with AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all parts at once."""
        await self._stack.aclose()

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        has_routes = self.board.read(ROUTES) is not None
        has_servers = self.board.read(REGISTRATIONS) is not None
        return has_routes and has_servers and not self._leaving

    async def stop(self) -> None:
        """Leave the addresses, finish what is in flight, then return."""
        host = self.options.host
        began_s = self._timers.now_s()
        end_s = began_s + self.options.stop_timeout_s - _STOP_MARGIN_S
        self._leaving = True
        log_event(
            Event.STOP_REQUESTED,
            f'daemon {host!r} leaves',
            host=host,
            in_flight=self.gateway.in_flight,
        )
        leaving = asyncio.create_task(self._hosts.leave())
        listen_s = self.options.address_keep_s + _LISTEN_ON_S
        await asyncio.sleep(min(listen_s, self.options.stop_timeout_s / 2))
        self._callers.stop_listening()
        await self._callers.drain(end_s - self._timers.now_s())
        leaving.cancel()
        log_event(
            Event.PROCESS_STOPPED,
            f'daemon {host!r} stopped',
            host=host,
            in_flight=self.gateway.in_flight,
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a caller; a leaving daemon asks it to connect elsewhere."""
        response = await self.gateway.handle(request)
        if not self._leaving:
            return response
        return replace(response, close=True)

    async def answer_readiness(self, _: HttpRequest) -> HttpResponse:
        """Answer a readiness check."""
        return HttpResponse(200 if self.is_ready else 503)

    async def answer_question(self, request: HttpRequest) -> HttpResponse:
        """Answer a caller that asks for addresses."""
        question = self._dialect.read_address_query(request)
        if isinstance(question, Failure):
            return self._dialect.write_failure(question)
        addresses = self._hosts.addresses(
            question.data_centre,
            question.region,
        )
        if not addresses:
            return self._dialect.write_failure(
                Failure(ResultCode.NOT_READY, 'no daemon is ready'),
            )
        return self._dialect.write_addresses(
            addresses,
            self.options.address_keep_s,
        )

    async def answer_control(self, request: HttpRequest) -> HttpResponse:
        """Serve the metrics, and other daemons that read through this one."""
        if request.path == FEED_PATH:
            return await handle_feed_request(
                self._reading.feeds_by_prefix,
                request,
                self.options.relay_wait_s,
            )
        return HttpResponse(200, generate_latest(), CONTENT_TYPE_LATEST)

    async def _start(self, stack: AsyncExitStack) -> None:
        options = self.options
        stack.enter_context(self.fleet)
        stack.callback(self.board.subscribe(ROUTES, self._take_routes))
        stack.callback(self.board.subscribe(REGISTRATIONS, self._review))
        await stack.enter_async_context(self._reading)
        await stack.enter_async_context(self._callers)
        for address, handler in (
            (options.directory_address, self.answer_question),
            (options.readiness_address, self.answer_readiness),
            (options.control_address, self.answer_control),
        ):
            if address:
                await stack.enter_async_context(
                    HttpServer(address, HttpLimits(), handler),
                )
        log_event(
            Event.PROCESS_STARTED,
            f'daemon {options.host!r} listens',
            host=options.host,
            data_centre=options.data_centre,
            caller_address=options.caller_address,
        )

    def _take_routes(self, routes: RouteTable | None) -> None:
        limits = None if routes is None else routes.configuration.limits
        if limits is not None:
            self._callers.limits = HttpLimits(
                limits.header_size_bytes,
                limits.body_size_bytes,
                self.options.connection_count,
                limits.read_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
            )
        self._review(routes)

    def _review(self, _: object) -> None:
        """Offer this daemon to callers once it knows enough."""
        if self.is_ready:
            self._hosts.publish()
