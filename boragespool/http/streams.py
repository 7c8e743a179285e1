"""Stream that tells at once when its peer is gone."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class CallerStream(asyncio.StreamReader):
    """Reader that reports the end of the stream without being read.

    Bytes of a next request stay in the buffer meanwhile.

    Attributes
    ----------
    on_peer_close : callable or None
        Called once when the peer closes or resets the connection.
    ended : bool
        Whether it has done so.
    """

    def __init__(self) -> None:
        """Start with an open stream."""
        super().__init__()
        self.on_peer_close: Callable[[], object] | None = None
        self.peer_closed = False

    def feed_eof(self) -> None:
        """Note the end of the stream."""
        super().feed_eof()
        self._end()

    def set_exception(self, exc: Exception) -> None:
        """Note the loss of the connection."""
        super().set_exception(exc)
        self._end()

    def _end(self) -> None:
        self.peer_closed = True
        callback = self.on_peer_close
        self.on_peer_close = None
        if callback is not None:
            callback()
