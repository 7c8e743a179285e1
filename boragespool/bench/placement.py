"""Placement of the servers and daemons of a deployment in data centres."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from boragespool.settings import ServerSettings, ServiceSettings, Settings
from boragespool.standins.backend import BackendSpec
from boragespool.standins.items import shard_range
from boragespool.standins.switches import BackendSwitches

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from boragespool.bench.shapes import DeploymentShape, ServiceShape
    from boragespool.types import (
        Address,
        DataCentre,
        HostName,
        IndexVersion,
        ServerName,
        ServiceName,
    )

FIRST_VERSION: Final[IndexVersion] = 1
_MS_PER_S: Final = 1_000


@dataclass(frozen=True, slots=True)
class PlacedServer:
    """One backend server, its data centre and its place in the service.

    Attributes
    ----------
    shard, replica : int
        Numbers of the shard and of the replica, from 0.
    shards : int
        Number of shards of the service.
    """

    spec: BackendSpec
    data_centre: DataCentre
    shard: int
    shards: int
    replica: int


@dataclass(frozen=True, slots=True)
class PlacedDaemon:
    """One daemon and its data centre."""

    host: HostName
    data_centre: DataCentre


def place_servers(shape: DeploymentShape) -> tuple[PlacedServer, ...]:
    """Distribute the replicas of each shard over the data centres."""
    return tuple(
        _place_server(shape, service, *divmod(number, service.replicas))
        for service in shape.services
        for number in range(service.shards * service.replicas)
    )


def place_daemons(shape: DeploymentShape) -> tuple[PlacedDaemon, ...]:
    """Distribute the daemons over the data centres."""
    data_centres = shape.data_centres
    return tuple(
        PlacedDaemon(
            f'entry-{number + 1}', data_centres[number % len(data_centres)]
        )
        for number in range(shape.daemon_count)
    )


def deployment_settings(
    shape: DeploymentShape,
    placed: Iterable[PlacedServer],
    addresses_by_server: Mapping[ServerName, Address],
) -> Settings:
    """Return the settings with all servers and routes of a deployment."""
    servers_by_service: dict[ServiceName, dict[ServerName, ServerSettings]] = {}
    for server in placed:
        name = server.spec.name
        servers_by_service.setdefault(server.spec.service, {})[name] = (
            ServerSettings(
                addresses_by_server[name],
                server.data_centre,
                server.data_centre,
            )
        )
    services = {
        service.name: ServiceSettings(
            service.slots,
            service.connections,
            servers_by_service[service.name],
            service.connection_cost_ms,
        )
        for service in shape.services
    }
    return Settings(services=services, routes=dict(shape.routes))


def describe_servers(
    placed: Iterable[PlacedServer],
) -> Iterator[dict[str, Any]]:
    """Yield each server as an item of the stand-in's ``--servers`` flag."""
    for server in placed:
        switches = server.spec.switches
        yield {
            'name': server.spec.name,
            'service': server.spec.service,
            'address': '127.0.0.1:0',
            'shard': server.shard,
            'shards': server.shards,
            'connections': server.spec.connections,
            'seed': server.spec.seed,
            'switches': {
                'slots': switches.slots,
                'connection_cost_s': switches.connection_cost_s,
                'service_time_s': switches.service_time_s,
            },
        }


def _place_server(
    shape: DeploymentShape,
    service: ServiceShape,
    shard: int,
    replica: int,
) -> PlacedServer:
    name = f'{service.name}-{shard + 1:02}-{replica + 1}'
    return PlacedServer(
        _backend_spec(service, name, shard),
        shape.data_centres[replica % len(shape.data_centres)],
        shard,
        service.shards,
        replica,
    )


def _backend_spec(
    service: ServiceShape, name: ServerName, shard: int
) -> BackendSpec:
    return BackendSpec(
        name=name,
        service=service.name,
        connections=service.connections,
        seed=shard,
        switches=BackendSwitches(
            slots=service.slots,
            connection_cost_s=service.connection_cost_ms / _MS_PER_S,
            holdings={FIRST_VERSION: (shard_range(shard, service.shards),)},
            service_time_s=service.service_time_s,
        ),
    )
