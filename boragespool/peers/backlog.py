"""Received bulk work that waits while control messages are handled."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.peers.frames import Envelope
    from boragespool.peers.handlers import Sender

#: Messages handled in one turn of the event loop. One message costs about
#: 0.1 ms, so that a turn stays far below the 20 ms at which a daemon refuses.
_TURN_COUNT: Final = 16


class Backlog:
    """Bulk messages in order of arrival, handled a few per turn of the loop.

    Parameters
    ----------
    limit : int
        Requests that may wait. Replies always find room, because a lost one
        would leave its request without a known outcome.
    handle : callable
        Handles one message.
    """

    def __init__(
        self,
        limit: int,
        handle: Callable[[Sender, Envelope], None],
    ) -> None:
        """Start empty."""
        self._limit = limit
        self._handle = handle
        self._waiting: deque[tuple[Sender, Envelope]] = deque()
        self._turn: asyncio.Handle | None = None

    def add(self, sender: Sender, envelope: Envelope) -> bool:
        """Queue one message; False if it is a request and there is no room."""
        if len(self._waiting) >= self._limit and not envelope.reply:
            return False
        self._waiting.append((sender, envelope))
        if self._turn is None:
            self._turn = asyncio.get_running_loop().call_soon(self._take_turn)
        return True

    def close(self) -> None:
        """Drop what waits."""
        self._waiting.clear()
        if self._turn is not None:
            self._turn.cancel()

    def _take_turn(self) -> None:
        self._turn = None
        try:
            for _ in range(min(_TURN_COUNT, len(self._waiting))):
                self._handle(*self._waiting.popleft())
        finally:
            # Also after an exception, or what waits would stay for ever.
            if self._waiting and self._turn is None:
                loop = asyncio.get_running_loop()
                self._turn = loop.call_soon(self._take_turn)
