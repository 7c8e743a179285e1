"""Waiting until a revision is in force at every live daemon."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.cli.entries import Reply, call_entry
from boragespool.cli.fleet_status import revision_by_live_host

if TYPE_CHECKING:
    from boragespool.types import Address, HostName, Revision, Seconds

_INTERVAL_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class Waited:
    """What the daemons showed at the end of the wait.

    Attributes
    ----------
    in_force, lagging : tuple of str
        Live daemons that have, and do not have, the revision in force.
    """

    revision: Revision
    in_force: tuple[HostName, ...]
    lagging: tuple[HostName, ...]

    @property
    def done(self) -> bool:
        """Whether at least one daemon is known and none lags."""
        return bool(self.in_force) and not self.lagging

    @property
    def text(self) -> str:
        """One sentence for operators."""
        if not self.in_force and not self.lagging:
            return 'no daemon answered; --entry takes one or more ip:port'
        text = (
            f'revision {self.revision} is in force at {len(self.in_force)} '
            'live daemons'
        )
        if self.lagging:
            names = ', '.join(self.lagging)
            return f'{text}, but not at: {names}'
        return text


async def wait_in_force(
    revision: Revision,
    entries: tuple[Address, ...],
    wait_s: Seconds,
    timeout_s: Seconds,
) -> Waited:
    """Ask daemons for their status until all live ones have a revision.

    Parameters
    ----------
    revision : int
        A higher revision in force counts as well.
    entries : tuple of str
        ``ip:port`` of daemons; each reports itself and its members.
    wait_s : float
        Longest wait, in seconds.
    timeout_s : float
        Longest time for one call, in seconds.

    Returns
    -------
    Waited
        State at the last look.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + wait_s
    while True:
        waited = await _look(revision, entries, timeout_s)
        if waited.done or loop.time() >= end_s:
            return waited
        await asyncio.sleep(_INTERVAL_S)


async def _look(
    revision: Revision,
    entries: tuple[Address, ...],
    timeout_s: Seconds,
) -> Waited:
    replies = await asyncio.gather(
        *(call_entry(entry, '/v1/status', timeout_s) for entry in entries),
    )
    revisions = revision_by_live_host(
        reply.body for reply in replies if isinstance(reply, Reply)
    )
    return Waited(
        revision,
        tuple(sorted(h for h, held in revisions.items() if held >= revision)),
        tuple(sorted(h for h, held in revisions.items() if held < revision)),
    )
