"""Receiving side of the links of one daemon."""

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

#: Bounds the time for which other callbacks of the event loop wait.
_FRAMES_PER_ITERATION: Final = 16
#: Duration of an event loop iteration above which the listener waits for the
#: next frame. A Pull0 socket holds one received frame for each peer, and a
#: pynng thread fetches the next one. If only that frame were read in each long
#: iteration, control messages would be delayed by all earlier frames.
_LONG_ITERATION_S: Final = 0.002
_NEXT_FRAME_WAIT_S: Final = 0.0002


class FrameListener:
    """Receives frames on a Pull0 socket, a context manager.

    The event loop watches the file descriptor that pynng makes readable when
    a frame has arrived. `pynng.Socket.arecv` would cost a callback from a
    pynng thread for each frame, and its cancellation can be lost.

    Parameters
    ----------
    address : str
        ``ip:port`` on which peers reach this daemon.
    on_frame : callable
        Called with each valid frame; others are logged and dropped.
    """

    def __init__(
        self,
        address: Address,
        on_frame: Callable[[Frame], None],
    ) -> None:
        """Create a listener without a socket; `__enter__` listens."""
        self._address = address
        self._on_frame = on_frame
        self._stack = contextlib.ExitStack()
        self._loop_iteration_s: Seconds = 0

    def __enter__(self) -> Self:
        """Open the socket and listen.

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
        """Receive at most `_FRAMES_PER_ITERATION` frames.

        After a long iteration of the event loop, it blocks for up to
        `_NEXT_FRAME_WAIT_S` to wait for each next frame.
        """
        for _ in range(_FRAMES_PER_ITERATION):
            try:
                received = self._socket.recv(block=False)
            except pynng.NNGException:
                break
            self._handle_frame(received)
            if self._loop_iteration_s > _LONG_ITERATION_S:
                descriptor = self._socket.recv_fd
                select.select((descriptor,), (), (), _NEXT_FRAME_WAIT_S)
        loop = asyncio.get_running_loop()
        loop.call_soon(self._measure_iteration, loop.time())

    def _measure_iteration(self, started_at_s: Seconds) -> None:
        """Measure how long the callbacks of one event loop iteration take."""
        self._loop_iteration_s = (
            asyncio.get_running_loop().time() - started_at_s
        )

    def _handle_frame(self, received: bytes) -> None:
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
