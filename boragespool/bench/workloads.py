"""Mixes of routes and settings that the scenarios share."""

from __future__ import annotations

from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.bench.caller import Flow
from boragespool.bench.shapes import COOPERATIVE, MWANGAZA
from boragespool.settings import HedgingSettings, RankSettings, RouteSettings
from boragespool.types import Rank, WorkKind

if TYPE_CHECKING:
    from boragespool.bench.shapes import DeploymentShape
    from boragespool.settings import Settings
    from boragespool.types import RouteName, Seconds, ServiceName

_QUERY_S: Final = 1
_CLAIM_S: Final = 2
_UPLOAD_S: Final = 5
#: Capacity of the service under a flood, in claims per second. A flood of 10
#: times the capacity of all its servers exceeds what one machine can send, so
#: the service keeps 3 servers that answer slowly.
FLOOD_CAPACITY_PER_S: Final = 24
_FLOODED_SERVERS: Final = 3
_FLOODED_SLOTS: Final = 4
_FOREVER_S: Final = float('inf')
_AMEND: Final = 'amend'


@dataclass(frozen=True, slots=True)
class DeploymentWorkload:
    """One deployment and the routes that its scenarios use.

    Attributes
    ----------
    flooded : str
        Service that a flood hits; `urgent` and `deferrable` are its routes.
    """

    shape: DeploymentShape
    flooded_service: ServiceName
    urgent_route: RouteName
    deferrable_route: RouteName
    ordinary_flows: tuple[Flow, ...]


def _query(route: RouteName, rank: Rank, rate_per_s: float) -> Flow:
    return Flow(route, WorkKind.QUERY, rank, rate_per_s, _QUERY_S)


def claim_flow(
    route: RouteName,
    rank: Rank,
    rate_per_s: float,
    start_s: Seconds = 0,
    end_s: Seconds = _FOREVER_S,
) -> Flow:
    """Return a flow of claims with the usual deadline of the rank."""
    deadline_s = _UPLOAD_S if rank is Rank.DEFERRABLE else _CLAIM_S
    return Flow(
        route,
        WorkKind.CLAIM,
        rank,
        rate_per_s,
        deadline_s,
        start_s,
        end_s,
    )


def _with_routine_claims(
    shape: DeploymentShape,
    flooded_service: ServiceName,
) -> DeploymentShape:
    """Add a route, so that each rank has one to the service of a flood."""
    route = RouteSettings(flooded_service, Rank.ROUTINE, WorkKind.CLAIM, 2_000)
    return replace(shape, routes=dict(shape.routes) | {_AMEND: route})


def flood_shape(place: DeploymentWorkload) -> DeploymentShape:
    """Return the shape with the flooded service cut to a known capacity."""
    slots = _FLOODED_SERVERS * _FLOODED_SLOTS
    return replace(
        place.shape,
        services=tuple(
            replace(
                service,
                replicas=_FLOODED_SERVERS,
                slots=_FLOODED_SLOTS,
                service_time_s=slots / FLOOD_CAPACITY_PER_S,
            )
            if service.name == place.flooded_service
            else service
            for service in place.shape.services
        ),
    )


WORKLOADS_BY_DEPLOYMENT: Final = MappingProxyType(
    {
        'cooperative': DeploymentWorkload(
            _with_routine_claims(COOPERATIVE, 'member-ledger'),
            'member-ledger',
            'claim-lot',
            'report',
            (
                _query('lots', Rank.ROUTINE, 4),
                _query('notices', Rank.ROUTINE, 2),
                claim_flow('claim-lot', Rank.URGENT, 5),
                claim_flow('pickup', Rank.ROUTINE, 2),
                claim_flow('report', Rank.DEFERRABLE, 3),
            ),
        ),
        'mwangaza': DeploymentWorkload(
            _with_routine_claims(MWANGAZA, 'reconciler'),
            'reconciler',
            'top-up',
            'upload',
            (
                _query('lookup', Rank.ROUTINE, 4),
                _query('unlock', Rank.URGENT, 2),
                claim_flow('top-up', Rank.URGENT, 5),
                claim_flow('visit', Rank.ROUTINE, 2),
                claim_flow('upload', Rank.DEFERRABLE, 3),
            ),
        ),
    },
)


def scale_flows(flows: tuple[Flow, ...], factor: float) -> tuple[Flow, ...]:
    """Multiply the rates of flows."""
    return tuple(
        replace(flow, rate_per_s=flow.rate_per_s * factor) for flow in flows
    )


def flood_flows(
    place: DeploymentWorkload,
    urgent_share: float,
    deferrable_share: float,
    flooded_s: tuple[Seconds, Seconds],
) -> tuple[Flow, ...]:
    """Return load on the flooded service, in shares of its capacity.

    Parameters
    ----------
    place : Workplace
        Deployment.
    urgent_share, deferrable_share : float
        Demand of both ranks; routine demand is 0.1. A demand above 1 arrives
        only in the time of the flood.
    flooded_s : tuple of float
        Begin and end of the flood, in seconds from the start.
    """
    flows = (
        _rush(place.urgent_route, Rank.URGENT, urgent_share, flooded_s),
        claim_flow(_AMEND, Rank.ROUTINE, FLOOD_CAPACITY_PER_S / 10),
        _rush(
            place.deferrable_route, Rank.DEFERRABLE, deferrable_share, flooded_s
        ),
    )
    return tuple(flow for flow in flows if flow.rate_per_s > 0)


def without_hedging(settings: Settings) -> Settings:
    """Turn second attempts off; daemons refuse a quantile of 1."""
    hedging = HedgingSettings(budget_ratio=0, burst=0)
    return replace(settings, hedging=hedging)


def without_ranks(settings: Settings) -> Settings:
    """Put the work of all routes into one rank without a floor or a cap."""
    ranks = dict.fromkeys(Rank, RankSettings(floor=0, cap=1))
    routes = {
        name: replace(route, rank=Rank.ROUTINE)
        for name, route in settings.routes.items()
    }
    return replace(settings, ranks=ranks, routes=routes)


def _rush(
    route: RouteName,
    rank: Rank,
    share: float,
    flooded_s: tuple[Seconds, Seconds],
) -> Flow:
    during = flooded_s if share > 1 else (0, _FOREVER_S)
    return claim_flow(route, rank, share * FLOOD_CAPACITY_PER_S, *during)
