"""Service by rank in a closing rush and in a flood of urgent work.

Virtual time. The rank queue, first-in-first-out, strict priority and weighted
fair queueing run through the same seeded load.
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

    from boragespool.bench.flood_simulation import Policy, Run

_SEED: Final = 7
_RANKS: Final = Settings().ranks
_STRICT: Final = MappingProxyType(
    dict.fromkeys(Rank, RankSettings(floor=0, cap=1)),
)
_WEIGHTS: Final = MappingProxyType(
    {Rank.URGENT: 0.7, Rank.ROUTINE: 0.2, Rank.DEFERRABLE: 0.1},
)
_POLICIES: Final[Mapping[str, Callable[[], Policy]]] = MappingProxyType(
    {
        'ranks': lambda: ServerQueue(SLOTS, _RANKS),
        'fifo': lambda: FirstInFirstOut(SLOTS),
        'strict': lambda: ServerQueue(SLOTS, _STRICT),
        'fair': lambda: WeightedFairQueue(SLOTS, _WEIGHTS),
    },
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
    """Figures of one queue under one load.

    Attributes
    ----------
    urgent_success : float
        Share of urgent work answered in time, 0 to 1.
    urgent_p99_ratio : float
        99th percentile of urgent latency to that without the flood.
    shares : tuple of float
        Useful share of the slots by rank in the flood, 0 to 1.
    recovery_s : float
        Time until the queues are as before the flood, in seconds.
    """

    urgent_success: float
    urgent_p99_ratio: float
    shares: tuple[float, ...]
    recovery_s: float

    @property
    def useful(self) -> float:
        """Useful share of the capacity in the flood, 0 to 1."""
        return sum(self.shares)


def measure(
    policy: str,
    load: Load,
    servers: int = 1,
    seed: int = _SEED,
) -> Result:
    """Measure one queue under one load.

    Parameters
    ----------
    policy : str
        ``ranks``, ``fifo``, ``strict`` or ``fair``.
    load : Load
        Demand over time.
    servers : int
        Backend servers; work goes to the shorter of two queues.
    """
    build = _POLICIES[policy]
    calm = Load(load.base, load.base, load.begin_s, load.end_s, load.stop_s)
    unloaded = simulate([build() for _ in range(servers)], calm, seed)
    flooded = simulate([build() for _ in range(servers)], load, seed)
    urgent = list(
        arrived_between(flooded, Rank.URGENT, load.begin_s, load.end_s),
    )
    answered = sum(outcome.in_time for outcome in urgent)
    return Result(
        urgent_success=answered / len(urgent),
        urgent_p99_ratio=_p99(flooded, load) / _p99(unloaded, load),
        shares=tuple(
            served_share(flooded, rank, load.begin_s + 1, load.end_s)
            for rank in Rank
        ),
        recovery_s=recovery_s(flooded, load),
    )


def _p99(run: Run, load: Load) -> float:
    """Return the 99th percentile of urgent latency in the flood."""
    ordered = sorted(
        outcome.done_s - outcome.arrived_s
        for outcome in arrived_between(
            run,
            Rank.URGENT,
            load.begin_s,
            load.end_s,
        )
        if outcome.done_s is not None
    )
    return ordered[int(len(ordered) * 0.99)] if ordered else 0


def rush(factor: float, urgent: float = 0.6) -> Load:
    """Return a closing rush of deferrable work over a calm base load."""
    base = {Rank.URGENT: urgent, Rank.ROUTINE: 0.1, Rank.DEFERRABLE: 0.05}
    return Load(base, {**base, Rank.DEFERRABLE: factor})


def urgent_flood(factor: float) -> Load:
    """Return a flood of urgent work while the other ranks want twice 0.2."""
    base = {Rank.URGENT: 0.3, Rank.ROUTINE: 0.2, Rank.DEFERRABLE: 0.1}
    flood = {Rank.URGENT: factor, Rank.ROUTINE: 0.4, Rank.DEFERRABLE: 0.4}
    return Load(base, flood)


def scenarios(*, short: bool) -> list[tuple[str, Load, int]]:
    """Return name, load and number of servers of each measurement."""
    full = [
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
        *([] if short else full),
    ]


def main() -> int:
    """Print one line per queue and load; ``--short`` leaves out the rest."""
    _print_row(_HEADINGS)
    for name, load, servers in scenarios(short='--short' in sys.argv):
        for policy in _POLICIES:
            result = measure(policy, load, servers)
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
