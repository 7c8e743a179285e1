"""Early refusal of queries that are not expected to meet their deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragespool.routing.observations import ServerObservations
    from boragespool.types import Seconds, ServerName

#: Share of the keys that may be late. A query that can still cover half of the
#: keys in time is worth running.
_MAX_LATE_SHARE: Final = 0.5


def refusal_wait_s(
    shards: Iterable[tuple[int, tuple[ServerName, ...]]],
    observations: ServerObservations,
    rank_index: int,
    now_s: Seconds,
    time_left_s: Seconds,
) -> Seconds:
    """Return how long a caller should wait before it sends a query again.

    Parameters
    ----------
    shards : iterable of (int, tuple of str)
        Number of keys and replicas, at least one, of each key range.
    observations : ServerObservations
        Queueing times that dispatchers reported. They decrease with time, so
        that a refusal never lasts longer than the reported wait.
    rank_index : int
        Position of the rank, highest rank first.
    now_s, time_left_s : float
        Monotonic time and time to the deadline, in seconds.

    Returns
    -------
    float
        0 if the query should run. Else the query should be refused; the value
        is the shortest time in seconds after which one more range could be
        answered within the same time to the deadline.
    """
    if observations.longest_wait_s(now_s) < time_left_s:
        return 0
    late_keys, total_keys = 0, 0
    shortest_s = float('inf')
    expected_s = _answer_time_estimator(observations, rank_index, now_s)
    for keys, replicas in shards:
        total_keys += keys
        best_s = min(map(expected_s, replicas))
        if best_s >= time_left_s:
            late_keys += keys
            shortest_s = min(shortest_s, best_s - time_left_s)
    if late_keys <= total_keys * _MAX_LATE_SHARE:
        return 0
    return max(shortest_s, 0.001)


def _answer_time_estimator(
    observations: ServerObservations,
    rank_index: int,
    now_s: Seconds,
) -> Callable[[ServerName], Seconds]:
    """Return a function that gives the expected time of new work at a server.

    That is the queueing time plus the latency, in seconds.
    """

    def expected_s(server: ServerName) -> Seconds:
        wait_s = observations.wait_s(server, rank_index, now_s)
        return wait_s + observations.latency_s(server, now_s)

    return expected_s
