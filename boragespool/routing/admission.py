"""Early refusal of queries that cannot meet their deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragespool.routing.observations import ServerObservations
    from boragespool.types import Seconds, ServerName

#: A query that can still cover half of the keys in time is worth running.
_HOPELESS_SHARE: Final = 0.5


def refusal_wait_s(
    shards: Iterable[tuple[int, tuple[ServerName, ...]]],
    observations: ServerObservations,
    rank_index: int,
    now_s: Seconds,
    time_left_s: Seconds,
) -> Seconds:
    """Return when a query that is refused now could be sent again.

    Parameters
    ----------
    shards : iterable of (int, tuple of str)
        Number of keys and replicas of each sub-range.
    observations : ServerObservations
        Queueing times that dispatchers reported. They run down with time, so
        that a refusal never lasts longer than the reported wait.
    rank_index : int
        Position of the rank, most important first.
    now_s, time_left_s : float
        Monotonic time and time to the deadline.

    Returns
    -------
    float
        0 if the query should run; else the shortest time in seconds after
        which a sub-range could be answered within the same deadline.
    """
    if observations.longest_wait_s(now_s) < time_left_s:
        return 0
    hopeless, total = 0, 0
    shortest_s = float('inf')
    expected_s = _estimator(observations, rank_index, now_s)
    for keys, replicas in shards:
        total += keys
        best_s = min(map(expected_s, replicas))
        if best_s >= time_left_s:
            hopeless += keys
            shortest_s = min(shortest_s, best_s - time_left_s)
    if hopeless <= total * _HOPELESS_SHARE:
        return 0
    return max(shortest_s, 0.001)


def _estimator(
    observations: ServerObservations,
    rank_index: int,
    now_s: Seconds,
) -> Callable[[ServerName], Seconds]:
    """Return the expected time of new work at a server."""

    def expected_s(server: ServerName) -> Seconds:
        wait_s = observations.wait_s(server, rank_index, now_s)
        return wait_s + observations.latency_s(server, now_s)

    return expected_s
