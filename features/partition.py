"""Simulates a network partition between two groups of daemons."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Self

from boragespool.peers.frames import Frame, decode_frame
from features.relays import RelayThread
from tests.processes import free_address
from tests.relay import Relay

#: TCP mapping of the scalability protocols (SP), which pynng uses: both ends
#: send a header of 8 bytes, and each message follows its length in 8 bytes.
_HEADER_SIZE_BYTES = 8


class _PeerRelay(Relay):
    """Forwards frames to one daemon; drops those from across the partition."""

    def __init__(self, target, is_cut_off) -> None:
        super().__init__(target)
        self._is_cut_off = is_cut_off

    async def forward(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            writer.write(await reader.readexactly(_HEADER_SIZE_BYTES))
            while True:
                header = await reader.readexactly(_HEADER_SIZE_BYTES)
                body = await reader.readexactly(int.from_bytes(header, 'big'))
                frame = decode_frame(body)
                assert isinstance(frame, Frame), frame
                if not self._is_cut_off(frame.sender):
                    writer.write(header + body)
                    await writer.drain()
        self._writers.discard(writer)
        writer.close()


class Partition:
    """Relays in front of all daemons, a context manager.

    A cut silently drops every frame between a daemon of `far_hosts` and any
    other daemon while the connections stay open. It also resets the
    connections of `far_hosts` to the platform and refuses new ones.

    Parameters
    ----------
    far_hosts : str
        Hosts of the group without the platform, one character each.
    """

    def __init__(self, far_hosts: str) -> None:
        self.is_cut = False
        self._far_hosts = frozenset(far_hosts)
        self._relays = RelayThread()
        self._platform: Relay | None = None

    def __enter__(self) -> Self:
        self._relays.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._relays.__exit__()

    def platform_address_for(self, host: str, platform: str) -> str:
        """Return the address at which a daemon reaches the platform."""
        if host not in self._far_hosts:
            return platform
        if self._platform is None:
            self._platform = Relay(platform)
            self._relays.add(self._platform)
        return self._platform.address

    def add_peer_relay(self, host: str) -> dict[str, str]:
        """Start a relay for a daemon; return the daemon's start options."""

        def is_cut_off(sender: str) -> bool:
            apart = (sender in self._far_hosts) != (host in self._far_hosts)
            return self.is_cut and apart

        listen_address = free_address('127.0.0.1')
        published = self._relays.add(_PeerRelay(listen_address, is_cut_off))
        return {
            'module': 'features.relayed_entry',
            'peer_address': published,
            'PEER_LISTEN_ADDRESS': listen_address,
        }

    def cut(self) -> None:
        """Start the partition."""
        self.is_cut = True
        if self._platform is not None:
            self._platform.refuses = True
            self._relays.cut(self._platform)

    def heal(self) -> None:
        """End the partition."""
        if self._platform is not None:
            self._platform.refuses = False
        self.is_cut = False
