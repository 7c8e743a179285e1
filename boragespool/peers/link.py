"""Sending side of the link to one peer.

Owns a Push0 socket. The transport reports neither a lost frame nor a
connection that has gone silent, so the link sends probes and reconnects if
they are not answered.
"""

from __future__ import annotations

import contextlib
import math
from collections import deque
from typing import TYPE_CHECKING, Final, Self

import pynng

from boragespool.events import Event, log_event
from boragespool.messages import Ack, LeavingHosts, ServerPage, ServerVersions
from boragespool.metrics import PEER_BYTES, PEER_FRAMES
from boragespool.peers.frames import (
    FRAME_VERSION,
    Envelope,
    Frame,
    Probe,
    ProbeAnswer,
    encode_frame,
    encode_message,
)
from boragespool.tasks import TaskSet

if TYPE_CHECKING:
    from boragespool.peers.options import PeerOptions
    from boragespool.timers import TimerHandle, TimerService
    from boragespool.types import Address, Seconds


_PROBE_KINDS: Final = frozenset((Probe.__name__, ProbeAnswer.__name__))
#: Replies that are sent without a probe: the requester repeats its request if
#: the reply is lost, and the pings of every daemon reveal a silent link. With
#: probes of these replies, two thirds of all frames between daemons that sent
#: only pings were probes.
_UNPROBED_REPLY_KINDS: Final = frozenset(
    kind.__name__ for kind in (Ack, LeavingHosts, ServerPage, ServerVersions)
)


class PeerLink:
    """Queues messages for one peer and sends them in frames.

    Parameters
    ----------
    address : str
        ``ip:port`` on which the peer listens.
    options : PeerOptions
        Identity of this daemon and limits of its links.
    timers : TimerService
        Clock and timers of flushes and probes.

    Attributes
    ----------
    frames_sent, bytes_sent : int
        Frames passed to the socket, and their size in bytes.
    last_used_at_s : float
        Time at which a message other than a probe was last queued, on the
        clock of the timer service.
    """

    def __init__(
        self,
        address: Address,
        options: PeerOptions,
        timers: TimerService,
    ) -> None:
        """Create a link that is not connected; `start` connects."""
        self.address = address
        self.frames_sent = 0
        self.bytes_sent = 0
        self.last_used_at_s = timers.now_s()
        self._options = options
        self._timers = timers
        self._control_queue: deque[Envelope] = deque()
        self._bulk_queue: deque[Envelope] = deque()
        self._blocked_sends = TaskSet()
        self._flush_scheduled = False
        self._flushed_at_s = -math.inf
        self._closing = False
        self._probe_timer: TimerHandle | None = None
        self._probe_number = 0
        self._probe_unanswered_since_s: Seconds | None = None
        self._has_unconfirmed_messages = False
        self._last_exchange = 0

    async def __aenter__(self) -> Self:
        """Connect."""
        self.start()
        return self

    def start(self) -> None:
        """Start to connect in the background."""
        self._dial()

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the socket and drop the queued messages."""
        self.stop()
        await self._blocked_sends.close()

    def stop(self) -> None:
        """Close the socket without waiting for a blocked send."""
        if self._probe_timer is not None:
            self._probe_timer.cancel()
        self._closing = True
        # Cancelling a pynng send can hang; closing the socket ends the send.
        self._socket.close()

    def queue(self, envelope: Envelope) -> bool:
        """Queue a message; return False if its queue is full.

        Control messages and bulk messages have separate queues.
        """
        selected_queue = (
            self._bulk_queue if envelope.is_bulk else self._control_queue
        )
        if len(selected_queue) >= self._options.queue_count:
            return False
        selected_queue.append(envelope)
        if _needs_probe(envelope):
            self._has_unconfirmed_messages = True
            self._last_exchange = 0 if envelope.reply else envelope.exchange
            self._schedule_probe()
        if envelope.kind not in _PROBE_KINDS:
            self.last_used_at_s = self._timers.now_s()
        self._schedule_flush()
        return True

    def record_probe_answer(self) -> None:
        """Record that the peer answered a probe."""
        self._probe_unanswered_since_s = None

    def record_reply(self, exchange: int) -> None:
        """Record a reply; no probe is needed if its request was queued last.

        Such a reply shows that the link was alive after that request.
        """
        if exchange == self._last_exchange:
            self._has_unconfirmed_messages = False

    @property
    def idle(self) -> bool:
        """Whether both queues are empty."""
        return not self._control_queue and not self._bulk_queue

    def _dial(self) -> None:
        self._socket = pynng.Push0(
            send_buffer_size=8,
            send_timeout=int(self._options.silence_timeout_s * 1_000),
            reconnect_time_min=20,
            reconnect_time_max=200,
        )
        self._socket.dial(f'tcp://{self.address}', block=False)

    def _redial(self) -> None:
        """Reconnect with a new socket."""
        self._socket.close()
        self._probe_unanswered_since_s = None
        self._dial()

    def _schedule_probe(self) -> None:
        """Schedule a probe unless one is scheduled.

        A link without traffic has no timer. A daemon has links to hundreds of
        peers, and their timers would use CPU time without any traffic.
        """
        if self._probe_timer is None:
            self._probe_timer = self._timers.after(
                self._options.probe_interval_s,
                self._probe,
            )

    def _probe(self) -> None:
        """Send a probe if messages or an earlier probe are unconfirmed.

        Reconnects first if no probe was answered for `silence_timeout_s`.
        """
        self._probe_timer = None
        now_s = self._timers.now_s()
        since_s = self._probe_unanswered_since_s
        if since_s is None:
            if self._has_unconfirmed_messages:
                self._probe_unanswered_since_s = now_s
                self._queue_probe()
            return
        if now_s - since_s >= self._options.silence_timeout_s:
            log_event(
                Event.PEER_LINK_SILENT,
                f'peer {self.address!r} did not answer a probe; reconnecting',
                address=self.address,
            )
            self._redial()
        self._queue_probe()

    def _queue_probe(self) -> None:
        self._probe_number += 1
        self.queue(encode_message(Probe(self._probe_number)))
        self._has_unconfirmed_messages = False

    def _schedule_flush(self) -> None:
        """Schedule a flush unless one is scheduled or a send is blocked.

        It runs in a later iteration of the event loop, and not before
        `flush_interval_s` has passed since the last flush.
        """
        if self._flush_scheduled or self._blocked_sends or self._closing:
            return
        self._flush_scheduled = True
        elapsed_s = self._timers.now_s() - self._flushed_at_s
        self._timers.after(
            max(0, self._options.flush_interval_s - elapsed_s),
            self._flush,
        )

    def _flush(self) -> None:
        """Send the queued messages until the send buffer is full.

        A non-blocking send needs no callback from a pynng thread, which costs
        more than the send itself. Only a frame that would block is sent
        asynchronously. After any other error the frame is lost.
        """
        self._flush_scheduled = False
        self._flushed_at_s = self._timers.now_s()
        while not self.idle and not self._closing:
            encoded = encode_frame(self._next_frame())
            try:
                self._socket.send(encoded, block=False)
            except pynng.TryAgain:
                blocked = self._blocked_sends.spawn(self._send_blocked(encoded))
                blocked.add_done_callback(self._on_blocked_send_done)
                return
            except pynng.NNGException:
                continue
            self._count_frame(encoded)

    async def _send_blocked(self, encoded: bytes) -> None:
        """Send a frame; it is lost if the send fails or times out."""
        with contextlib.suppress(pynng.NNGException):
            await self._socket.asend(encoded)
            self._count_frame(encoded)

    def _on_blocked_send_done(self, _sent: object) -> None:
        if not self.idle:
            self._schedule_flush()

    def _count_frame(self, encoded: bytes) -> None:
        self.frames_sent += 1
        self.bytes_sent += len(encoded)
        PEER_FRAMES.inc()
        PEER_BYTES.inc(len(encoded))

    def _next_frame(self) -> Frame:
        """Remove messages from the queues, control messages first."""
        envelopes: list[Envelope] = []
        size_bytes = 0
        while not self.idle and size_bytes < self._options.frame_size_bytes:
            envelope = (self._control_queue or self._bulk_queue).popleft()
            size_bytes += len(bytes(envelope.body))
            envelopes.append(envelope)
        return Frame(
            FRAME_VERSION,
            self._options.host,
            self._options.incarnation,
            self._options.listen_address,
            tuple(envelopes),
        )


def _needs_probe(envelope: Envelope) -> bool:
    # A probe answer must not be probed, or two links would exchange probes
    # for ever.
    if envelope.kind == ProbeAnswer.__name__:
        return False
    return not (envelope.reply and envelope.kind in _UNPROBED_REPLY_KINDS)
