"""Workloads of the deployments, and baseline settings, for the scenarios."""

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

_QUERY_DEADLINE_S: Final = 1
_CLAIM_DEADLINE_S: Final = 2
_DEFERRABLE_CLAIM_DEADLINE_S: Final = 5
#: Capacity of the flooded service, in claims per second. One machine can't
#: send 10 times the capacity of all its servers, so the service is reduced to
#: 3 servers that answer slowly.
FLOOD_CAPACITY_PER_S: Final = 24
_FLOODED_REPLICA_COUNT: Final = 3
_FLOODED_SERVER_SLOTS: Final = 4
_UNLIMITED_S: Final = float('inf')
_ROUTINE_CLAIM_ROUTE: Final = 'amend'


@dataclass(frozen=True, slots=True)
class DeploymentWorkload:
    """One deployment, its ordinary load and the target of a flood.

    Attributes
    ----------
    flooded_service : str
        Service that receives a flood.
    urgent_route, deferrable_route : str
        Claim routes of that service.
    ordinary_flows : tuple of Flow
        Load without a flood.
    """

    shape: DeploymentShape
    flooded_service: ServiceName
    urgent_route: RouteName
    deferrable_route: RouteName
    ordinary_flows: tuple[Flow, ...]


def _query_flow(route: RouteName, rank: Rank, rate_per_s: float) -> Flow:
    return Flow(route, WorkKind.QUERY, rank, rate_per_s, _QUERY_DEADLINE_S)


def claim_flow(
    route: RouteName,
    rank: Rank,
    rate_per_s: float,
    start_s: Seconds = 0,
    end_s: Seconds = _UNLIMITED_S,
) -> Flow:
    """Return a flow of claims; the deadline depends on the rank."""
    deadline_s = (
        _DEFERRABLE_CLAIM_DEADLINE_S
        if rank is Rank.DEFERRABLE
        else _CLAIM_DEADLINE_S
    )
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
    """Add a routine claim route, so the flooded service has all ranks."""
    route = RouteSettings(flooded_service, Rank.ROUTINE, WorkKind.CLAIM, 2_000)
    return replace(
        shape, routes=dict(shape.routes) | {_ROUTINE_CLAIM_ROUTE: route}
    )


def flood_shape(workload: DeploymentWorkload) -> DeploymentShape:
    """Return the shape with the flooded service at `FLOOD_CAPACITY_PER_S`."""
    slots = _FLOODED_REPLICA_COUNT * _FLOODED_SERVER_SLOTS
    return replace(
        workload.shape,
        services=tuple(
            replace(
                service,
                replicas=_FLOODED_REPLICA_COUNT,
                slots=_FLOODED_SERVER_SLOTS,
                service_time_s=slots / FLOOD_CAPACITY_PER_S,
            )
            if service.name == workload.flooded_service
            else service
            for service in workload.shape.services
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
                _query_flow('lots', Rank.ROUTINE, 4),
                _query_flow('notices', Rank.ROUTINE, 2),
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
                _query_flow('lookup', Rank.ROUTINE, 4),
                _query_flow('unlock', Rank.URGENT, 2),
                claim_flow('top-up', Rank.URGENT, 5),
                claim_flow('visit', Rank.ROUTINE, 2),
                claim_flow('upload', Rank.DEFERRABLE, 3),
            ),
        ),
    },
)


def scale_flows(flows: tuple[Flow, ...], factor: float) -> tuple[Flow, ...]:
    """Return the flows with their rates multiplied by a factor."""
    return tuple(
        replace(flow, rate_per_s=flow.rate_per_s * factor) for flow in flows
    )


def flood_flows(
    workload: DeploymentWorkload,
    urgent_share: float,
    deferrable_share: float,
    flood_window_s: tuple[Seconds, Seconds],
) -> tuple[Flow, ...]:
    """Return the load on the flooded service by rank.

    Parameters
    ----------
    workload : DeploymentWorkload
        Workload whose service is flooded.
    urgent_share, deferrable_share : float
        Demand of the rank as a share of the capacity; routine demand is 0.1.
        Demand above 1 arrives only during the flood.
    flood_window_s : tuple of float
        Start and end of the flood, in seconds from the start of the run.
    """
    flows = (
        _rank_flow(
            workload.urgent_route, Rank.URGENT, urgent_share, flood_window_s
        ),
        claim_flow(
            _ROUTINE_CLAIM_ROUTE, Rank.ROUTINE, FLOOD_CAPACITY_PER_S / 10
        ),
        _rank_flow(
            workload.deferrable_route,
            Rank.DEFERRABLE,
            deferrable_share,
            flood_window_s,
        ),
    )
    return tuple(flow for flow in flows if flow.rate_per_s > 0)


def without_hedging(settings: Settings) -> Settings:
    """Return settings without hedging.

    The budget is set to 0, since daemons reject a quantile of 1.
    """
    hedging = HedgingSettings(budget_ratio=0, burst=0)
    return replace(settings, hedging=hedging)


def without_ranks(settings: Settings) -> Settings:
    """Return settings with all routes in one rank without floor or cap."""
    ranks = dict.fromkeys(Rank, RankSettings(floor=0, cap=1))
    routes = {
        name: replace(route, rank=Rank.ROUTINE)
        for name, route in settings.routes.items()
    }
    return replace(settings, ranks=ranks, routes=routes)


def _rank_flow(
    route: RouteName,
    rank: Rank,
    share: float,
    flood_window_s: tuple[Seconds, Seconds],
) -> Flow:
    window_s = flood_window_s if share > 1 else (0, _UNLIMITED_S)
    return claim_flow(route, rank, share * FLOOD_CAPACITY_PER_S, *window_s)
