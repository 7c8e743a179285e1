"""Routes by domain and path prefix, and the shards or services behind them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.types import RouteName, Seconds, ServiceName

_SEPARATOR: Final = '/'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One part of a split."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class ForwardRoute:
    """Which backend servers answer a kind of request, and within what time.

    Attributes
    ----------
    domain : str
        Value of the callers' ``Host`` header, in lower case.
    prefix : str
        Begin of the paths; it begins and ends with a slash.
    idempotent : bool
        Whether a request may run more than once.
    max_attempt_count : int
        Backend servers, for each shard, that one request may be sent to.
    timeout_s : float
        Longest time that a caller is kept waiting, in seconds.
    target_latency_s : float
        Time in which an answer is worth most to the caller, in seconds.
    priority : int
        0 is the most urgent.
    services : tuple of WeightedService
        One of them answers; empty if `shards` answer together.
    shards : tuple of str
        Services that each hold one shard of the index.
    record_count : int
        Greatest records that an answer from shards holds.
    required_coverage : float
        Share of the shards, 0 to 1, that an answer needs.
    """

    name: RouteName
    domain: str
    prefix: str
    idempotent: bool
    max_attempt_count: int
    timeout_s: Seconds
    target_latency_s: Seconds
    priority: int
    services: tuple[WeightedService, ...] = ()
    shards: tuple[ServiceName, ...] = ()
    record_count: int = 0
    required_coverage: float = 1


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how slowly.

    Attributes
    ----------
    header_size_bytes, body_size_bytes : int
        Largest request head and body.
    read_timeout_s, idle_timeout_s : float
        Longest time for a request to arrive and for a connection to stay
        idle, in seconds.
    """

    header_size_bytes: int
    body_size_bytes: int
    read_timeout_s: Seconds
    idle_timeout_s: Seconds


@dataclass(frozen=True, slots=True)
class ForwardConfiguration:
    """One version of the operators' configuration.

    Attributes
    ----------
    connections_by_service : mapping of str to int
        Connections that one backend server of the service accepts from all
        daemons together.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    connections_by_service: Mapping[ServiceName, int]
    limits: CallerLimits | None = None


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Index of the routes of one configuration."""

    configuration: ForwardConfiguration
    _routes_by_prefix_by_domain: Mapping[str, Mapping[str, ForwardRoute]] = (
        field(repr=False)
    )

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    def find(self, domain: str, path: str) -> ForwardRoute | None:
        """Return the route with the longest prefix of a path.

        Parameters
        ----------
        domain : str
            Host header of the request, with or without a port.
        path : str
            Path without the query string.
        """
        name = domain.partition(':')[0].lower()
        routes_by_prefix = self._routes_by_prefix_by_domain.get(name)
        if routes_by_prefix is None:
            return None
        end = path.rfind(_SEPARATOR)
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(_SEPARATOR, 0, end)
        return None


def index_routes(configuration: ForwardConfiguration) -> RouteTable:
    """Index a configuration for `RouteTable.find`."""
    routes_by_domain: defaultdict[str, dict[str, ForwardRoute]]
    routes_by_domain = defaultdict(dict)
    for route in configuration.routes:
        routes_by_domain[route.domain][route.prefix] = route
    return RouteTable(configuration, routes_by_domain)
