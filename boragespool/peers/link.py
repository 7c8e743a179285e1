"""The sending side of one link to one peer.

Owns a Push0 socket. The transport reports neither a lost frame nor a silent
connection, so the link probes the peer and dials again without an answer.
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
#: Replies that need no probe: whoever asks for them asks again without one,
#: and every daemon also sends pings of its own, which show a silent link.
#: With pings alone, probes were two thirds of the frames.
_REPEATED_REPLIES: Final = frozenset(
    kind.__name__ for kind in (Ack, LeavingHosts, ServerPage, ServerVersions)
)


class PeerLink:
    """Queues messages for one peer and sends them in frames."""

    def __init__(
        self,
        address: Address,
        options: PeerOptions,
        timers: TimerService,
    ) -> None:
        """Keep the settings; `start` dials."""
        self.address = address
        self.frames_sent = 0
        self.bytes_sent = 0
        self.last_used_at_s = timers.now_s()
        self._options = options
        self._timers = timers
        self._control: deque[Envelope] = deque()
        self._bulk: deque[Envelope] = deque()
        self._blocked_sends = TaskSet()
        self._flush_is_due = False
        self._flushed_at_s = -math.inf
        self._closing = False
        self._probing: TimerHandle | None = None
        self._probe_number = 0
        self._unanswered_since_s: Seconds | None = None
        self._used_since_probe = False
        self._last_exchange = 0

    async def __aenter__(self) -> Self:
        """Start the link."""
        self.start()
        return self

    def start(self) -> None:
        """Dial without waiting for the peer."""
        self._dial()

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the socket; queued messages are dropped."""
        self.stop()
        await self._blocked_sends.close()

    def stop(self) -> None:
        """Close the socket without waiting for a blocked frame."""
        if self._probing is not None:
            self._probing.cancel()
        self._closing = True
        # Cancelling a pynng send can wait for ever; closing ends it.
        self._socket.close()

    def queue(self, envelope: Envelope) -> bool:
        """Queue one message; False if the queue of its class is full."""
        waiting = self._bulk if envelope.is_bulk else self._control
        if len(waiting) >= self._options.queue_count:
            return False
        waiting.append(envelope)
        if _needs_probe(envelope):
            self._used_since_probe = True
            self._last_exchange = 0 if envelope.reply else envelope.exchange
            self._arm_probe()
        if envelope.kind not in _PROBE_KINDS:
            self.last_used_at_s = self._timers.now_s()
        self._flush_soon()
        return True

    def probe_answered(self) -> None:
        """Note that the peer answered a probe."""
        self._unanswered_since_s = None

    def request_answered(self, exchange: int) -> None:
        """Note a reply, which proves all that was sent before its request."""
        if exchange == self._last_exchange:
            self._used_since_probe = False

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be sent."""
        return not self._control and not self._bulk

    def _dial(self) -> None:
        self._socket = pynng.Push0(
            send_buffer_size=8,
            send_timeout=int(self._options.silence_timeout_s * 1_000),
            reconnect_time_min=20,
            reconnect_time_max=200,
        )
        self._socket.dial(f'tcp://{self.address}', block=False)

    def _redial(self) -> None:
        """Replace the connection."""
        self._socket.close()
        self._unanswered_since_s = None
        self._dial()

    def _arm_probe(self) -> None:
        """Probe later; an unused link has no timer.

        Otherwise the timers of the links that a daemon keeps to hundreds of
        peers would use processor time without any traffic.
        """
        if self._probing is None:
            self._probing = self._timers.after(
                self._options.probe_interval_s,
                self._probe,
            )

    def _probe(self) -> None:
        """Probe a link in use; dial again after a silence."""
        self._probing = None
        now_s = self._timers.now_s()
        since_s = self._unanswered_since_s
        if since_s is None:
            if self._used_since_probe:
                self._unanswered_since_s = now_s
                self._queue_probe()
            return
        if now_s - since_s >= self._options.silence_timeout_s:
            log_event(
                Event.PEER_LINK_SILENT,
                f'no answer from {self.address!r}; dialling again',
                address=self.address,
            )
            self._redial()
        self._queue_probe()

    def _queue_probe(self) -> None:
        self._probe_number += 1
        self.queue(encode_message(Probe(self._probe_number)))
        self._used_since_probe = False

    def _flush_soon(self) -> None:
        """Flush after this turn of the loop, or when the interval is over."""
        if self._flush_is_due or self._blocked_sends or self._closing:
            return
        self._flush_is_due = True
        since_s = self._timers.now_s() - self._flushed_at_s
        self._timers.after(
            max(0, self._options.flush_interval_s - since_s),
            self._flush,
        )

    def _flush(self) -> None:
        """Send what is queued, as far as the socket takes it at once.

        A send that does not wait needs no callback from a thread of pynng,
        which costs more than the send itself.
        """
        self._flush_is_due = False
        self._flushed_at_s = self._timers.now_s()
        while not self.idle and not self._closing:
            encoded = encode_frame(self._next_frame())
            try:
                self._socket.send(encoded, block=False)
            except pynng.TryAgain:
                blocked = self._blocked_sends.spawn(self._send_blocked(encoded))
                blocked.add_done_callback(self._unblocked)
                return
            except pynng.NNGException:
                continue
            self._count(encoded)

    async def _send_blocked(self, encoded: bytes) -> None:
        """Send one frame; it is lost if the connection stays blocked."""
        with contextlib.suppress(pynng.NNGException):
            await self._socket.asend(encoded)
            self._count(encoded)

    def _unblocked(self, _sent: object) -> None:
        if not self.idle:
            self._flush_soon()

    def _count(self, encoded: bytes) -> None:
        self.frames_sent += 1
        self.bytes_sent += len(encoded)
        PEER_FRAMES.inc()
        PEER_BYTES.inc(len(encoded))

    def _next_frame(self) -> Frame:
        """Fill a frame with the control messages first."""
        envelopes: list[Envelope] = []
        size_bytes = 0
        while not self.idle and size_bytes < self._options.frame_size_bytes:
            envelope = (self._control or self._bulk).popleft()
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
    # Answers to probes must not cause probes, or they would never end.
    if envelope.kind == ProbeAnswer.__name__:
        return False
    return not (envelope.reply and envelope.kind in _REPEATED_REPLIES)
