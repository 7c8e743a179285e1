"""Schema of the operator settings as frozen data classes."""

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
    """Address and location of one backend server.

    Attributes
    ----------
    address : str
        ``ip:port`` on which the server listens.
    data_centre, region : str
        Location of the server; the region is empty if not set.
    host : str
        Name of the server's host in the platform's host list; empty if not
        set.
    drained : bool
        Whether the server gets no new work; set by ``boragespool drain``.
    """

    address: Address
    data_centre: DataCentre
    region: Region = ''
    host: str = ''
    drained: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Backend servers of one service and the limits of each of them.

    Attributes
    ----------
    slots : int
        Maximum number of requests that one backend server runs concurrently.
    connections : int
        Maximum number of connections that one backend server accepts.
    servers : dict of str to ServerSettings
        Backend servers by name.
    connection_cost_ms : float
        Extra time of the first request on a new connection, in milliseconds.
    """

    slots: int
    connections: int
    servers: dict[ServerName, ServerSettings]
    connection_cost_ms: float = 1


@dataclass(frozen=True, slots=True)
class RouteSettings:
    """Service, rank and deadline for the requests of one route.

    Attributes
    ----------
    service : str
        Name of the service that answers the requests.
    rank : Rank
        Highest rank of the requests; callers may ask for a lower one.
    form : WorkKind
        Whether the requests are queries or claims.
    deadline_ms : float
        Default and maximum deadline of a request, in milliseconds.
    canary : bool
        Whether a query with an unseen fingerprint is first sent to a single
        shard.
    cancellable : bool
        Whether running queries may be cancelled to free their slots.
    """

    service: ServiceName
    rank: Rank
    form: WorkKind
    deadline_ms: float
    canary: bool = False
    cancellable: bool = True


@dataclass(frozen=True, slots=True)
class RankSettings:
    """Limits of one rank.

    Attributes
    ----------
    floor, cap : float
        Guaranteed and maximum share of the slots, 0 to 1.
    queue_limit : int
        Maximum number of queued requests per backend server.
    """

    floor: float = 0
    cap: float = 1
    queue_limit: int = 64


@dataclass(frozen=True, slots=True)
class HedgingSettings:
    """When and how often a query sends a hedged second attempt.

    Attributes
    ----------
    quantile : float
        Latency quantile after which a second attempt is sent, more than 0
        and less than 1. Benchmarks use 1, which disables hedging.
    budget_ratio : float
        Maximum number of second attempts per first attempt.
    burst : float
        Number of unused second attempts that may accumulate in the budget.
    """

    quantile: float = 0.97
    budget_ratio: float = 0.045
    burst: float = 20


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Retention limits and timeouts of claims.

    Attributes
    ----------
    ticket_validity_s : float
        Time after the issue of a ticket in which its claim may start, in
        seconds.
    record_age_s : float
        Time for which claim records are kept, in seconds.
    record_count : int
        Maximum number of claim records that one daemon keeps.
    witness_timeout_s : float
        Timeout of one exchange with a witness, in seconds.
    """

    ticket_validity_s: float = 120
    record_age_s: float = 3_600
    record_count: int = 200_000
    witness_timeout_s: float = 0.5


@dataclass(frozen=True, slots=True)
class AddressSettings:
    """Content of the answer to callers that ask for daemon addresses.

    Attributes
    ----------
    keep_s : float
        Time for which callers may cache the answer, in seconds.
    count : int
        Maximum number of addresses in one answer.
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
    """All settings of one deployment, merged from its files."""

    services: dict[ServiceName, ServiceSettings] = field(default_factory=dict)
    routes: dict[RouteName, RouteSettings] = field(default_factory=dict)
    ranks: dict[Rank, RankSettings] = field(default_factory=_default_ranks)
    hedging: HedgingSettings = field(default_factory=HedgingSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    addresses: AddressSettings = field(default_factory=AddressSettings)
