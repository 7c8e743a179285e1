"""Shapes of deployments: data centres, daemons, services and routes.

The two deployments have today's sizes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from boragespool.settings import RouteSettings
from boragespool.types import Rank, WorkKind

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.types import (
        DataCentre,
        RouteName,
        Seconds,
        ServiceName,
    )


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """One service: `shards` key ranges with `replicas` servers each.

    Attributes
    ----------
    slots : int
        Requests that a server runs at the same time.
    connections : int
        Limit on the connections to a server.
    connection_cost_ms : float
        Extra time of the first request on a new connection, in
        milliseconds.
    service_time_s : float
        Time for which the stand-in works on one request, in seconds.
    """

    name: ServiceName
    shards: int
    replicas: int
    slots: int
    connections: int
    connection_cost_ms: float
    service_time_s: Seconds = 0.005


@dataclass(frozen=True, slots=True)
class DeploymentShape:
    """Data centres, services and routes of a deployment, and their sizes."""

    name: str
    data_centres: tuple[DataCentre, ...]
    daemon_count: int
    services: tuple[ServiceShape, ...]
    routes: Mapping[RouteName, RouteSettings] = field(default_factory=dict)


COOPERATIVE: Final = DeploymentShape(
    'cooperative',
    ('north', 'centre', 'south'),
    7,
    (
        ServiceShape('lot-finder', 10, 3, 5, 40, 6),
        ServiceShape('yard-notices', 15, 3, 5, 40, 6),
        ServiceShape('member-ledger', 1, 7, 6, 100, 1),
        ServiceShape('truck-roster', 1, 3, 6, 100, 1),
    ),
    {
        'lots': RouteSettings(
            'lot-finder', Rank.ROUTINE, WorkKind.QUERY, 1_000
        ),
        'notices': RouteSettings(
            'yard-notices', Rank.ROUTINE, WorkKind.QUERY, 1_000
        ),
        'claim-lot': RouteSettings(
            'member-ledger', Rank.URGENT, WorkKind.CLAIM, 2_000
        ),
        'report': RouteSettings(
            'member-ledger', Rank.DEFERRABLE, WorkKind.CLAIM, 5_000
        ),
        'pickup': RouteSettings(
            'truck-roster', Rank.ROUTINE, WorkKind.CLAIM, 2_000
        ),
    },
)

MWANGAZA: Final = DeploymentShape(
    'mwangaza',
    ('arusha', 'dodoma', 'mwanza'),
    6,
    (
        ServiceShape('lookup-api', 10, 3, 5, 40, 6),
        ServiceShape('unlock-codes', 15, 3, 5, 40, 6),
        ServiceShape('reconciler', 1, 10, 4, 40, 1),
        ServiceShape('agent-app', 1, 5, 4, 40, 1),
    ),
    {
        'lookup': RouteSettings(
            'lookup-api', Rank.ROUTINE, WorkKind.QUERY, 1_000
        ),
        'unlock': RouteSettings(
            'unlock-codes', Rank.URGENT, WorkKind.QUERY, 1_000
        ),
        'top-up': RouteSettings(
            'reconciler', Rank.URGENT, WorkKind.CLAIM, 2_000
        ),
        'upload': RouteSettings(
            'reconciler', Rank.DEFERRABLE, WorkKind.CLAIM, 5_000
        ),
        'visit': RouteSettings(
            'agent-app', Rank.ROUTINE, WorkKind.CLAIM, 2_000
        ),
    },
)
