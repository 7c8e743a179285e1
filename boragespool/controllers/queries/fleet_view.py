"""Query plans and dispatchers, cached until their inputs change."""

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


_DISPATCHING_STATUSES: Final = frozenset(
    (MemberStatus.ALIVE, MemberStatus.SUSPECT)
)


@dataclass(frozen=True, slots=True)
class _CachedCatalogue:
    inputs: tuple[object, ...]
    holdings: dict[ServerName, tuple[Holding, ...]]
    catalogue: Catalogue


class FleetView:
    """Caches the catalogue of each service and the dispatcher of each server.

    Server records change far more often than holdings and membership do.
    Cached results are therefore kept until the holdings or the members that
    they were computed from change.

    Parameters
    ----------
    board : Blackboard
        Source of the server records, members and leaving hosts.
    """

    def __init__(self, board: Blackboard) -> None:
        """Set up empty caches."""
        self._board = board
        self._cached_by_service: dict[ServiceName, _CachedCatalogue] = {}
        self._members: Mapping[HostName, MemberRecord] = {}
        self._data_centre_by_candidate: dict[HostName, DataCentre] = {}
        self._host_by_server: dict[ServerName, HostName] = {}
        self._data_centre_by_server: dict[ServerName, DataCentre] = {}

    def catalogue(
        self,
        service_name: ServiceName,
        service: ServiceSettings,
    ) -> Catalogue:
        """Return the plans over the servers that may get new work.

        Parameters
        ----------
        service_name : str
            Name of the service.
        service : ServiceSettings
            Settings of the service.

        Returns
        -------
        Catalogue
            The cached object if the eligible holdings are unchanged.
        """
        servers = self._board.read(SERVERS)
        leaving = self._board.read(LEAVING_HOSTS)
        inputs = (service, servers, leaving)
        cached = self._cached_by_service.get(service_name)
        if cached is not None and _are_all_identical(cached.inputs, inputs):
            return cached.catalogue
        holdings = eligible_holdings(service, servers, leaving)
        if cached is not None and cached.holdings == holdings:
            catalogue = cached.catalogue
        else:
            catalogue = build_catalogue(holdings)
        self._cached_by_service[service_name] = _CachedCatalogue(
            inputs, holdings, catalogue
        )
        return catalogue

    def dispatcher(self, server: ServerName) -> HostName | None:
        """Return the host that dispatches to a server, or None."""
        self._drop_outdated_dispatchers()
        cached_host = self._host_by_server.get(server)
        record = self._board.read(SERVERS).get(server)
        if cached_host is not None or record is None:
            return cached_host
        host = dispatcher_of(server, record.data_centre, self._members)
        if host is not None:
            self._host_by_server[server] = host
            self._data_centre_by_server[server] = record.data_centre
        return host

    def _drop_outdated_dispatchers(self) -> None:
        """Drop cached dispatchers that a membership change may have replaced.

        A host that leaves affects only its own servers. A host that joins can
        take over the servers of its data centre, and servers that are
        dispatched from another data centre.
        """
        members = self._board.read(MEMBERS)
        if members is self._members:
            return
        previous = self._data_centre_by_candidate
        self._members = members
        self._data_centre_by_candidate = {
            member.host: member.data_centre
            for member in members.values()
            if member.status in _DISPATCHING_STATUSES
        }
        changed = self._data_centre_by_candidate.items() ^ previous.items()
        if not changed:
            return
        changed_hosts = {host for host, _ in changed}
        gained_data_centres = {
            data_centre
            for _, data_centre in self._data_centre_by_candidate.items()
            - previous.items()
        }
        for server, host in tuple(self._host_by_server.items()):
            data_centre = self._data_centre_by_server[server]
            is_dispatched_remotely = (
                bool(gained_data_centres) and previous.get(host) != data_centre
            )
            if (
                host in changed_hosts
                or data_centre in gained_data_centres
                or is_dispatched_remotely
            ):
                del self._host_by_server[server]


def _are_all_identical(
    first: tuple[object, ...], second: tuple[object, ...]
) -> bool:
    return all(one is two for one, two in zip(first, second, strict=True))
