"""Frozen data classes of the merged settings."""

from __future__ import annotations

from dataclasses import dataclass, field

from boragespool.types import (
    Address,
    DataCentre,
    Rank,
    Region,
    RouteName,
    ServerName,
    ServiceName,
    WorkKind,
)


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Where one backend server listens.

    Attributes
    ----------
    host : str
        Name of its host in the platform's host list.
    drained : bool
        Set by ``boragespool drain``: no new work.
    """

    address: Address
    data_centre: DataCentre
    region: Region = ''
    host: str = ''
    drained: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """One service and the limits that its backend servers share.

    Attributes
    ----------
    slots : int
        Requests that one backend server runs at the same time.
    connections : int
        Connections that one backend server accepts.
    """

    slots: int
    connections: int
    servers: dict[ServerName, ServerSettings]
    connection_cost_ms: float = 1


@dataclass(frozen=True, slots=True)
class RouteSettings:
    """Which service answers a kind of request, at which rank.

    Attributes
    ----------
    deadline_ms : float
        Longest and default time for an answer.
    canary : bool
        Send a request with an unseen fingerprint to one shard first.
    cancellable : bool
        Whether running work may be cancelled to make room.
    """

    service: ServiceName
    rank: Rank
    form: WorkKind
    deadline_ms: float
    canary: bool = False
    cancellable: bool = True


@dataclass(frozen=True, slots=True)
class RankSettings:
    """Shares of one rank.

    Attributes
    ----------
    floor, cap : float
        Guaranteed and largest share of the slots, 0 to 1.
    queue_limit : int
        Waiting requests per backend server.
    """

    floor: float = 0
    cap: float = 1
    queue_limit: int = 64


@dataclass(frozen=True, slots=True)
class HedgingSettings:
    """When and how often a merger sends a second attempt.

    Attributes
    ----------
    quantile : float
        Share of replies, 0 to 1, after whose latency a hedge is sent; 1
        turns hedging off.
    budget_ratio : float
        Second attempts per first attempt.
    burst : float
        Second attempts that may be saved up.
    """

    quantile: float = 0.97
    budget_ratio: float = 0.045
    burst: float = 20


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Bounds of claim records.

    Attributes
    ----------
    ticket_validity_s : float
        Time in which a ticket may start.
    record_age_s : float
        Time for which records are kept.
    record_count : int
        Records that one daemon keeps.
    witness_timeout_s : float
        Time for one exchange with a witness.
    """

    ticket_validity_s: float = 120
    record_age_s: float = 3_600
    record_count: int = 200_000
    witness_timeout_s: float = 0.5


@dataclass(frozen=True, slots=True)
class AddressSettings:
    """The answer to callers that ask for addresses.

    Attributes
    ----------
    keep_s : float
        Time for which callers may cache the answer.
    count : int
        Addresses in one answer.
    """

    keep_s: float = 5
    count: int = 3


def _default_ranks() -> dict[Rank, RankSettings]:
    return {
        Rank.URGENT: RankSettings(floor=0.2, cap=1),
        Rank.ROUTINE: RankSettings(floor=0.2, cap=0.8),
        Rank.DEFERRABLE: RankSettings(floor=0.1, cap=0.4),
    }


@dataclass(frozen=True, slots=True)
class Settings:
    """The whole merged configuration of one deployment."""

    services: dict[ServiceName, ServiceSettings] = field(default_factory=dict)
    routes: dict[RouteName, RouteSettings] = field(default_factory=dict)
    ranks: dict[Rank, RankSettings] = field(default_factory=_default_ranks)
    hedging: HedgingSettings = field(default_factory=HedgingSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    addresses: AddressSettings = field(default_factory=AddressSettings)
