"""Choice of the backend servers to which a daemon keeps idle connections.

Answers the load of a daemon that sends few requests to many servers. A hedge
or a retry goes to a server in another region, whose last connection has
expired. Opening one takes a round trip between regions, which is most of the
target latency of an urgent query.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.types import Seconds, ServerName

#: Remaining lifetime of an idle connection below which another is opened, in
#: seconds. It is above the interval of the checks.
_MIN_LIFETIME_S: Final = 1.2


@dataclass(frozen=True, slots=True)
class IdleState:
    """Idle connections to one backend server.

    Attributes
    ----------
    idle_until_s : float
        Time at which the last idle connection expires, in seconds on the clock
        of the timer service; ``-inf`` if there is none.
    may_connect : bool
        Whether another connection may be opened: the limit allows it, none is
        being opened, and the server is not suspected to be lost.
    """

    server: ServerName
    idle_until_s: Seconds
    may_connect: bool


def servers_to_warm(
    states: Iterable[IdleState], now_s: Seconds, max_count: int
) -> tuple[ServerName, ...]:
    """Return the servers to which an idle connection is to be opened.

    Parameters
    ----------
    states : iterable of IdleState
        Servers that the next request may be sent to.
    now_s : float
        Present time on the clock of the timer service.
    max_count : int
        Maximum number of servers. Those without a connection come first.
    """
    expiring = sorted(
        (state.idle_until_s, state.server)
        for state in states
        if state.may_connect and state.idle_until_s - now_s < _MIN_LIFETIME_S
    )
    return tuple(server for _, server in expiring[:max_count])
