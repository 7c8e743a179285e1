"""Queue policies under overload: service by rank during a flood of work.

Simulates a closing rush of deferrable work and a flood of urgent work in
virtual time. The rank queue, first-in-first-out, strict priority and weighted
fair queueing get the same seeded load.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.bench.flood_baselines import FirstInFirstOut, WeightedFairQueue
from boragespool.bench.flood_simulation import (
    SLOTS,
    Load,
    arrived_between,
    recovery_s,
    served_share,
    simulate,
)
from boragespool.ranks import ServerQueue
from boragespool.settings import RankSettings, Settings
from boragespool.types import Rank

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from boragespool.bench.flood_simulation import QueuePolicy, SimulationRun

_SEED: Final = 7
_DEFAULT_RANKS: Final = Settings().ranks
_STRICT_PRIORITY: Final = MappingProxyType(
    dict.fromkeys(Rank, RankSettings(floor=0, cap=1)),
)
_WEIGHT_BY_RANK: Final = MappingProxyType(
    {Rank.URGENT: 0.7, Rank.ROUTINE: 0.2, Rank.DEFERRABLE: 0.1},
)
_BUILDERS_BY_POLICY: Final[Mapping[str, Callable[[], QueuePolicy]]] = (
    MappingProxyType(
        {
            'ranks': lambda: ServerQueue(SLOTS, _DEFAULT_RANKS),
            'fifo': lambda: FirstInFirstOut(SLOTS),
            'strict': lambda: ServerQueue(SLOTS, _STRICT_PRIORITY),
            'fair': lambda: WeightedFairQueue(SLOTS, _WEIGHT_BY_RANK),
        },
    )
)
_HEADINGS: Final = (
    'load',
    'queue',
    'urgent_ok',
    'p99_ratio',
    'shares_by_rank',
    'useful',
    'recovery_s',
)
_WIDTHS: Final = (28, 8, 11, 11, 20, 8, 10)


@dataclass(frozen=True, slots=True)
class Result:
    """Measurements of one queue policy under one load.

    Attributes
    ----------
    urgent_success : float
        Share of the urgent work that arrived in the flood and was answered
        before its deadline, 0 to 1.
    urgent_p99_ratio : float
        99th percentile of the latency of urgent work in the flood, divided by
        that of the same period without a flood.
    shares : tuple of float
        Share of the slot time in the flood, by rank, that was spent on work
        answered before its deadline, 0 to 1.
    recovery_s : float
        Time after the flood until no more work misses its deadline, in
        seconds.
    """

    urgent_success: float
    urgent_p99_ratio: float
    shares: tuple[float, ...]
    recovery_s: float

    @property
    def useful(self) -> float:
        """Sum of `shares`: useful share of the capacity in the flood, 0 to 1."""
        return sum(self.shares)


def measure(
    policy: str,
    load: Load,
    server_count: int = 1,
    seed: int = _SEED,
) -> Result:
    """Measure one queue policy under one load.

    Parameters
    ----------
    policy : str
        ``ranks``, ``fifo``, ``strict`` or ``fair``.
    load : Load
        Demand before, during and after the flood.
    server_count : int
        Number of backend servers. Work goes to the server with the shorter
        queue of two that are chosen at random.
    seed : int
        Seed of the arrivals and service times.
    """
    new_queue = _BUILDERS_BY_POLICY[policy]
    no_flood = Load(load.base, load.base, load.begin_s, load.end_s, load.stop_s)
    without_flood = simulate(
        [new_queue() for _ in range(server_count)], no_flood, seed
    )
    with_flood = simulate(
        [new_queue() for _ in range(server_count)], load, seed
    )
    urgent = list(
        arrived_between(with_flood, Rank.URGENT, load.begin_s, load.end_s),
    )
    answered = sum(outcome.in_time for outcome in urgent)
    return Result(
        urgent_success=answered / len(urgent),
        urgent_p99_ratio=_urgent_p99_s(with_flood, load)
        / _urgent_p99_s(without_flood, load),
        shares=tuple(
            served_share(with_flood, rank, load.begin_s + 1, load.end_s)
            for rank in Rank
        ),
        recovery_s=recovery_s(with_flood, load),
    )


def _urgent_p99_s(run: SimulationRun, load: Load) -> float:
    """Return the 99th percentile of the latency of urgent work.

    Only work that arrived in the flood and was answered counts.
    """
    ordered = sorted(
        outcome.done_at_s - outcome.arrived_at_s
        for outcome in arrived_between(
            run,
            Rank.URGENT,
            load.begin_s,
            load.end_s,
        )
        if outcome.done_at_s is not None
    )
    return ordered[int(len(ordered) * 0.99)] if ordered else 0


def rush(factor: float, urgent: float = 0.6) -> Load:
    """Return a closing rush: a flood of deferrable work over a base load.

    Parameters
    ----------
    factor : float
        Demand for deferrable work in the flood, in multiples of the capacity.
    urgent : float
        Constant demand for urgent work, in multiples of the capacity.
    """
    base = {Rank.URGENT: urgent, Rank.ROUTINE: 0.1, Rank.DEFERRABLE: 0.05}
    return Load(base, {**base, Rank.DEFERRABLE: factor})


def urgent_flood(factor: float) -> Load:
    """Return a flood of urgent work.

    The other two ranks want 0.4 of the capacity each during the flood, twice
    0.2.

    Parameters
    ----------
    factor : float
        Demand for urgent work in the flood, in multiples of the capacity.
    """
    base = {Rank.URGENT: 0.3, Rank.ROUTINE: 0.2, Rank.DEFERRABLE: 0.1}
    flood = {Rank.URGENT: factor, Rank.ROUTINE: 0.4, Rank.DEFERRABLE: 0.4}
    return Load(base, flood)


def scenarios(*, short: bool) -> list[tuple[str, Load, int]]:
    """Return the name, load and number of servers of each scenario."""
    long_list = [
        ('rush x50', rush(50), 1),
        ('rush x10, urgent 0.7', rush(10, 0.7), 1),
        ('rush x10, urgent 0.75', rush(10, 0.75), 1),
        ('rush x10, urgent 0.79', rush(10, 0.79), 1),
        ('urgent flood x50', urgent_flood(50), 1),
        ('rush x10, 3 servers', rush(10), 3),
        ('urgent flood x10, 3 servers', urgent_flood(10), 3),
    ]
    return [
        ('rush x10', rush(10), 1),
        ('urgent flood x10', urgent_flood(10), 1),
        *([] if short else long_list),
    ]


def main() -> int:
    """Print one line per load and policy; ``--short`` runs two loads only."""
    _print_row(_HEADINGS)
    for name, load, server_count in scenarios(short='--short' in sys.argv):
        for policy in _BUILDERS_BY_POLICY:
            result = measure(policy, load, server_count)
            shares = (f'{share:.3f}' for share in result.shares)
            _print_row(
                (
                    name,
                    policy,
                    f'{result.urgent_success:.4f}',
                    f'{result.urgent_p99_ratio:.2f}',
                    ' '.join(shares),
                    f'{result.useful:.3f}',
                    f'{result.recovery_s:.2f}',
                ),
            )
    return 0


def _print_row(cells: Iterable[str]) -> None:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, _WIDTHS, strict=True)
    )
    print(' '.join(padded), flush=True)


if __name__ == '__main__':
    sys.exit(main())
