"""Messages and requests between the daemons.

Owns one Pull0 listener, the links to peers, and the requests that wait for a
reply.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from typing import TYPE_CHECKING, Any, Final, Self, TypeVar

import pynng

from boragespool.events import Event, log_event
from boragespool.peers.backlog import Backlog, Sender
from boragespool.peers.exchanges import (
    Exchanges,
    no_answer,
    not_sent,
    not_served,
)
from boragespool.peers.frames import (
    Envelope,
    Frame,
    Probe,
    ProbeAnswer,
    Refusal,
    decode_frame,
    decode_message,
    encode_message,
)
from boragespool.peers.link import PeerLink
from boragespool.results import Failure, ResultCode
from boragespool.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from boragespool.peers.options import PeerOptions
    from boragespool.timers import TimerService
    from boragespool.types import Address, HostName, Seconds

_MessageT = TypeVar('_MessageT')

#: Receives under way. At 32 frames per turn, turns of 25 ms let through
#: 1,280 frames per second, more than peers send at one frame per turn.
_RECEIVE_COUNT: Final = 32


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
        self._message_handlers: dict[str, Callable[[Sender, Any], None]] = {}
        self._request_handlers: dict[
            str,
            Callable[[Sender, Any], Awaitable[Any]],
        ] = {}
        self._exchanges = Exchanges()
        self._tasks = TaskSet()
        self._backlog = Backlog(options.queue_count, self._handle)

    async def __aenter__(self) -> Self:
        """Listen.

        Raises
        ------
        pynng.NNGException
            If the address is in use or is not local.
        """
        self._socket = pynng.Pull0(recv_buffer_size=256)
        self._stack.callback(self._socket.close)
        listen_address = self.options.listen_address
        self._socket.listen(f'tcp://{listen_address}')
        self._tasks.spawn(self._receive_frames())
        idle_check = self._timers.every(
            self.options.idle_timeout_s / 2,
            self._close_idle_links,
        )
        self._stack.callback(idle_check.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all links."""
        self._closing = True
        self._backlog.close()
        # Cancelling a pynng receive can wait for ever; closing ends it.
        self._socket.close()
        await self._tasks.close()
        for link in tuple(self._link_by_host.values()):
            await link.__aexit__()
        await self._stack.aclose()

    def set_address(self, host: HostName, address: Address) -> None:
        """Set where a peer listens; a changed address closes the old link."""
        if self._address_by_host.get(host) == address:
            return
        self._address_by_host[host] = address
        self.forget_link(host)

    def forget_link(self, host: HostName) -> None:
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
        self._message_handlers[kind.__name__] = handler

    def on_request(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT], Awaitable[Any]],
    ) -> None:
        """Answer each request of a kind with the handler's result."""
        self._request_handlers[kind.__name__] = handler

    def send(self, host: HostName, message: object) -> bool:
        """Queue a message; False if the peer has no address or a full queue.

        Messages can be lost. They arrive at most once.
        """
        if host == self.options.host:
            asyncio.get_running_loop().call_soon(
                self._deliver,
                self._self_sender(),
                message,
            )
            return True
        return self._queue(host, encode_message(message))

    async def request(
        self,
        host: HostName,
        message: object,
        timeout_s: Seconds,
    ) -> Any | Failure:
        """Send a request and wait for its reply.

        Parameters
        ----------
        host : str
            Peer, or this daemon itself.
        message : object
            Message for which the peer registered a request handler.
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        object or Failure
            The reply. A failure has run state ``NOT_RUN`` if nothing was
            sent or the peer refused, else ``UNKNOWN``.
        """
        if host == self.options.host:
            return await self._request_self(message, timeout_s)
        with self._exchanges.open() as (number, reply):
            if not self._queue(host, encode_message(message, number)):
                return not_sent(host)
            try:
                async with asyncio.timeout(timeout_s):
                    return await reply
            except TimeoutError:
                return no_answer(host, timeout_s)

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

    def _self_sender(self) -> Sender:
        return Sender(
            self.options.host,
            self.options.incarnation,
            self.options.listen_address,
        )

    async def _request_self(
        self,
        message: object,
        timeout_s: Seconds,
    ) -> Any | Failure:
        """Call the own handler directly."""
        handler = self._request_handlers.get(type(message).__name__)
        if handler is None:
            return not_served(type(message).__name__)
        # Like a remote handler, it goes on after a timeout.
        task = self._tasks.spawn(
            _call(handler, self._self_sender(), message),
        )
        done, _ = await asyncio.wait((task,), timeout=timeout_s)
        if not done or task.cancelled() or task.exception() is not None:
            return no_answer(self.options.host, timeout_s)
        return task.result()

    def _close_idle_links(self) -> None:
        if self._closing:
            return
        limit_s = self._timers.now_s() - self.options.idle_timeout_s
        for host, link in tuple(self._link_by_host.items()):
            if link.used_at_s < limit_s and link.idle:
                self.forget_link(host)

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

    async def _receive_frames(self) -> None:
        """Handle frames in order of arrival, several per turn of the loop.

        A receive takes a turn to tell its result. With one at a time and
        long turns, control messages would wait behind all earlier frames in
        the buffers of the connection. Receives end in order of their start.
        """
        receiving: deque[asyncio.Task[bytes]] = deque()
        try:
            # pynng drops a cancellation that coincides with an arrival.
            while not self._closing:
                while len(receiving) < _RECEIVE_COUNT:
                    receive = self._socket.arecv()
                    receiving.append(asyncio.create_task(receive))
                self._receive(await receiving.popleft())
        except pynng.Closed:
            return
        finally:
            for task in receiving:
                task.cancel()
            await asyncio.gather(*receiving, return_exceptions=True)

    def _receive(self, encoded: bytes) -> None:
        """Handle control messages now, and bulk work later in order."""
        frame = _decode(encoded)
        if frame is None:
            return
        sender = Sender(frame.sender, frame.incarnation, frame.address)
        self._address_by_host.setdefault(frame.sender, frame.address)
        for envelope in frame.envelopes:
            if not envelope.is_bulk:
                self._handle(sender, envelope)
            elif not self._backlog.add(sender, envelope):
                self._refuse(sender, envelope)

    def _handle(self, sender: Sender, envelope: Envelope) -> None:
        message = decode_message(envelope)
        if envelope.reply:
            self._exchanges.resolve(envelope.exchange, message)
        elif envelope.exchange:
            self._tasks.spawn(self._answer(sender, envelope, message))
        else:
            self._deliver(sender, message)

    def _refuse(self, sender: Sender, envelope: Envelope) -> None:
        """Refuse a request for which the backlog has no room."""
        limit = self.options.queue_count
        refusal = Refusal(
            int(ResultCode.OVERLOADED),
            f'{limit} messages wait at this daemon',
        )
        if envelope.exchange:
            self._queue(
                sender.host,
                encode_message(refusal, envelope.exchange, reply=True),
            )

    def _deliver(self, sender: Sender, message: object) -> None:
        if isinstance(message, Probe):
            self.send(sender.host, ProbeAnswer(message.number))
            return
        if isinstance(message, ProbeAnswer):
            link = self._link_by_host.get(sender.host)
            if link is not None:
                link.probe_answered()
            return
        handler = self._message_handlers.get(type(message).__name__)
        if handler is not None:
            handler(sender, message)

    async def _answer(
        self,
        sender: Sender,
        envelope: Envelope,
        message: object,
    ) -> None:
        """Run the request handler and send its result."""
        handler = self._request_handlers.get(envelope.kind)
        if isinstance(message, Failure):
            result: object = message
        elif handler is None:
            result = not_served(envelope.kind)
        else:
            result = await handler(sender, message)
        if isinstance(result, Failure):
            result = Refusal(
                int(result.code),
                result.reason,
                result.run,
            )
        self._queue(
            sender.host,
            encode_message(result, envelope.exchange, reply=True),
        )


def _decode(encoded: bytes) -> Frame | None:
    """Return a frame; log one that cannot be used."""
    frame = decode_frame(encoded)
    if isinstance(frame, Failure):
        log_event(
            Event.PEER_FRAME_REJECTED,
            frame.reason,
            level=logging.WARNING,
            code=int(frame.code),
        )
        return None
    return frame


async def _call(
    handler: Callable[[Sender, Any], Awaitable[Any]],
    sender: Sender,
    message: object,
) -> Any:
    return await handler(sender, message)
