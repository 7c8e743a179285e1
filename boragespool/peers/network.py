"""Messages and requests between the daemons.

Owns the listener, the links to peers, and the requests that wait for a reply.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from functools import partial
from typing import TYPE_CHECKING, Any, Self, TypeVar

from boragespool.events import Event, log_event
from boragespool.peers.backlog import Backlog
from boragespool.peers.exchanges import (
    Exchanges,
    no_answer,
    not_sent,
)
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
from boragespool.results import Failure, ResultCode
from boragespool.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from boragespool.peers.handlers import Reply
    from boragespool.peers.options import PeerOptions
    from boragespool.timers import TimerService
    from boragespool.types import Address, HostName, Seconds

_MessageT = TypeVar('_MessageT')


class PeerNetwork:
    """All links of one daemon, an async context manager.

    Parameters
    ----------
    options : PeerOptions
        Identity and bounds.
    timers : TimerService
        Clock of the probes.
    """

    def __init__(self, options: PeerOptions, timers: TimerService) -> None:
        """Keep the settings; `__aenter__` listens."""
        self.options = options
        self._timers = timers
        self._closing = False
        self._closed_frames = 0
        self._closed_bytes = 0
        self._stack = contextlib.AsyncExitStack()
        self._address_by_host: dict[HostName, Address] = {}
        self._link_by_host: dict[HostName, PeerLink] = {}
        self._exchanges = Exchanges()
        self._tasks = TaskSet()
        self._handlers = Handlers(self._tasks)
        self._own_sender = Sender(
            options.host,
            options.incarnation,
            options.listen_address,
        )
        self._backlog = Backlog(options.queue_count, self._handle)

    async def __aenter__(self) -> Self:
        """Listen.

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
        """Receive nothing more and close all links."""
        self._closing = True
        await self._stack.aclose()
        self._backlog.close()
        await self._tasks.close()
        for link in tuple(self._link_by_host.values()):
            await link.__aexit__()

    def set_address(self, host: HostName, address: Address) -> None:
        """Set where a peer listens; a changed address closes the old link."""
        if self._address_by_host.get(host) == address:
            return
        self._address_by_host[host] = address
        self.close_link(host)

    def close_link(self, host: HostName) -> None:
        """Close the link to a peer; the next message dials again."""
        link = self._link_by_host.pop(host, None)
        if link is not None:
            self._closed_frames += link.frames_sent
            self._closed_bytes += link.bytes_sent
            # A task that is cancelled before it starts would stop nothing.
            link.stop()
            self._tasks.spawn(link.__aexit__())

    def on_message(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT], None],
    ) -> None:
        """Call a handler with each message of a kind."""
        self._handlers.on_message(kind, handler)

    def on_request(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT], Awaitable[Any]],
    ) -> None:
        """Answer each request of a kind with the handler's result."""
        self._handlers.on_request(kind, handler)

    def on_request_with_callback(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT, Reply], None],
    ) -> None:
        """Answer each request of a kind with what the handler replies.

        It costs no task, unlike a handler of `on_request`.
        """
        self._handlers.on_request_with_callback(kind, handler)

    def send(self, host: HostName, message: object) -> bool:
        """Queue a message; False if the peer has no address or a full queue.

        Messages can be lost. They arrive at most once.
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
            without any encoding.
        message : object
            Message for which the peer registered a request handler.
        on_result : callable
            Called later, at most once, with the reply or a failure. A
            failure has run state ``NOT_RUN`` if nothing was sent or the peer
            refused, else ``UNKNOWN``.

        Returns
        -------
        callable
            Call it to wait no longer. Nothing else ends the wait for a
            reply that does not come.
        """
        number = self._exchanges.open(on_result)
        resolve = partial(self._exchanges.resolve, number)
        if host == self.options.host:
            asyncio.get_running_loop().call_soon(
                self._handlers.serve,
                self._own_sender,
                message,
                resolve,
            )
        elif not self._queue(host, encode_message(message, number)):
            asyncio.get_running_loop().call_soon(resolve, not_sent(host))
        return partial(self._exchanges.close, number)

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
            Longest wait, in seconds.

        Returns
        -------
        object or Failure
            The reply. A failure has run state ``NOT_RUN`` if nothing was
            sent or the peer refused, else ``UNKNOWN``.
        """
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Any] = loop.create_future()
        settle = partial(_settle, reply)
        close = self.request_with_callback(host, message, settle)
        timer = loop.call_later(timeout_s, settle, no_answer(host, timeout_s))
        try:
            return await reply
        finally:
            timer.cancel()
            close()

    def traffic(self) -> tuple[int, int]:
        """Return frames and bytes sent since the start."""
        links = tuple(self._link_by_host.values())
        return (
            self._closed_frames + sum(link.frames_sent for link in links),
            self._closed_bytes + sum(link.bytes_sent for link in links),
        )

    async def flush(self, timeout_s: Seconds) -> None:
        """Wait until the queues are empty, at most `timeout_s` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not all(
                    link.idle for link in self._link_by_host.values()
                ):
                    await asyncio.sleep(self.options.flush_interval_s)

    def _close_idle_links(self) -> None:
        if self._closing:
            return
        limit_s = self._timers.now_s() - self.options.idle_timeout_s
        for host, link in tuple(self._link_by_host.items()):
            if link.last_used_at_s < limit_s and link.idle:
                self.close_link(host)

    def _queue(self, host: HostName, envelope: Envelope) -> bool:
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
        """Handle control messages now, and bulk work later in order."""
        sender = Sender(frame.sender, frame.incarnation, frame.address)
        self._address_by_host.setdefault(frame.sender, frame.address)
        for envelope in frame.envelopes:
            if not envelope.is_bulk:
                self._handle(sender, envelope)
            elif not self._backlog.add(sender, envelope):
                self._refuse(sender, envelope)

    def _handle(self, sender: Sender, envelope: Envelope) -> None:
        try:
            self._accept(sender, envelope, decode_message(envelope))
        except Exception as error:
            # One faulty handler must not cost the rest of the frame.
            log_event(
                Event.TASK_FAILED,
                f'a message of kind {envelope.kind!r} raised {error!r}',
                level=logging.ERROR,
            )

    def _refuse(self, sender: Sender, envelope: Envelope) -> None:
        """Refuse a request for which the backlog has no room."""
        if not envelope.exchange:
            return
        limit = self.options.queue_count
        failure = Failure(
            ResultCode.OVERLOADED,
            f'{limit} messages wait at this daemon',
        )
        self._reply(sender.host, envelope.exchange, failure)

    def _accept(
        self,
        sender: Sender,
        envelope: Envelope,
        message: object,
    ) -> None:
        if envelope.reply:
            self._note_reply(sender.host, envelope.exchange)
            self._exchanges.resolve(envelope.exchange, message)
        elif envelope.exchange:
            self._handlers.serve(
                sender,
                message,
                partial(self._reply, sender.host, envelope.exchange),
            )
        else:
            self._deliver(sender, message)

    def _note_reply(self, host: HostName, exchange: int) -> None:
        link = self._link_by_host.get(host)
        if link is not None:
            link.request_answered(exchange)

    def _deliver(self, sender: Sender, message: object) -> None:
        if isinstance(message, Probe):
            self.send(sender.host, ProbeAnswer(message.number))
            return
        if isinstance(message, ProbeAnswer):
            link = self._link_by_host.get(sender.host)
            if link is not None:
                link.probe_answered()
            return
        self._handlers.deliver(sender, message)

    def _reply(self, host: HostName, exchange: int, result: object) -> None:
        """Send the result of a request handler."""
        if isinstance(result, Failure):
            result = Refusal(
                int(result.code),
                result.reason,
                result.run,
            )
        self._queue(host, encode_message(result, exchange, reply=True))


def _settle(reply: asyncio.Future[Any], result: object) -> None:
    if not reply.done():
        reply.set_result(result)
