"""Outages and alternatives that `boragespool.bench.tail` compares."""

from __future__ import annotations

from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.bench.fake_fleet import refusal
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
    """One way to run the queries.

    Attributes
    ----------
    random_choice : bool
        Choose replicas at random.
    fixed_delay_s : float
        Hedge after this time in place of the measured quantile; 0 for not.
    """

    hedging: HedgingSettings
    random_choice: bool = False
    fixed_delay_s: Seconds = 0


class Indifferent(ServerObservations):
    """Sees all servers alike, so that replicas are chosen at random."""

    def load(self, server: ServerName) -> int:
        return 0

    def latency_s(self, server: ServerName, now_s: Seconds) -> Seconds:
        return 1


class _FixedDelay(LatencyTracker):
    """Hedges after a constant delay."""

    def __init__(self, delay_s: Seconds) -> None:
        super().__init__(1)
        self._delay_s = delay_s

    @property
    def quantile_s(self) -> Seconds:
        return self._delay_s


def tracker_factory(
    variant: Variant,
) -> Callable[[float, object], LatencyTracker]:
    """Return what makes the latency trackers of a variant."""

    def make(quantile: float, settings: object) -> LatencyTracker:
        if variant.fixed_delay_s:
            tracker: LatencyTracker = _FixedDelay(variant.fixed_delay_s)
            tracker.settings = settings
            return tracker
        return LatencyTracker(quantile, settings)

    return make


def _silent(message: WorkRequest) -> None:
    """Answer nothing."""


OUTAGES: Final = MappingProxyType(
    {
        'stragglers only': None,
        'one replica of each shard refuses connections': refusal(
            ResultCode.SERVER_UNREACHABLE,
        ),
        'one replica of each shard is silent': _silent,
        'one replica of each shard closes connections': refusal(
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
