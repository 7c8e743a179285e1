"""Polling until a revision is in force at every live daemon."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.cli.daemon_client import Reply, request_daemon
from boragespool.cli.fleet_status import revision_by_live_host

if TYPE_CHECKING:
    from boragespool.types import Address, HostName, Revision, Seconds

_POLL_INTERVAL_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class WaitResult:
    """Revisions of the daemons at the end of the wait.

    Attributes
    ----------
    revision : int
        Revision that was waited for.
    in_force, lagging : tuple of str
        Hosts of the live daemons with the revision, or a higher one, in
        force, and of those with a lower one.
    """

    revision: Revision
    in_force: tuple[HostName, ...]
    lagging: tuple[HostName, ...]

    @property
    def is_done(self) -> bool:
        """Whether there is a live daemon and all of them have the revision."""
        return bool(self.in_force) and not self.lagging

    @property
    def summary(self) -> str:
        """Sentence for operators."""
        if not self.in_force and not self.lagging:
            return 'no daemon answered; --entry takes one or more ip:port'
        summary = (
            f'revision {self.revision} is in force at {len(self.in_force)} '
            'live daemons'
        )
        if self.lagging:
            names = ', '.join(self.lagging)
            return f'{summary}, but not at: {names}'
        return summary


async def wait_in_force(
    revision: Revision,
    addresses: tuple[Address, ...],
    wait_s: Seconds,
    timeout_s: Seconds,
) -> WaitResult:
    """Poll daemons until a revision is in force at all live ones.

    Parameters
    ----------
    revision : int
        Revision to wait for; a higher one in force counts as well.
    addresses : tuple of str
        ``ip:port`` of daemons; each reports itself and the other members.
    wait_s : float
        Longest wait, in seconds.
    timeout_s : float
        Timeout of one request, in seconds.

    Returns
    -------
    WaitResult
        Result of the last poll.
    """
    loop = asyncio.get_running_loop()
    wait_until_s = loop.time() + wait_s
    while True:
        wait_result = await _poll_daemons(revision, addresses, timeout_s)
        if wait_result.is_done or loop.time() >= wait_until_s:
            return wait_result
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _poll_daemons(
    revision: Revision,
    addresses: tuple[Address, ...],
    timeout_s: Seconds,
) -> WaitResult:
    replies = await asyncio.gather(
        *(
            request_daemon(address, '/v1/status', timeout_s)
            for address in addresses
        ),
    )
    revisions = revision_by_live_host(
        reply.body for reply in replies if isinstance(reply, Reply)
    )
    return WaitResult(
        revision,
        tuple(
            sorted(
                host
                for host, in_force_revision in revisions.items()
                if in_force_revision >= revision
            )
        ),
        tuple(
            sorted(
                host
                for host, in_force_revision in revisions.items()
                if in_force_revision < revision
            )
        ),
    )
