"""Weighted traffic split between the services of a route.

Implements smooth weighted round robin: at each request, every service's
current weight grows by its configured weight; the service with the highest
current weight is chosen, and its current weight is reduced by the total.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.forwarding.routes import WeightedService
    from boragespool.types import ServiceName


class WeightedRoundRobin:
    """Weighted round robin over the services of one route.

    Attributes
    ----------
    services : tuple of WeightedService
        Services and weights of the split.
    """

    def __init__(self, services: tuple[WeightedService, ...]) -> None:
        """Set all current weights to 0."""
        self.services = services
        self._current_weight_by_service = {
            part.service: float(0) for part in services
        }
        self._total_weight = sum(part.weight for part in services)

    def next_service(self) -> ServiceName:
        """Return the service for the next request."""
        for part in self.services:
            self._current_weight_by_service[part.service] += part.weight
        chosen = max(
            self._current_weight_by_service,
            key=self._current_weight_by_service.__getitem__,
        )
        self._current_weight_by_service[chosen] -= self._total_weight
        return chosen
