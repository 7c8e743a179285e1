"""Loopback TCP proxy that injects delays, resets and lost bytes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards connections to one address; `mode` may change at any time.

    Modes: ``pass``, ``delay`` (50 to 200 ms for each chunk), ``reset`` (open
    and new connections are reset), ``to_target`` and ``to_caller`` (bytes in
    that direction are dropped), ``silent`` (bytes in both are dropped).

    Parameters
    ----------
    target : str
        Address to which connections are forwarded.
    draw : callable
        Returns a random number from 0 to 1, for the length of a delay.
    """

    def __init__(self, target, draw):
        self.target = target
        self.mode = 'pass'
        self._draw = draw
        self._writers = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._relay, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        self.reset()

    def set_mode(self, mode):
        """Change the mode; reset the connections that may have lost bytes."""
        if mode == 'reset':
            self.reset()
        if self.mode in {'to_target', 'to_caller', 'silent'}:
            self.reset()
        self.mode = mode

    def reset(self):
        """Reset every open connection."""
        for writer in tuple(self._writers):
            _reset(writer)

    async def _relay(self, reader, writer):
        if self.mode == 'reset':
            _reset(writer)
            return
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        writers = {writer, target_writer}
        self._writers |= writers
        await asyncio.gather(
            self._pump(reader, target_writer, 'to_target'),
            self._pump(target_reader, writer, 'to_caller'),
        )
        self._writers -= writers

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
