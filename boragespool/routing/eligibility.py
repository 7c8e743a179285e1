"""Selection of the backend servers of a service that may get new work."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.types import ServerState

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from boragespool.messages import Holding, ServerRecord
    from boragespool.settings import ServiceSettings
    from boragespool.types import HostName, ServerName

_OUT_OF_SERVICE: Final = frozenset((ServerState.DRAINING, ServerState.LOST))


def eligible_holdings(
    service: ServiceSettings,
    records_by_server: Mapping[ServerName, ServerRecord],
    leaving_hosts: Collection[HostName],
) -> dict[ServerName, tuple[Holding, ...]]:
    """Return what the servers that may get new work hold.

    A holding is an index version with the key ranges that a server has of it.

    Parameters
    ----------
    service : ServiceSettings
        Settings of the service. A server that is not listed, or that the
        operator drained, gets no work.
    records_by_server : mapping of str to ServerRecord
        Records that dispatchers announced. A server without a record, or that
        is draining or lost, gets no work.
    leaving_hosts : collection of str
        Hosts that the platform reports as leaving; their servers get no work.

    Returns
    -------
    dict of str to tuple of Holding
        Holdings by server name.
    """
    holdings: dict[ServerName, tuple[Holding, ...]] = {}
    for server, configured in service.servers.items():
        record = records_by_server.get(server)
        if configured.drained or configured.host in leaving_hosts:
            continue
        if record is not None and record.state not in _OUT_OF_SERVICE:
            holdings[server] = record.holdings
    return holdings
