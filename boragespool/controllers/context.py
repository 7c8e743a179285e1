"""Objects that all controllers of one daemon share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.blackboard import Blackboard
    from boragespool.peers import PeerNetwork
    from boragespool.timers import TimerService
    from boragespool.types import (
        Address,
        DataCentre,
        HostName,
        Incarnation,
        Region,
    )


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a daemon, from the settings of its process.

    Attributes
    ----------
    host : str
        Name of the host, unique among the daemons.
    incarnation : int
        Wall-clock time at process start, in milliseconds.
    data_centre, region : str
        Location of the host.
    peer_address, caller_address : str
        Addresses for peers and for callers, as ``ip:port``.
    """

    host: HostName
    incarnation: Incarnation
    data_centre: DataCentre
    region: Region
    peer_address: Address
    caller_address: Address


@dataclass(frozen=True, slots=True)
class Context:
    """Objects that each controller of one daemon gets.

    Attributes
    ----------
    identity : Identity
        Name, location and addresses of the daemon.
    board : Blackboard
        Latest value of each topic, which the controllers post and read.
    timers : TimerService
        Clock and timers.
    peers : PeerNetwork
        Links to the other daemons.
    draw : callable
        Returns a random number in ``[0, 1)``.
    """

    identity: Identity
    board: Blackboard
    timers: TimerService
    peers: PeerNetwork
    draw: Callable[[], float]
