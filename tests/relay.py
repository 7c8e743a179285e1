"""TCP relay whose connections can be reset or lose all their data."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Self


class Relay:
    """Forwards connections on a loopback port to one address.

    An async context manager; leaving it resets all connections.

    Attributes
    ----------
    address : str
        Address on which it listens.
    accepted_count : int
        Number of connections accepted so far.
    refuses : bool
        Whether new connections are reset.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.accepted_count = 0
        self.refuses = False
        self._silent: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            0,
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()
        self.cut()

    def silence(self) -> None:
        """Drop all further bytes of the open connections; keep them open."""
        self._silent |= self._writers

    def cut(self) -> None:
        """Reset the open connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.accepted_count += 1
        host, port = self.target.split(':')
        if self.refuses:
            writer.transport.abort()
            return
        try:
            target_streams = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_streams[1]}
        await asyncio.gather(
            self.forward(reader, target_streams[1]),
            self._pump(target_streams[0], writer),
        )

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward what the connecting side sends."""
        await self._pump(reader, writer)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while received := await reader.read(65_536):
                if writer not in self._silent:
                    writer.write(received)
                    await writer.drain()
        self._writers.discard(writer)
        writer.close()
