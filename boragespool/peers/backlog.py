"""Queue of received bulk messages; control messages do not pass through it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.peers.frames import Envelope
    from boragespool.peers.handlers import Sender

#: A message takes about 0.1 ms to handle, so a batch stays far below the event
#: loop delay of 20 ms at which a daemon starts to refuse requests.
_MESSAGES_PER_ITERATION: Final = 16


class Backlog:
    """FIFO queue of bulk messages, handled in batches on the event loop.

    One batch is handled per iteration of the event loop, so that control
    messages and other callbacks run in between.

    Parameters
    ----------
    limit : int
        Maximum length of the queue. Replies are queued even above it, because
        the outcome of a request whose reply is dropped would stay unknown.
    handle : callable
        Called with the sender and the envelope of each message.
    """

    def __init__(
        self,
        limit: int,
        handle: Callable[[Sender, Envelope], None],
    ) -> None:
        """Create an empty queue."""
        self._limit = limit
        self._handle = handle
        self._queue: deque[tuple[Sender, Envelope]] = deque()
        self._scheduled_batch: asyncio.Handle | None = None

    def add(self, sender: Sender, envelope: Envelope) -> bool:
        """Queue a message; return False if the queue is full.

        Replies are always queued.
        """
        if len(self._queue) >= self._limit and not envelope.reply:
            return False
        self._queue.append((sender, envelope))
        if self._scheduled_batch is None:
            self._scheduled_batch = asyncio.get_running_loop().call_soon(
                self._handle_batch
            )
        return True

    def close(self) -> None:
        """Drop all queued messages."""
        self._queue.clear()
        if self._scheduled_batch is not None:
            self._scheduled_batch.cancel()

    def _handle_batch(self) -> None:
        self._scheduled_batch = None
        try:
            for _ in range(min(_MESSAGES_PER_ITERATION, len(self._queue))):
                self._handle(*self._queue.popleft())
        finally:
            # Also after an exception; otherwise the remaining messages would
            # not be handled until the next one arrives.
            if self._queue and self._scheduled_batch is None:
                loop = asyncio.get_running_loop()
                self._scheduled_batch = loop.call_soon(self._handle_batch)
