"""A whole deployment inside one process, over real sockets.

Used by the demo and by measurements of a few daemons.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, Self

import msgspec

from boragespool.bench.placement import (
    deployment_settings,
    free_address,
    place_daemons,
    place_servers,
)
from boragespool.blackboard.topics import MEMBERS, PHASE, SERVERS
from boragespool.client import Client, ClientOptions
from boragespool.daemon.entry import EntryDaemon
from boragespool.daemon.options import EntryOptions
from boragespool.revisions import RevisionDocument
from boragespool.standins.backend_host import BackendHost
from boragespool.standins.platform import Platform
from boragespool.store import StoreClient
from boragespool.types import MemberStatus, Phase

if TYPE_CHECKING:
    from boragespool.bench.shapes import DeploymentShape
    from boragespool.settings import Settings
    from boragespool.types import Address

_POLL_S: Final = 0.05
_START_TIMEOUT_S: Final = 30
_STORE_TIMEOUT_S: Final = 2


@dataclass(slots=True)
class Deployment:
    """Platform, backend servers and daemons, an async context manager.

    Parameters
    ----------
    shape : DeploymentShape
        What to start.
    """

    shape: DeploymentShape
    entries: list[EntryDaemon] = field(default_factory=list)
    _stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    platform: Platform = field(init=False)
    backends: BackendHost = field(init=False)
    settings: Settings = field(init=False)

    async def __aenter__(self) -> Self:
        """Start everything and wait until every daemon can serve."""
        async with AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop everything at once."""
        await self._stack.aclose()

    def client(self, caller: str) -> Client:
        """Return a client that knows all daemons."""
        addresses = tuple(entry.http.address for entry in self.entries)
        return Client(ClientOptions(caller, addresses))

    async def apply(self, settings: Settings, revision: int) -> None:
        """Write a revision to the platform's store.

        Raises
        ------
        RuntimeError
            If the store did not accept it.
        """
        document = RevisionDocument(revision, f'change-{revision}', settings)
        async with StoreClient(self.platform.address, _STORE_TIMEOUT_S) as kv:
            written = await kv.put(
                'config/current',
                msgspec.json.encode(document).decode(),
                revision - 1,
            )
        if written != revision:
            raise RuntimeError(f'store answered {written!r}')

    async def _start(self, stack: AsyncExitStack) -> None:
        self.platform = await stack.enter_async_context(Platform())
        placed = place_servers(self.shape)
        self.backends = await stack.enter_async_context(
            BackendHost(server.spec for server in placed),
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
        await self._until_ready(len(placed))

    async def _until_ready(self, server_count: int) -> None:
        """Wait until all daemons know each other and all servers."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not all(
                _is_ready(entry, len(self.entries), server_count)
                for entry in self.entries
            ):
                await asyncio.sleep(_POLL_S)


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
