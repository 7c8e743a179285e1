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

#: Latency assumed if that of no candidate is known.
_DEFAULT_LATENCY_S: Final = 0.01


def choose_replica(
    replicas: Sequence[ServerName],
    tried: Collection[ServerName],
    observations: ServerObservations,
    draws: tuple[float, float],
    now_s: Seconds,
    rank_index: int,
) -> ServerName | None:
    """Return the replica that an attempt is sent to.

    Parameters
    ----------
    replicas : sequence of str
        Backend servers that may get new work and hold the key range.
    tried : collection of str
        Replicas that an attempt was sent to before; they are left out.
    observations : ServerObservations
        Observations of this daemon.
    draws : (float, float)
        Two random numbers in ``[0, 1)``.
    now_s : float
        Monotonic time in seconds.
    rank_index : int
        Position of the rank, highest rank first.

    Returns
    -------
    str or None
        The better of two random replicas; None if no replica is left. Suspect
        replicas are left out unless most replicas are suspect or no other one
        is left.
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
        key=_expected_time_estimator(observations, now_s, rank_index, pool),
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


def _expected_time_estimator(
    observations: ServerObservations,
    now_s: Seconds,
    rank_index: int,
    pool: list[ServerName],
) -> Callable[[ServerName], Seconds]:
    """Return a function that gives the expected time at a server, in seconds.

    The own observations outweigh the queueing times that dispatchers report.
    """
    slowest_s = max(observations.latency_s(server, now_s) for server in pool)
    unknown_s = slowest_s or _DEFAULT_LATENCY_S

    def expected_s(server: ServerName) -> Seconds:
        latency_s = observations.latency_s(server, now_s) or unknown_s
        # The reported queueing time may be late or wrong, so it counts at most
        # as much as one more request in flight.
        queueing_s = min(
            latency_s, observations.wait_s(server, rank_index, now_s)
        )
        return (
            observations.in_flight_count(server) + 1
        ) * latency_s + queueing_s

    return expected_s
