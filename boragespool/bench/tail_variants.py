"""Outages and hedging variants that `boragespool.bench.tail` compares."""

from __future__ import annotations

from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.bench.fake_fleet import refuse_with
from boragespool.results import ResultCode
from boragespool.routing import LatencyTracker, ServerObservations
from boragespool.settings import HedgingSettings
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.messages import WorkRequest
    from boragespool.types import Seconds, ServerName


@dataclass(frozen=True, slots=True)
class Variant:
    """Hedging settings and replica choice of one run.

    Attributes
    ----------
    random_choice : bool
        Whether replicas are chosen at random.
    fixed_delay_s : float
        Delay in seconds after which a request is hedged, in place of the
        measured quantile; 0 to use the quantile.
    """

    hedging: HedgingSettings
    random_choice: bool = False
    fixed_delay_s: Seconds = 0


class UniformObservations(ServerObservations):
    """Observations that are equal for all servers.

    Replicas are therefore chosen at random.
    """

    def load(self, server: ServerName) -> int:
        return 0

    def latency_s(self, server: ServerName, now_s: Seconds) -> Seconds:
        return 1


class _FixedDelay(LatencyTracker):
    """Latency tracker that returns a constant as its quantile."""

    def __init__(self, delay_s: Seconds) -> None:
        super().__init__(1)
        self._delay_s = delay_s

    @property
    def quantile_s(self) -> Seconds:
        return self._delay_s


def tracker_factory(
    variant: Variant,
) -> Callable[[float, object], LatencyTracker]:
    """Return the function that creates the latency trackers of a variant."""

    def create_tracker(quantile: float, settings: object) -> LatencyTracker:
        if variant.fixed_delay_s:
            tracker: LatencyTracker = _FixedDelay(variant.fixed_delay_s)
            tracker.settings = settings
            return tracker
        return LatencyTracker(quantile, settings)

    return create_tracker


def _never_answer(message: WorkRequest) -> None:
    """Model a server that never answers."""


OUTAGES: Final = MappingProxyType(
    {
        'stragglers only': None,
        'one replica of each shard refuses connections': refuse_with(
            ResultCode.SERVER_UNREACHABLE,
        ),
        'one replica of each shard is silent': _never_answer,
        'one replica of each shard closes connections': refuse_with(
            ResultCode.SERVER_CLOSED,
            RunState.UNKNOWN,
        ),
    }
)
ALTERNATIVES: Final = MappingProxyType(
    {
        'random replica choice, hedged': Variant(
            HedgingSettings(),
            random_choice=True,
        ),
        'hedged after fixed 15 ms': Variant(
            HedgingSettings(),
            fixed_delay_s=0.015,
        ),
        'hedged after fixed 40 ms': Variant(
            HedgingSettings(),
            fixed_delay_s=0.04,
        ),
        'hedged after quantile 0.95': Variant(
            replace(HedgingSettings(), quantile=0.95),
        ),
        'hedged after quantile 0.99': Variant(
            replace(HedgingSettings(), quantile=0.99),
        ),
        'hedged without a budget': Variant(
            replace(HedgingSettings(), budget_ratio=1, burst=1_000),
        ),
    }
)
