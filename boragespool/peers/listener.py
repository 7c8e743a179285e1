"""The receiving side of the links of one daemon."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
from typing import TYPE_CHECKING, Final, Self

import pynng

from boragespool.events import Event, log_event
from boragespool.peers.frames import decode_frame
from boragespool.results import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.peers.frames import Frame
    from boragespool.types import Address, Seconds

#: Other callbacks of the loop run between two series of this many frames.
_FRAMES_AT_ONCE: Final = 16
#: A Pull0 socket holds one frame for each peer and fetches the next one in a
#: thread. With turns of the loop longer than this, one frame per turn leaves
#: control messages behind all earlier frames, so the next one is awaited.
_LONG_TURN_S: Final = 0.002
_NEXT_FRAME_S: Final = 0.0002


class FrameListener:
    """Owns the Pull0 socket, a context manager.

    The loop watches the descriptor that pynng makes readable when a frame
    has arrived. An awaited receive costs a callback from a thread of pynng
    for each frame, and its cancellation can be lost.

    Parameters
    ----------
    address : str
        ``ip:port`` on which peers reach this daemon.
    on_frame : callable
        Called with each frame of this version.
    """

    def __init__(
        self,
        address: Address,
        on_frame: Callable[[Frame], None],
    ) -> None:
        """Keep the settings; `__enter__` listens."""
        self._address = address
        self._on_frame = on_frame
        self._stack = contextlib.ExitStack()
        self._turn_s: Seconds = 0

    def __enter__(self) -> Self:
        """Listen.

        Raises
        ------
        pynng.NNGException
            If the address is in use or is not local.
        """
        self._socket = pynng.Pull0(recv_buffer_size=256)
        self._stack.callback(self._socket.close)
        self._socket.listen(f'tcp://{self._address}')
        loop = asyncio.get_running_loop()
        descriptor = self._socket.recv_fd
        loop.add_reader(descriptor, self._receive)
        self._stack.callback(loop.remove_reader, descriptor)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the socket."""
        self._stack.close()

    def _receive(self) -> None:
        """Receive the frames that are there, at most a bounded number."""
        for _ in range(_FRAMES_AT_ONCE):
            try:
                received = self._socket.recv(block=False)
            except pynng.NNGException:
                break
            self._decode(received)
            if self._turn_s > _LONG_TURN_S:
                descriptor = self._socket.recv_fd
                select.select((descriptor,), (), (), _NEXT_FRAME_S)
        loop = asyncio.get_running_loop()
        loop.call_soon(self._note_turn, loop.time())

    def _note_turn(self, began_s: Seconds) -> None:
        """Measure how long the callbacks of one turn of the loop take."""
        self._turn_s = asyncio.get_running_loop().time() - began_s

    def _decode(self, received: bytes) -> None:
        frame = decode_frame(received)
        if isinstance(frame, Failure):
            log_event(
                Event.PEER_FRAME_REJECTED,
                frame.reason,
                level=logging.WARNING,
                code=int(frame.code),
            )
        else:
            self._on_frame(frame)
