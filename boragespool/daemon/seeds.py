"""Daemons to join: the peers option and the platform's host list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, Self

from boragespool.blackboard.topics import MEMBERS
from boragespool.results import Failure
from boragespool.tasks import TaskSet
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.controllers.context import Context
    from boragespool.store import StoreClient
    from boragespool.types import Address, HostName, Seconds

#: Time between two reads of the host list, unless this daemon knows no peer
#: and reads every second. 7,000 daemons then read 12 times per second in total,
#: of the 1,000 reads that the store's goal leaves.
_INTERVAL_S: Final = 600.0
_SLICE_S: Final = 1.0


class Seeds:
    """Peer addresses by host, an async context manager.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    store : StoreClient
        Source of the host list.
    peers : mapping of str to str
        Addresses that are always seeds.
    first_read_window_s : float
        The first read waits for a random part of this time, so that daemons
        that start at the same moment do not read the platform together.
    """

    def __init__(
        self,
        context: Context,
        store: StoreClient,
        peers: Mapping[HostName, Address],
        first_read_window_s: Seconds = 0,
    ) -> None:
        """Start with the peers option."""
        self._first_read_window_s = first_read_window_s
        self._context = context
        self._store = store
        self._peers = peers
        self._listed: dict[HostName, Address] = {}
        self._tasks = TaskSet()

    def __call__(self) -> dict[HostName, Address]:
        """Return all seeds; the peers option takes precedence."""
        return {**self._listed, **self._peers}

    async def __aenter__(self) -> Self:
        """Begin to read the host list."""
        self._tasks.spawn(self._read_always())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop reading."""
        await self._tasks.close()

    async def _read_always(self) -> None:
        await asyncio.sleep(self._context.draw() * self._first_read_window_s)
        while True:
            await self._read()
            # The random factor spreads the reads of daemons that were
            # started at the same time.
            wait_s = _INTERVAL_S * (0.5 + self._context.draw())
            while wait_s > 0:
                await asyncio.sleep(_SLICE_S)
                wait_s -= _SLICE_S
                if self._is_alone():
                    break

    async def _read(self) -> None:
        entries = await self._store.hosts()
        if isinstance(entries, Failure):
            return
        self._listed = {
            entry.host: entry.address for entry in entries if entry.address
        }

    def _is_alone(self) -> bool:
        return not any(
            member.status != MemberStatus.DEAD
            and member.host != self._context.identity.host
            for member in self._context.board.read(MEMBERS).values()
        )
