"""Messages and requests between daemons.

Owns the listener, the links to peers, the queue of received bulk messages and
the requests whose reply is outstanding.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from functools import partial
from typing import TYPE_CHECKING, Any, Self, TypeVar

from boragespool.events import Event, log_event
from boragespool.peers.backlog import Backlog
from boragespool.peers.frames import (
    Envelope,
    Frame,
    Probe,
    ProbeAnswer,
    Refusal,
    decode_message,
    encode_message,
)
from boragespool.peers.handlers import Handlers, Sender
from boragespool.peers.link import PeerLink
from boragespool.peers.listener import FrameListener
from boragespool.peers.pending_requests import (
    PendingRequests,
    no_reply_failure,
    not_sent_failure,
)
from boragespool.results import Failure, ResultCode
from boragespool.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from boragespool.peers.handlers import ReplyCallback
    from boragespool.peers.options import PeerOptions
    from boragespool.timers import TimerService
    from boragespool.types import Address, HostName, Seconds

_MessageT = TypeVar('_MessageT')


class PeerNetwork:
    """Messaging endpoint of one daemon, an async context manager.

    Parameters
    ----------
    options : PeerOptions
        Identity of the daemon and limits of its links.
    timers : TimerService
        Clock and timers of the links.
    """

    def __init__(self, options: PeerOptions, timers: TimerService) -> None:
        """Create an endpoint without links; `__aenter__` listens."""
        self.options = options
        self._timers = timers
        self._closing = False
        self._closed_links_frame_count = 0
        self._closed_links_byte_count = 0
        self._stack = contextlib.AsyncExitStack()
        self._address_by_host: dict[HostName, Address] = {}
        self._link_by_host: dict[HostName, PeerLink] = {}
        self._pending_requests = PendingRequests()
        self._tasks = TaskSet()
        self._handlers = Handlers(self._tasks)
        self._own_sender = Sender(
            options.host,
            options.incarnation,
            options.listen_address,
        )
        self._backlog = Backlog(options.queue_count, self._handle)

    async def __aenter__(self) -> Self:
        """Start to listen for peers.

        Raises
        ------
        pynng.NNGException
            If the address is in use or is not local.
        """
        self._stack.enter_context(
            FrameListener(self.options.listen_address, self._receive),
        )
        idle_check = self._timers.every(
            self.options.idle_timeout_s / 2,
            self._close_idle_links,
        )
        self._stack.callback(idle_check.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening, cancel running handlers and close all links."""
        self._closing = True
        await self._stack.aclose()
        self._backlog.close()
        await self._tasks.close()
        for link in tuple(self._link_by_host.values()):
            await link.__aexit__()

    def set_address(self, host: HostName, address: Address) -> None:
        """Set the address of a peer; a change closes the link to the old one.

        Parameters
        ----------
        host : str
            Peer.
        address : str
            ``ip:port`` on which the peer listens.
        """
        if self._address_by_host.get(host) == address:
            return
        self._address_by_host[host] = address
        self.close_link(host)

    def close_link(self, host: HostName) -> None:
        """Close the link to a peer; the next message opens a new one."""
        link = self._link_by_host.pop(host, None)
        if link is not None:
            self._closed_links_frame_count += link.frames_sent
            self._closed_links_byte_count += link.bytes_sent
            # Stopped here as well: a task that is cancelled before its first
            # step would leave the link open.
            link.stop()
            self._tasks.spawn(link.__aexit__())

    def on_message(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT], None],
    ) -> None:
        """Register the handler of one-way messages of a class."""
        self._handlers.on_message(kind, handler)

    def on_request(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT], Awaitable[Any]],
    ) -> None:
        """Register a coroutine whose result is the reply to a request."""
        self._handlers.on_request(kind, handler)

    def on_request_with_callback(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT, ReplyCallback], None],
    ) -> None:
        """Register a handler that passes its reply to a callback.

        No task is created for a request, unlike with `on_request`.
        """
        self._handlers.on_request_with_callback(kind, handler)

    def send(self, host: HostName, message: object) -> bool:
        """Queue a one-way message; delivery is at most once.

        Returns
        -------
        bool
            False if the address of the peer is unknown, its send queue is
            full, or the network is closing.
        """
        if host == self.options.host:
            asyncio.get_running_loop().call_soon(
                self._deliver,
                self._own_sender,
                message,
            )
            return True
        return self._queue(host, encode_message(message))

    def request_with_callback(
        self,
        host: HostName,
        message: object,
        on_result: Callable[[Any], None],
    ) -> Callable[[], None]:
        """Send a request whose reply is passed to a callback.

        Parameters
        ----------
        host : str
            Peer, or this daemon itself, whose handler gets the message
            without encoding.
        message : object
            Message for which the peer registered a request handler.
        on_result : callable
            Called at most once, and not before this method returns, with the
            reply or a failure. A failure has run state ``NOT_RUN`` if the
            request was not sent or the peer refused it, else ``UNKNOWN``.

        Returns
        -------
        callable
            Stops waiting for the reply. There is no timeout: the caller must
            call it if no reply arrives.
        """
        exchange = self._pending_requests.add(on_result)
        resolve = partial(self._pending_requests.resolve, exchange)
        if host == self.options.host:
            asyncio.get_running_loop().call_soon(
                self._handlers.handle_request,
                self._own_sender,
                message,
                resolve,
            )
        elif not self._queue(host, encode_message(message, exchange)):
            asyncio.get_running_loop().call_soon(
                resolve, not_sent_failure(host)
            )
        return partial(self._pending_requests.remove, exchange)

    async def request(
        self,
        host: HostName,
        message: object,
        timeout_s: Seconds,
    ) -> Any | Failure:
        """Send a request and wait for its reply.

        Parameters
        ----------
        host, message
            As for `request_with_callback`.
        timeout_s : float
            Longest wait for the reply, in seconds.

        Returns
        -------
        object or Failure
            The reply. A failure has run state ``NOT_RUN`` if the request was
            not sent or the peer refused it, else ``UNKNOWN``.
        """
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Any] = loop.create_future()
        set_result = partial(_set_result, reply)
        stop_waiting = self.request_with_callback(host, message, set_result)
        timer = loop.call_later(
            timeout_s, set_result, no_reply_failure(host, timeout_s)
        )
        try:
            return await reply
        finally:
            timer.cancel()
            stop_waiting()

    def traffic(self) -> tuple[int, int]:
        """Return the numbers of frames and of bytes sent since the start."""
        links = tuple(self._link_by_host.values())
        return (
            self._closed_links_frame_count
            + sum(link.frames_sent for link in links),
            self._closed_links_byte_count
            + sum(link.bytes_sent for link in links),
        )

    async def flush(self, timeout_s: Seconds) -> None:
        """Wait until the send queues are empty, at most `timeout_s` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not all(
                    link.idle for link in self._link_by_host.values()
                ):
                    await asyncio.sleep(self.options.flush_interval_s)

    def _close_idle_links(self) -> None:
        if self._closing:
            return
        idle_before_s = self._timers.now_s() - self.options.idle_timeout_s
        for host, link in tuple(self._link_by_host.items()):
            if link.last_used_at_s < idle_before_s and link.idle:
                self.close_link(host)

    def _queue(self, host: HostName, envelope: Envelope) -> bool:
        """Queue a message on the link to a peer, which is opened if needed."""
        address = self._address_by_host.get(host)
        if address is None or self._closing:
            return False
        link = self._link_by_host.get(host)
        if link is None:
            link = PeerLink(address, self.options, self._timers)
            self._link_by_host[host] = link
            link.start()
        return link.queue(envelope)

    def _receive(self, frame: Frame) -> None:
        """Handle control messages at once and queue bulk messages."""
        sender = Sender(frame.sender, frame.incarnation, frame.address)
        self._address_by_host.setdefault(frame.sender, frame.address)
        for envelope in frame.envelopes:
            if not envelope.is_bulk:
                self._handle(sender, envelope)
            elif not self._backlog.add(sender, envelope):
                self._refuse(sender, envelope)

    def _handle(self, sender: Sender, envelope: Envelope) -> None:
        try:
            self._dispatch(sender, envelope, decode_message(envelope))
        except Exception as error:
            # The remaining messages of the frame are handled all the same.
            log_event(
                Event.TASK_FAILED,
                f'handling a message of kind {envelope.kind!r} raised '
                f'{error!r}',
                level=logging.ERROR,
            )

    def _refuse(self, sender: Sender, envelope: Envelope) -> None:
        """Refuse a request because the backlog is full.

        A one-way message is dropped without a reply.
        """
        if not envelope.exchange:
            return
        limit = self.options.queue_count
        failure = Failure(
            ResultCode.OVERLOADED,
            f'{limit} messages are queued at this daemon; its backlog is full',
        )
        self._reply(sender.host, envelope.exchange, failure)

    def _dispatch(
        self,
        sender: Sender,
        envelope: Envelope,
        message: object,
    ) -> None:
        if envelope.reply:
            self._record_reply(sender.host, envelope.exchange)
            self._pending_requests.resolve(envelope.exchange, message)
        elif envelope.exchange:
            self._handlers.handle_request(
                sender,
                message,
                partial(self._reply, sender.host, envelope.exchange),
            )
        else:
            self._deliver(sender, message)

    def _record_reply(self, host: HostName, exchange: int) -> None:
        link = self._link_by_host.get(host)
        if link is not None:
            link.record_reply(exchange)

    def _deliver(self, sender: Sender, message: object) -> None:
        """Process a probe or its answer, or call the handler of a message."""
        if isinstance(message, Probe):
            self.send(sender.host, ProbeAnswer(message.number))
            return
        if isinstance(message, ProbeAnswer):
            link = self._link_by_host.get(sender.host)
            if link is not None:
                link.record_probe_answer()
            return
        self._handlers.handle_message(sender, message)

    def _reply(self, host: HostName, exchange: int, result: object) -> None:
        """Send the result of a request handler, a failure as a `Refusal`."""
        if isinstance(result, Failure):
            result = Refusal(
                int(result.code),
                result.reason,
                result.run,
            )
        self._queue(host, encode_message(result, exchange, reply=True))


def _set_result(reply: asyncio.Future[Any], result: object) -> None:
    if not reply.done():
        reply.set_result(result)
