"""Choice of a replica by the power of two choices.

Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
Transactions on Parallel and Distributed Systems, 2001.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from boragespool.routing.observations import ServerObservations
    from boragespool.types import Seconds, ServerName

#: Stands in while no latency of either candidate is known, in seconds.
_DEFAULT_LATENCY_S: Final = 0.01


def choose_replica(
    replicas: Sequence[ServerName],
    tried: Collection[ServerName],
    observations: ServerObservations,
    draws: tuple[float, float],
    now_s: Seconds,
    rank_index: int,
) -> ServerName | None:
    """Choose where an attempt is sent.

    Parameters
    ----------
    replicas : sequence of str
        Backend servers that may get new work and hold the range.
    tried : collection of str
        Replicas that were asked before and are left out.
    observations : ServerObservations
        What this merger saw.
    draws : (float, float)
        Two random numbers in ``[0, 1)``.
    now_s : float
        Monotonic time.
    rank_index : int
        Position of the rank, most important first.

    Returns
    -------
    str or None
        None if no replica is left. Suspect replicas are left out unless most
        replicas are suspect or no other is left.
    """
    open_replicas = [
        server
        for server in replicas
        if not observations.is_draining(server, now_s)
    ]
    trusted = _trusted(open_replicas, observations, now_s)
    pool = [server for server in trusted if server not in tried]
    if not pool:
        pool = [server for server in open_replicas if server not in tried]
    if len(pool) < 2:
        return pool[0] if pool else None
    return min(
        _draw_two(pool, draws),
        key=_scorer(observations, now_s, rank_index, pool),
    )


def _trusted(
    replicas: list[ServerName],
    observations: ServerObservations,
    now_s: Seconds,
) -> list[ServerName]:
    """Return the replicas that are not suspect; all if most are."""
    trusted = [
        server
        for server in replicas
        if not observations.is_suspect(server, now_s)
    ]
    return replicas if len(trusted) * 2 < len(replicas) else trusted


def _draw_two(
    pool: list[ServerName],
    draws: tuple[float, float],
) -> tuple[ServerName, ServerName]:
    first = int(draws[0] * len(pool))
    offset = 1 + int(draws[1] * (len(pool) - 1))
    return pool[first], pool[(first + offset) % len(pool)]


def _scorer(
    observations: ServerObservations,
    now_s: Seconds,
    rank_index: int,
    pool: list[ServerName],
) -> Callable[[ServerName], Seconds]:
    """Return the expected time at a server; own observations come first."""
    slowest_s = max(observations.latency_s(server, now_s) for server in pool)
    unknown_s = slowest_s or _DEFAULT_LATENCY_S

    def score(server: ServerName) -> Seconds:
        latency_s = observations.latency_s(server, now_s) or unknown_s
        # The report may be late or wrong; it counts at most as one more
        # request in flight.
        hint_s = min(latency_s, observations.wait_s(server, rank_index, now_s))
        return (observations.load(server) + 1) * latency_s + hint_s

    return score
