"""Observations about backend servers that a daemon made while sending work."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds, ServerName

_LATENCY_WEIGHT: Final = 0.1
#: Bounds one latency, as a multiple of the average, before it is averaged. One
#: slow reply, such as of a straggler that takes 20 times longer, must not keep
#: new work away from a replica.
_MAX_LATENCY_RATIO: Final = 4
_MIN_SUSPECT_S: Final = 0.5
_MAX_SUSPECT_S: Final = 8
#: Overdue attempts in a row after which a server is suspect. Stragglers are
#: about 1 in 100, so two in a row mean a lost replica.
_OVERDUE_LIMIT: Final = 2
#: Time for which a server counts as draining after it replied so; by the
#: end of it, its dispatcher has announced this state.
_DRAINING_HOLD_S: Final = 5
#: Upper bound of a reported queueing time, so that a wrong report keeps work
#: away no longer.
_MAX_WAIT_S: Final = 2


@dataclass(slots=True)
class _ServerStats:
    in_flight: int = 0
    latency_s: Seconds = 0
    succeeded_at_s: Seconds = 0
    failure_count: int = 0
    overdue_count: int = 0
    suspect_until_s: Seconds = 0
    draining_until_s: Seconds = 0
    wait_ends_s: tuple[Seconds, ...] = ()


class ServerObservations:
    """Attempts in flight, latencies, failures and reported waits by server.

    Holds what this daemon saw itself. Times are passed in as monotonic seconds.
    """

    def __init__(self) -> None:
        """Set up the state without observations."""
        self._stats_by_server: defaultdict[ServerName, _ServerStats] = (
            defaultdict(
                _ServerStats,
            )
        )
        self._last_wait_end_s: Seconds = 0

    def record_sent(self, server: ServerName) -> None:
        """Record that an attempt was sent to a server."""
        self._stats_by_server[server].in_flight += 1

    def record_success(
        self,
        server: ServerName,
        latency_s: Seconds,
        now_s: Seconds,
    ) -> None:
        """Record a complete reply and the latency of its attempt in seconds."""
        stats = self._finish(server)
        stats.failure_count = 0
        stats.overdue_count = 0
        stats.succeeded_at_s = now_s
        known_s = stats.latency_s or latency_s
        step_s = min(latency_s, known_s * _MAX_LATENCY_RATIO) - known_s
        stats.latency_s = known_s + _LATENCY_WEIGHT * step_s

    def record_refusal(self, server: ServerName) -> None:
        """Record the end of an attempt that does not tell the server's health.

        Examples are a shed request and a cancelled attempt.
        """
        self._finish(server)

    def record_failure(self, server: ServerName, now_s: Seconds) -> None:
        """Record a failed attempt.

        The server is suspect for a time that doubles with each failure in a
        row, up to `_MAX_SUSPECT_S`.
        """
        self._mark_suspect(self._finish(server), now_s)

    def record_overdue(self, server: ServerName, now_s: Seconds) -> None:
        """Record that an attempt in flight takes longer than most."""
        stats = self._stats_by_server[server]
        stats.overdue_count += 1
        if stats.overdue_count >= _OVERDUE_LIMIT:
            self._mark_suspect(stats, now_s)

    def record_draining(self, server: ServerName, now_s: Seconds) -> None:
        """Record a reply which says that the server is draining."""
        self._finish(server).draining_until_s = now_s + _DRAINING_HOLD_S

    def record_waits(
        self,
        server: ServerName,
        waits_s: tuple[Seconds, ...],
        now_s: Seconds,
    ) -> None:
        """Record the queueing times by rank that a dispatcher reported.

        They are given in seconds, highest rank first.
        """
        self._stats_by_server[server].wait_ends_s = tuple(
            now_s + min(wait_s, _MAX_WAIT_S) for wait_s in waits_s
        )
        self._last_wait_end_s = max(
            self._last_wait_end_s,
            *self._stats_by_server[server].wait_ends_s,
            0,
        )

    def longest_wait_s(self, now_s: Seconds) -> Seconds:
        """Return an upper bound of the rest of all waits, in seconds."""
        return max(0, self._last_wait_end_s - now_s)

    def is_draining(self, server: ServerName, now_s: Seconds) -> bool:
        """Return whether a server replied lately that it is draining."""
        return now_s < self._stats_by_server[server].draining_until_s

    def is_suspect(self, server: ServerName, now_s: Seconds) -> bool:
        """Return whether new attempts should avoid a server.

        A server is suspect for a time after an attempt failed, or after
        `_OVERDUE_LIMIT` in a row were overdue. After that time it gets one
        attempt at a time, until one of them succeeds.
        """
        stats = self._stats_by_server[server]
        if not stats.failure_count:
            return False
        return now_s < stats.suspect_until_s or stats.in_flight > 0

    def wait_s(
        self,
        server: ServerName,
        rank_index: int,
        now_s: Seconds,
    ) -> Seconds:
        """Return the rest of a reported wait in seconds; 0 if unknown."""
        wait_ends_s = self._stats_by_server[server].wait_ends_s
        if rank_index >= len(wait_ends_s):
            return 0
        return max(0, wait_ends_s[rank_index] - now_s)

    def in_flight_count(self, server: ServerName) -> int:
        """Return the number of attempts of this daemon in flight."""
        return self._stats_by_server[server].in_flight

    def latency_s(self, server: ServerName, now_s: Seconds) -> Seconds:
        """Return the smoothed latency in seconds; 0 if unknown.

        It decreases with the time since the last success, so that a server that
        was slow gets work again.
        """
        stats = self._stats_by_server[server]
        return stats.latency_s / (1 + max(0, now_s - stats.succeeded_at_s))

    def keep_only(self, servers: frozenset[ServerName]) -> None:
        """Remove idle servers that are not configured any more."""
        for server in self._stats_by_server.keys() - servers:
            if not self._stats_by_server[server].in_flight:
                del self._stats_by_server[server]

    def _finish(self, server: ServerName) -> _ServerStats:
        stats = self._stats_by_server[server]
        stats.in_flight = max(0, stats.in_flight - 1)
        return stats

    def _mark_suspect(self, stats: _ServerStats, now_s: Seconds) -> None:
        doubled_s = _MIN_SUSPECT_S * 2 ** min(stats.failure_count, 8)
        stats.suspect_until_s = now_s + min(doubled_s, _MAX_SUSPECT_S)
        stats.failure_count += 1
