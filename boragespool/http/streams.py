"""Stream reader that reports at once when its peer closes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class CallerStream(asyncio.StreamReader):
    """Stream reader that reports the end of the stream without a read.

    Bytes that were received before, such as a pipelined request, stay in the
    buffer.

    Attributes
    ----------
    on_peer_close : callable or None
        Callback for when the peer closes or resets the connection; called at
        most once.
    peer_closed : bool
        Whether the peer has closed or reset the connection.
    """

    def __init__(self) -> None:
        """Create a reader of an open stream."""
        super().__init__()
        self.on_peer_close: Callable[[], object] | None = None
        self.peer_closed = False

    def feed_eof(self) -> None:
        """Report that the peer closed the stream."""
        super().feed_eof()
        self._set_peer_closed()

    def set_exception(self, exc: Exception) -> None:
        """Report that the connection was lost."""
        super().set_exception(exc)
        self._set_peer_closed()

    def _set_peer_closed(self) -> None:
        self.peer_closed = True
        callback = self.on_peer_close
        self.on_peer_close = None
        if callback is not None:
            callback()
