"""Spread of the platform's list of leaving hosts between daemons."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import HostName


@dataclass(frozen=True, slots=True)
class LeavingHosts:
    """Hosts that the platform lists as leaving.

    Attributes
    ----------
    sequence : int
        One more than the highest sequence that the watcher knew; 0 if no
        list is known.
    watcher : str
        Daemon that read the list; orders lists of the same sequence.
    """

    sequence: int
    watcher: HostName
    hosts: tuple[HostName, ...] = ()


@dataclass(frozen=True, slots=True)
class LeavingHostsRequest:
    """Asks for the list unless the receiver has the same or an older one."""

    sequence: int
    watcher: HostName
