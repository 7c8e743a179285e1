"""Routing table from domain and path prefix to services or shards."""

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
    """A service of a traffic split, with its share of the requests.

    Attributes
    ----------
    weight : float
        Share of the requests relative to the other services of the split.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class ForwardRoute:
    """Route of requests to services or shards, with its limits.

    Attributes
    ----------
    domain : str
        Value of the callers' ``Host`` header, in lower case.
    prefix : str
        Prefix of the paths; it begins and ends with a slash.
    idempotent : bool
        Whether a request may run more than once.
    max_attempt_count : int
        Maximum number of backend servers that one request may be sent to,
        for each shard.
    timeout_s : float
        Maximum time until a caller gets a response, in seconds.
    target_latency_s : float
        Latency up to which a response has its full value to the caller, in
        seconds.
    priority : int
        0 is the most urgent.
    services : tuple of WeightedService
        Services of which one handles each request; empty if the route has
        `shards`.
    shards : tuple of str
        Services that each hold one shard of the index. Their replies are
        merged into one.
    record_count : int
        Maximum number of records in a merged reply; the greatest are kept.
    required_coverage : float
        Fraction of the shards, 0 to 1, that must have replied.
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
    """Limits on the requests and connections of callers.

    Attributes
    ----------
    header_size_bytes, body_size_bytes : int
        Maximum size of the request head and body.
    read_timeout_s, idle_timeout_s : float
        Maximum time for a request to arrive and for a connection to stay
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
        Maximum number of connections that one backend server of the service
        accepts from all daemons together. Services without a limit are
        absent.
    limits : CallerLimits or None
        Limits for callers; None if the configuration does not set them.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    connections_by_service: Mapping[ServiceName, int]
    limits: CallerLimits | None = None


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of one configuration, indexed for lookup by longest prefix."""

    configuration: ForwardConfiguration
    _routes_by_prefix_by_domain: Mapping[str, Mapping[str, ForwardRoute]] = (
        field(repr=False)
    )

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    def find(self, domain: str, path: str) -> ForwardRoute | None:
        """Return the route with the longest matching prefix, or None.

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
    """Build the routing table of a configuration."""
    routes_by_domain: defaultdict[str, dict[str, ForwardRoute]]
    routes_by_domain = defaultdict(dict)
    for route in configuration.routes:
        routes_by_domain[route.domain][route.prefix] = route
    return RouteTable(configuration, routes_by_domain)
