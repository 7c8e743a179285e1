"""Seed addresses for joining the membership.

They come from the ``peers`` setting and from the platform's host list.
"""

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

#: Mean interval between two reads of the host list, in seconds. A daemon that
#: knows no live peer reads every second instead. With 7,000 daemons, this
#: makes 12 reads per second in total; the load target of the store leaves
#: room for 1,000.
_READ_INTERVAL_S: Final = 600.0
_MEMBER_CHECK_INTERVAL_S: Final = 1.0


class Seeds:
    """Peer addresses of seeds by host, an async context manager.

    A background task reads the host list while the context is entered.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    store : StoreClient
        Source of the host list.
    peers : mapping of str to str
        Configured peer addresses by host, which are always seeds.
    first_read_window_s : float
        The first read is delayed by a random part of this time, in seconds,
        so that daemons that start together do not all read at the same time.
    """

    def __init__(
        self,
        context: Context,
        store: StoreClient,
        peers: Mapping[HostName, Address],
        first_read_window_s: Seconds = 0,
    ) -> None:
        """Keep the configured seeds; `__aenter__` starts reading."""
        self._first_read_window_s = first_read_window_s
        self._context = context
        self._store = store
        self._configured_addresses_by_host = peers
        self._listed_addresses_by_host: dict[HostName, Address] = {}
        self._tasks = TaskSet()

    def __call__(self) -> dict[HostName, Address]:
        """Return the peer addresses of all seeds by host.

        The configured address of a host takes precedence over the listed one.
        """
        return {
            **self._listed_addresses_by_host,
            **self._configured_addresses_by_host,
        }

    async def __aenter__(self) -> Self:
        """Start to read the host list in the background."""
        self._tasks.spawn(self._poll_host_list())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop reading."""
        await self._tasks.close()

    async def _poll_host_list(self) -> None:
        await asyncio.sleep(self._context.draw() * self._first_read_window_s)
        while True:
            await self._read_host_list()
            # Jitter spreads the reads of daemons that started together.
            wait_s = _READ_INTERVAL_S * (0.5 + self._context.draw())
            while wait_s > 0:
                await asyncio.sleep(_MEMBER_CHECK_INTERVAL_S)
                wait_s -= _MEMBER_CHECK_INTERVAL_S
                if self._has_no_live_peer():
                    break

    async def _read_host_list(self) -> None:
        entries = await self._store.hosts()
        if isinstance(entries, Failure):
            return
        self._listed_addresses_by_host = {
            entry.host: entry.address for entry in entries if entry.address
        }

    def _has_no_live_peer(self) -> bool:
        return not any(
            member.status != MemberStatus.DEAD
            and member.host != self._context.identity.host
            for member in self._context.board.read(MEMBERS).values()
        )
