"""Messages that distribute the platform's list of leaving hosts."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import HostName


@dataclass(frozen=True, slots=True)
class LeavingHosts:
    """List of the hosts that are leaving, as read from the platform.

    Attributes
    ----------
    sequence : int
        Version of the list: one more than the highest that the watcher knew;
        0 if no list is known.
    watcher : str
        Daemon that read the list; decides between lists of the same sequence.
    """

    sequence: int
    watcher: HostName
    hosts: tuple[HostName, ...] = ()


@dataclass(frozen=True, slots=True)
class LeavingHostsRequest:
    """Request for a list newer than the one that the sender has.

    Attributes
    ----------
    sequence, watcher : int, str
        Version of the sender's list, as in `LeavingHosts`.
    """

    sequence: int
    watcher: HostName
