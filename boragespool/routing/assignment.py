"""Dispatchers of all backend servers, kept up to date step by step.

A full computation hashes every server with every candidate. A join compares
one hash per server, and a leave hashes only the servers of the host that
left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from boragespool.routing.rendezvous import host_weight

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.types import DataCentre, HostName, ServerName

#: Whether the host is in the server's data centre, its weight, and the host.
_Claim: TypeAlias = tuple[bool, int, 'HostName']


class DispatcherAssignment:
    """Dispatcher of each backend server, the same as `dispatcher_of`."""

    def __init__(self) -> None:
        """Start without servers and candidates."""
        self._site_by_server: dict[ServerName, DataCentre] = {}
        self._site_by_host: dict[HostName, DataCentre] = {}
        self._best_by_server: dict[ServerName, _Claim] = {}

    @property
    def server_count(self) -> int:
        """Servers that are known."""
        return len(self._site_by_server)

    def dispatcher(self, server: ServerName) -> HostName | None:
        """Return the dispatcher of a server; None without a candidate."""
        best = self._best_by_server.get(server)
        return best[2] if best else None

    def __contains__(self, server: ServerName) -> bool:
        """Return whether a server is known."""
        return server in self._site_by_server

    def set_servers(
        self, site_by_server: Mapping[ServerName, DataCentre]
    ) -> None:
        """Replace the servers; only new or moved ones are computed."""
        for gone in self._site_by_server.keys() - site_by_server.keys():
            self._best_by_server.pop(gone, None)
        changed = [
            server
            for server, site in site_by_server.items()
            if self._site_by_server.get(server) != site
        ]
        self._site_by_server = dict(site_by_server)
        for server in changed:
            self._compute(server)

    def set_candidates(
        self,
        site_by_host: Mapping[HostName, DataCentre],
    ) -> None:
        """Replace the candidates; moves as few servers as possible."""
        changed = site_by_host.items() ^ self._site_by_host.items()
        joined = site_by_host.items() - self._site_by_host.items()
        hosts = {host for host, _ in changed}
        self._site_by_host = dict(site_by_host)
        for server, best in tuple(self._best_by_server.items()):
            if best[2] in hosts:
                self._compute(server)
        for host, site in joined:
            self._join(host, site)

    def _join(self, host: HostName, site: DataCentre) -> None:
        """Give a host the servers for which its weight is the highest."""
        for server, server_site in self._site_by_server.items():
            claim = (site == server_site, host_weight(server, host), host)
            best = self._best_by_server.get(server)
            if best is None or claim > best:
                self._best_by_server[server] = claim

    def _compute(self, server: ServerName) -> None:
        """Compare all candidates for one server."""
        server_site = self._site_by_server[server]
        claims = (
            (site == server_site, host_weight(server, host), host)
            for host, site in self._site_by_host.items()
        )
        best = max(claims, default=None)
        if best is None:
            self._best_by_server.pop(server, None)
        else:
            self._best_by_server[server] = best
