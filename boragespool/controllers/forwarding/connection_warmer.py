"""Keeps idle connections to the backend servers of queries over shards."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final, Self

from boragespool.blackboard.forwarding_topics import ROUTES, SERVING_HOSTS
from boragespool.forwarding import (
    IdleState,
    caller_hosts_by_data_centre,
    servers_to_warm,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragespool.controllers.forwarding.fleet import ServerFleet
    from boragespool.controllers.forwarding.server import Server
    from boragespool.timers import TimerHandle
    from boragespool.types import Seconds, ServerName

#: Interval of the checks, in seconds, and maximum number of connections that
#: one check opens. More at a time would delay the requests in progress.
_CHECK_INTERVAL_S: Final = 0.2
_MAX_OPENED_COUNT: Final = 6
#: Maximum number of servers to which idle connections are kept.
_MAX_SERVER_COUNT: Final = 500


class ConnectionWarmer:
    """Opens connections before they are needed; a context manager.

    Only a daemon that takes callers keeps idle connections.

    Parameters
    ----------
    fleet : ServerFleet
        Backend servers and the blackboard with routes and daemons.
    """

    def __init__(self, fleet: ServerFleet) -> None:
        """Set up a warmer that opens nothing until it is entered."""
        self._fleet = fleet
        self._timer: TimerHandle | None = None

    def __enter__(self) -> Self:
        """Start the checks."""
        self._timer = self._fleet.timers.every(_CHECK_INTERVAL_S, self._check)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the checks; open connections stay with the fleet."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        if not self._takes_callers():
            return
        now_s = self._fleet.timers.now_s()
        servers_by_name = dict(
            itertools.islice(self._shard_servers(), _MAX_SERVER_COUNT)
        )
        chosen = servers_to_warm(
            (
                _idle_state(name, server, now_s)
                for name, server in servers_by_name.items()
            ),
            now_s,
            _MAX_OPENED_COUNT,
        )
        for name in chosen:
            servers_by_name[name].warm_up(self._fleet.timers.now_s)

    def _takes_callers(self) -> bool:
        records = self._fleet.board.read(SERVING_HOSTS)
        hosts = caller_hosts_by_data_centre(records).get(
            self._fleet.options.data_centre, ()
        )
        return any(record.host == self._fleet.options.host for record in hosts)

    def _shard_servers(self) -> Iterator[tuple[ServerName, Server]]:
        """Yield the servers of all shards of the routes in force."""
        routes = self._fleet.board.read(ROUTES)
        if routes is None:
            return
        shards = dict.fromkeys(
            itertools.chain.from_iterable(
                route.shards for route in routes.configuration.routes
            )
        )
        for shard in shards:
            yield from self._fleet.servers_of(shard).items()


def _idle_state(name: ServerName, server: Server, now_s: Seconds) -> IdleState:
    connections = server.connections
    is_suspect = now_s < server.load.suspect_until_s
    return IdleState(
        name,
        connections.idle_until_s,
        connections.may_warm_up and not is_suspect,
    )
