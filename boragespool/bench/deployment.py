"""Complete deployment in one process, connected by real sockets.

Used by the demo and by benchmarks with few daemons.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, Self

import msgspec

from boragespool.bench.placement import (
    deployment_settings,
    place_daemons,
    place_servers,
)
from boragespool.bench.ports import free_address
from boragespool.blackboard.topics import MEMBERS, PHASE, SERVERS
from boragespool.client import Client, ClientOptions
from boragespool.daemon.entry import EntryDaemon
from boragespool.daemon.options import EntryOptions
from boragespool.revisions import RevisionDocument
from boragespool.standins.backend_server_group import BackendServerGroup
from boragespool.standins.platform import Platform
from boragespool.store import StoreClient
from boragespool.types import MemberStatus, Phase

if TYPE_CHECKING:
    from boragespool.bench.shapes import DeploymentShape
    from boragespool.settings import Settings
    from boragespool.types import Address

_POLL_INTERVAL_S: Final = 0.05
_START_TIMEOUT_S: Final = 30
_STORE_TIMEOUT_S: Final = 2


@dataclass(slots=True)
class Deployment:
    """Stand-in platform, backend servers and daemons.

    An async context manager that starts and stops them together.

    Parameters
    ----------
    shape : DeploymentShape
        Numbers of daemons and servers, services and data centres.

    Attributes
    ----------
    entries : list of EntryDaemon
        Running daemons.
    platform : Platform
        Stand-in platform, which holds the store.
    backends : BackendServerGroup
        Stand-in backend servers.
    settings : Settings
        Settings of the first revision.
    """

    shape: DeploymentShape
    entries: list[EntryDaemon] = field(default_factory=list)
    _stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    platform: Platform = field(init=False)
    backends: BackendServerGroup = field(init=False)
    settings: Settings = field(init=False)

    async def __aenter__(self) -> Self:
        """Start all parts and wait until every daemon can serve."""
        async with AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all parts in the reverse order of their start."""
        await self._stack.aclose()

    def client(self, caller: str) -> Client:
        """Return a client with the addresses of all daemons."""
        addresses = tuple(entry.http.address for entry in self.entries)
        return Client(ClientOptions(caller, addresses))

    async def apply(self, settings: Settings, revision: int) -> None:
        """Write a revision of the settings to the platform's store.

        Raises
        ------
        RuntimeError
            If the store rejects the write.
        """
        document = RevisionDocument(revision, f'change-{revision}', settings)
        async with StoreClient(
            self.platform.address, _STORE_TIMEOUT_S
        ) as store:
            written = await store.put(
                'config/current',
                msgspec.json.encode(document).decode(),
                revision - 1,
            )
        if written != revision:
            raise RuntimeError(f'store rejected the revision: {written!r}')

    async def _start(self, stack: AsyncExitStack) -> None:
        self.platform = await stack.enter_async_context(Platform())
        placed = place_servers(self.shape)
        self.backends = await stack.enter_async_context(
            BackendServerGroup(server.spec for server in placed),
        )
        addresses = {
            name: server.address
            for name, server in self.backends.servers_by_name.items()
        }
        self.settings = deployment_settings(self.shape, placed, addresses)
        await self.apply(self.settings, 1)
        for options in _entry_options(self.shape, self.platform.address):
            entry = await stack.enter_async_context(EntryDaemon(options))
            self.entries.append(entry)
        await self._wait_until_ready(len(placed))

    async def _wait_until_ready(self, server_count: int) -> None:
        """Wait until all daemons are ready and know all peers and servers."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not all(
                _is_ready(entry, len(self.entries), server_count)
                for entry in self.entries
            ):
                await asyncio.sleep(_POLL_INTERVAL_S)


def _is_ready(entry: EntryDaemon, entry_count: int, server_count: int) -> bool:
    board = entry.context.board
    alive = [
        member
        for member in board.read(MEMBERS).values()
        if member.status is MemberStatus.ALIVE
    ]
    return (
        board.read(PHASE) is Phase.READY
        and len(alive) == entry_count
        and len(board.read(SERVERS)) == server_count
    )


def _entry_options(
    shape: DeploymentShape,
    platform_address: Address,
) -> tuple[EntryOptions, ...]:
    placed = place_daemons(shape)
    peers = tuple((entry.host, free_address()) for entry in placed)
    return tuple(
        EntryOptions(
            host=entry.host,
            data_centre=entry.data_centre,
            region=entry.data_centre,
            caller_address=free_address(),
            peer_address=peer_address,
            platform_address=platform_address,
            peers=peers,
        )
        for entry, (_, peer_address) in zip(placed, peers, strict=True)
    )
