"""A network that can be cut between two groups of daemons."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Self

from boragespool.peers.frames import Frame, decode_frame
from features.relays import RelayThread
from tests.processes import free_address
from tests.relay import Relay

#: Both ends of a link send 8 bytes first, then each message after its length
#: in 8 bytes: the TCP mapping of the scalability protocols (SP).
_HEADER_SIZE_BYTES = 8


class _PeerRelay(Relay):
    """Relays the frames to one daemon, and drops those from behind the cut."""

    def __init__(self, target, is_cut_off) -> None:
        super().__init__(target)
        self._is_cut_off = is_cut_off

    async def forward(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            writer.write(await reader.readexactly(_HEADER_SIZE_BYTES))
            while True:
                head = await reader.readexactly(_HEADER_SIZE_BYTES)
                body = await reader.readexactly(int.from_bytes(head, 'big'))
                frame = decode_frame(body)
                assert isinstance(frame, Frame), frame
                if not self._is_cut_off(frame.sender):
                    writer.write(head + body)
                    await writer.drain()
        self._writers.discard(writer)
        writer.close()


class Partition:
    """Relays in front of all daemons, a context manager.

    A cut drops every frame between a daemon of `far_hosts` and another one,
    without a sign to either end, and resets the connections of `far_hosts`
    to the platform.
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
        """Return the address under which a daemon reaches the platform."""
        if host not in self._far_hosts:
            return platform
        if self._platform is None:
            self._platform = Relay(platform)
            self._relays.add(self._platform)
        return self._platform.address

    def add_peer_relay(self, host: str) -> dict[str, str]:
        """Return how to start a daemon that others reach through a relay."""

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
        """Separate the groups."""
        self.is_cut = True
        if self._platform is not None:
            self._platform.refuses = True
            self._relays.cut(self._platform)

    def heal(self) -> None:
        """Join the groups again."""
        if self._platform is not None:
            self._platform.refuses = False
        self.is_cut = False
