"""What every controller of one daemon is given."""

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
    """Who a daemon is, from its settings.

    Attributes
    ----------
    incarnation : int
        Wall time at process start in milliseconds.
    peer_address, caller_address : str
        ``ip:port`` for peers and for callers.
    """

    host: HostName
    incarnation: Incarnation
    data_centre: DataCentre
    region: Region
    peer_address: Address
    caller_address: Address


@dataclass(frozen=True, slots=True)
class Context:
    """Shared parts of one daemon.

    Attributes
    ----------
    draw : callable
        Returns a random number in ``[0, 1)``.
    """

    identity: Identity
    board: Blackboard
    timers: TimerService
    peers: PeerNetwork
    draw: Callable[[], float]
