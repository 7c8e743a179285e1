"""Which backend servers of a service may get new work."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.types import ServerState

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from boragespool.messages import Holding, ServerRecord
    from boragespool.settings import ServiceSettings
    from boragespool.types import HostName, ServerName

_CLOSED_STATES: Final = frozenset((ServerState.DRAINING, ServerState.LOST))


def eligible_holdings(
    service: ServiceSettings,
    records_by_server: Mapping[ServerName, ServerRecord],
    leaving_hosts: Collection[HostName],
) -> dict[ServerName, tuple[Holding, ...]]:
    """Return the holdings of the servers that may get new work.

    Parameters
    ----------
    service : ServiceSettings
        Servers that are configured; one that is not listed or is drained by
        the operator gets no work.
    records_by_server : mapping of str to ServerRecord
        State as dispatchers announced it; draining and lost servers get no
        work.
    leaving_hosts : collection of str
        Hosts that leave according to the platform.

    Returns
    -------
    dict of str to tuple of Holding
        By server name.
    """
    holdings: dict[ServerName, tuple[Holding, ...]] = {}
    for server, configured in service.servers.items():
        record = records_by_server.get(server)
        if configured.drained or configured.host in leaving_hosts:
            continue
        if record is not None and record.state not in _CLOSED_STATES:
            holdings[server] = record.holdings
    return holdings
