"""What a merger derives from the blackboard, computed once per change."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import LEAVING_HOSTS, MEMBERS, SERVERS
from boragespool.routing import dispatcher_of, eligible_holdings
from boragespool.snapshots import Catalogue, build_catalogue
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.blackboard import Blackboard
    from boragespool.messages import Holding, MemberRecord
    from boragespool.settings import ServiceSettings
    from boragespool.types import (
        DataCentre,
        HostName,
        ServerName,
        ServiceName,
    )


_DISPATCHING: Final = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


@dataclass(frozen=True, slots=True)
class _Cached:
    sources: tuple[object, ...]
    holdings: dict[ServerName, tuple[Holding, ...]]
    catalogue: Catalogue


class FleetView:
    """Catalogues by service and dispatchers by backend server.

    Records change far more often than holdings and membership do, so both
    are kept until what they depend on differs.
    """

    def __init__(self, board: Blackboard) -> None:
        """Start with nothing computed."""
        self._board = board
        self._cached_by_service: dict[ServiceName, _Cached] = {}
        self._members: Mapping[HostName, MemberRecord] = {}
        self._candidates: dict[HostName, DataCentre] = {}
        self._host_by_server: dict[ServerName, HostName] = {}
        self._site_by_server: dict[ServerName, DataCentre] = {}

    def catalogue(
        self,
        name: ServiceName,
        service: ServiceSettings,
    ) -> Catalogue:
        """Return the plans over the servers that may get new work."""
        servers = self._board.read(SERVERS)
        leaving = self._board.read(LEAVING_HOSTS)
        sources = (service, servers, leaving)
        cached = self._cached_by_service.get(name)
        if cached is not None and _same(cached.sources, sources):
            return cached.catalogue
        holdings = eligible_holdings(service, servers, leaving)
        if cached is not None and cached.holdings == holdings:
            catalogue = cached.catalogue
        else:
            catalogue = build_catalogue(holdings)
        self._cached_by_service[name] = _Cached(sources, holdings, catalogue)
        return catalogue

    def dispatcher(self, server: ServerName) -> HostName | None:
        """Return the daemon that dispatches to a server, if there is one."""
        self._refresh_members()
        known = self._host_by_server.get(server)
        record = self._board.read(SERVERS).get(server)
        if known is not None or record is None:
            return known
        host = dispatcher_of(server, record.data_centre, self._members)
        if host is not None:
            self._host_by_server[server] = host
            self._site_by_server[server] = record.data_centre
        return host

    def _refresh_members(self) -> None:
        """Forget the dispatchers that a change of the candidates can move.

        A host that leaves moves only its own servers. A new host can take
        servers of its data centre, and those that another one serves.
        """
        members = self._board.read(MEMBERS)
        if members is self._members:
            return
        before = self._candidates
        self._members = members
        self._candidates = {
            member.host: member.data_centre
            for member in members.values()
            if member.status in _DISPATCHING
        }
        changed = self._candidates.items() ^ before.items()
        if not changed:
            return
        hosts = {host for host, _ in changed}
        sites = {site for _, site in self._candidates.items() - before.items()}
        for server, host in tuple(self._host_by_server.items()):
            site = self._site_by_server[server]
            remote = bool(sites) and before.get(host) != site
            if host in hosts or site in sites or remote:
                del self._host_by_server[server]


def _same(first: tuple[object, ...], second: tuple[object, ...]) -> bool:
    return all(one is two for one, two in zip(first, second, strict=True))
