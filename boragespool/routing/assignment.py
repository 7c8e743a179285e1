"""Assignment of a dispatcher to each backend server, updated incrementally.

The dispatcher is the daemon that sends all work to a server; rendezvous hashing
chooses it. A full computation hashes every server with every candidate host.
When a host joins, one hash per server is compared; when a host leaves, only its
servers are hashed again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from boragespool.routing.rendezvous import host_weight

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.types import DataCentre, HostName, ServerName

#: Whether the host is in the server's data centre, the weight of the host, and
#: the host. The highest tuple is the dispatcher.
_Candidate: TypeAlias = tuple[bool, int, 'HostName']


class DispatcherAssignment:
    """Dispatcher of each backend server; gives the same as `dispatcher_of`."""

    def __init__(self) -> None:
        """Set up an assignment without servers and candidate hosts."""
        self._data_centre_by_server: dict[ServerName, DataCentre] = {}
        self._data_centre_by_host: dict[HostName, DataCentre] = {}
        self._best_by_server: dict[ServerName, _Candidate] = {}

    @property
    def server_count(self) -> int:
        """Number of servers."""
        return len(self._data_centre_by_server)

    def dispatcher(self, server: ServerName) -> HostName | None:
        """Return the dispatcher of a server; None without candidate hosts."""
        best = self._best_by_server.get(server)
        return best[2] if best else None

    def __contains__(self, server: ServerName) -> bool:
        """Return whether a server was passed to `set_servers`."""
        return server in self._data_centre_by_server

    def set_servers(
        self, data_centre_by_server: Mapping[ServerName, DataCentre]
    ) -> None:
        """Replace the servers; only new or moved ones are computed."""
        for removed in (
            self._data_centre_by_server.keys() - data_centre_by_server.keys()
        ):
            self._best_by_server.pop(removed, None)
        changed = [
            server
            for server, data_centre in data_centre_by_server.items()
            if self._data_centre_by_server.get(server) != data_centre
        ]
        self._data_centre_by_server = dict(data_centre_by_server)
        for server in changed:
            self._assign(server)

    def set_candidates(
        self,
        data_centre_by_host: Mapping[HostName, DataCentre],
    ) -> None:
        """Replace the candidate hosts; reassigns as few servers as possible."""
        changed = (
            data_centre_by_host.items() ^ self._data_centre_by_host.items()
        )
        joined = data_centre_by_host.items() - self._data_centre_by_host.items()
        changed_hosts = {host for host, _ in changed}
        self._data_centre_by_host = dict(data_centre_by_host)
        for server, best in tuple(self._best_by_server.items()):
            if best[2] in changed_hosts:
                self._assign(server)
        for host, data_centre in joined:
            self._add_candidate(host, data_centre)

    def _add_candidate(self, host: HostName, data_centre: DataCentre) -> None:
        """Assign to a new host the servers for which it is the best one."""
        for server, server_data_centre in self._data_centre_by_server.items():
            candidate = (
                data_centre == server_data_centre,
                host_weight(server, host),
                host,
            )
            best = self._best_by_server.get(server)
            if best is None or candidate > best:
                self._best_by_server[server] = candidate

    def _assign(self, server: ServerName) -> None:
        """Compute the dispatcher of one server from all candidate hosts."""
        server_data_centre = self._data_centre_by_server[server]
        candidates = (
            (data_centre == server_data_centre, host_weight(server, host), host)
            for host, data_centre in self._data_centre_by_host.items()
        )
        best = max(candidates, default=None)
        if best is None:
            self._best_by_server.pop(server, None)
        else:
            self._best_by_server[server] = best
