"""Loopback TCP proxy that delays, resets, cuts one way or falls silent."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards connections to one address; `mode` may change at any time.

    Modes: ``pass``, ``delay`` (50 to 200 ms for each chunk), ``reset`` (all
    connections at once and new ones), ``to_target`` and ``to_caller`` (bytes
    of one direction vanish), ``silent`` (bytes of both vanish).
    """

    def __init__(self, target, draw):
        self.target = target
        self.mode = 'pass'
        self._draw = draw
        self._writers = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        self.reset()

    def set(self, mode):
        """Change the mode; connections that lost bytes are cut later."""
        if mode == 'reset':
            self.reset()
        if self.mode in {'to_target', 'to_caller', 'silent'}:
            self.reset()
        self.mode = mode

    def reset(self):
        """Reset every open connection."""
        for writer in tuple(self._writers):
            _reset(writer)

    async def _serve(self, reader, writer):
        if self.mode == 'reset':
            _reset(writer)
            return
        host, _, port = self.target.rpartition(':')
        try:
            back_reader, back_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        ends = {writer, back_writer}
        self._writers |= ends
        await asyncio.gather(
            self._pump(reader, back_writer, 'to_target'),
            self._pump(back_reader, writer, 'to_caller'),
        )
        self._writers -= ends

    async def _pump(self, reader, writer, direction):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode == 'delay':
                    await asyncio.sleep(0.05 + 0.15 * self._draw())
                if self.mode not in {direction, 'silent'}:
                    writer.write(chunk)
                    await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


def _reset(writer):
    with contextlib.suppress(OSError, AttributeError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()
