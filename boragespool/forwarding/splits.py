"""Choice of the service of a split in proportion to weights.

Smooth weighted round robin: each part earns its weight at every turn, and the
part with the highest balance pays the total.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.forwarding.routes import WeightedService
    from boragespool.types import ServiceName


class WeightedRoundRobin:
    """Balances of the parts of one split."""

    def __init__(self, services: tuple[WeightedService, ...]) -> None:
        """Start with equal balances."""
        self.services = services
        self._balance_by_service = {part.service: float(0) for part in services}
        self._total = sum(part.weight for part in services)

    def next_service(self) -> ServiceName:
        """Return the service whose turn it is."""
        for part in self.services:
            self._balance_by_service[part.service] += part.weight
        chosen = max(
            self._balance_by_service,
            key=self._balance_by_service.__getitem__,
        )
        self._balance_by_service[chosen] -= self._total
        return chosen
