"""Load and recent speed of one backend server, as one daemon observes them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds

#: Weight of one sample in the moving averages; five samples determine most of
#: an average.
_SAMPLE_WEIGHT: Final = 0.2
#: Weight of a slow sample of a server without recent samples, and of one that
#: follows another slow sample: if few requests go to a server, waiting for
#: five of them would take most of its slow phase.
_RARE_SAMPLE_WEIGHT: Final = 0.35
_CONFIRMED_SAMPLE_WEIGHT: Final = 0.6
#: Age of the last sample above which it is not recent, in seconds.
_RECENT_S: Final = 0.5
#: Samples are capped at this multiple of the average, so that one pause of a
#: server does not keep requests away from it for long.
_MAX_SAMPLE_RATIO: Final = 6
#: Half-life of an observed slowdown without new samples, in seconds. Slow
#: phases of a server last a few seconds.
_SLOWDOWN_HALF_LIFE_S: Final = 1.5
#: Upper bound of the half-life, in seconds. It grows with each attempt in a
#: row that was slow, so that a server that stays slow is tried less often.
_MAX_HALF_LIFE_S: Final = 4
#: Service time, as a multiple of the mean of the route, from which an attempt
#: counts as slow.
_SLOW_RATIO: Final = 2.5
#: Age of the oldest unanswered attempt from which a server counts as stalled,
#: as a multiple of the mean service time.
_STALL_FACTOR: Final = 2.5
#: Lower bound of that age, in seconds.
_MIN_STALL_S: Final = 0.05
#: Least slowdown assumed for a server that has just started.
_COLD_SLOWDOWN: Final = 1.6
#: Lower bound of the slowdown; below it, the choice between servers would
#: depend on noise.
_MIN_SLOWDOWN: Final = 0.1
#: Time for which a server is avoided after its first connection failure, in
#: seconds. It doubles with each further one until a reply succeeds.
_MIN_SUSPICION_S: Final = 0.25
#: Upper bound of that time, in seconds; crashed servers are back within a few
#: seconds.
_MAX_SUSPICION_S: Final = 4


@dataclass(slots=True)
class ServerLoad:
    """Attempts in flight at one backend server, and its recent speed.

    Times are on the clock of the timer service, in seconds.

    Attributes
    ----------
    slots : int
        Number of requests that the server runs concurrently.
    round_trip_s : float
        Network round trip time to the server.
    warm_at_s : float
        Time from which the server is no longer slow after its start.
    slowdown : float
        Moving average of the ratio of the server's service times to the mean
        service time of the route.
    measured_at_s : float
        Time of the last change of `slowdown`.
    slow_count : int
        Number of slow attempts in a row, each sent after the one before it
        was found slow; attempts that one pause delays together count once.
    slow_at_s : float
        Time at which the last of them was found slow.
    suspect_until_s : float
        Time until which the server is avoided because connections to it
        failed.
    failure_count : int
        Connection failures since the last successful reply.
    failure_ratio : float
        Moving average of the share of failed attempts, 0 to 1.
    started_at_s_by_attempt : dict of int to float
        Send times of the attempts in flight, oldest first.
    """

    slots: int
    round_trip_s: Seconds = 0
    warm_at_s: Seconds = -math.inf
    slowdown: float = 1
    measured_at_s: Seconds = 0
    slow_count: int = 0
    slow_at_s: Seconds = -math.inf
    suspect_until_s: Seconds = -math.inf
    failure_count: int = 0
    failure_ratio: float = 0
    started_at_s_by_attempt: dict[int, Seconds] = field(default_factory=dict)

    @property
    def in_flight(self) -> int:
        """Number of unanswered attempts of this daemon."""
        return len(self.started_at_s_by_attempt)

    def start_attempt(self, attempt: int, now_s: Seconds) -> None:
        """Record that an attempt was sent."""
        self.started_at_s_by_attempt[attempt] = now_s

    def mark_sent(self, attempt: int, sent_at_s: Seconds) -> None:
        """Record that an attempt had to wait for its connection until then."""
        started_at_s = self.started_at_s_by_attempt.get(attempt, sent_at_s)
        if started_at_s < sent_at_s:
            self.started_at_s_by_attempt[attempt] = sent_at_s

    def complete_attempt(
        self,
        attempt: int,
        mean_service_s: Seconds,
        now_s: Seconds,
    ) -> Seconds | None:
        """Record a successful reply.

        Parameters
        ----------
        attempt : int
            Number of the attempt.
        mean_service_s : float
            Mean service time of such a request, in seconds.
        now_s : float
            Time of the reply.

        Returns
        -------
        float or None
            Latency without the network round trip, in seconds; None if the
            attempt is not in flight.
        """
        started_at_s = self.started_at_s_by_attempt.pop(attempt, None)
        if started_at_s is None:
            return None
        self.failure_count = 0
        self.failure_ratio *= 1 - _SAMPLE_WEIGHT
        self.suspect_until_s = -math.inf
        service_s = max(0, now_s - started_at_s - self.round_trip_s)
        if mean_service_s > 0:
            self._add_sample(service_s / mean_service_s, started_at_s, now_s)
        return service_s

    def fail_attempt(
        self, attempt: int, now_s: Seconds, *, connection_failed: bool
    ) -> None:
        """Record an attempt that failed.

        Parameters
        ----------
        attempt : int
            Number of the attempt.
        now_s : float
            Time of the failure.
        connection_failed : bool
            Whether the attempt ended without a valid response, for example
            because the connection was refused or timed out. The server is
            then avoided for a while.
        """
        self.started_at_s_by_attempt.pop(attempt, None)
        self.failure_ratio += _SAMPLE_WEIGHT * (1 - self.failure_ratio)
        if connection_failed:
            self.suspect_after_failure(now_s)

    def suspect_after_failure(self, now_s: Seconds) -> None:
        """Avoid the server for a while, because a connection failed."""
        suspicion_s = _MIN_SUSPICION_S * 2**self.failure_count
        self.failure_count += 1
        self.suspect_until_s = now_s + min(_MAX_SUSPICION_S, suspicion_s)

    def abandon_attempt(
        self,
        attempt: int,
        mean_service_s: Seconds,
        now_s: Seconds,
    ) -> Seconds:
        """Record an attempt that was abandoned before its reply.

        Parameters
        ----------
        attempt : int
            Number of the attempt.
        mean_service_s : float
            Mean service time of such a request, in seconds.
        now_s : float
            Time at which the attempt was abandoned.

        Returns
        -------
        float
            Time for which the attempt was in flight, without the network
            round trip, in seconds. It is a lower bound of the service time.
            0 if the attempt is not in flight or `mean_service_s` is not
            positive.
        """
        started_at_s = self.started_at_s_by_attempt.pop(attempt, None)
        if started_at_s is None or mean_service_s <= 0:
            return 0
        waited_s = max(0, now_s - started_at_s - self.round_trip_s)
        min_sample = waited_s / mean_service_s
        if min_sample > self.current_slowdown(now_s):
            self._add_sample(min_sample, started_at_s, now_s)
        return waited_s

    def current_slowdown(self, now_s: Seconds) -> float:
        """Return the slowdown, which decays to 1 without new samples."""
        age_s = max(0, now_s - self.measured_at_s)
        half_life_s = min(
            _MAX_HALF_LIFE_S,
            _SLOWDOWN_HALF_LIFE_S * 2 ** max(0, self.slow_count - 1),
        )
        decay: float = 0.5 ** (age_s / half_life_s)
        return max(_MIN_SLOWDOWN, 1 + (self.slowdown - 1) * decay)

    def stalled_s(self, mean_service_s: Seconds, now_s: Seconds) -> Seconds:
        """Return how long the oldest attempt is overdue, in seconds.

        0 if the server does not count as stalled.
        """
        if not self.started_at_s_by_attempt:
            return 0
        oldest_started_at_s = next(iter(self.started_at_s_by_attempt.values()))
        limit_s = max(_MIN_STALL_S, _STALL_FACTOR * mean_service_s)
        return max(0, now_s - oldest_started_at_s - self.round_trip_s - limit_s)

    def expected_latency_s(
        self, mean_service_s: Seconds, now_s: Seconds
    ) -> Seconds:
        """Return the expected latency of one more request, in seconds."""
        factor = self.current_slowdown(now_s)
        if now_s < self.warm_at_s:
            factor = max(factor, _COLD_SLOWDOWN)
        rounds = 1 + max(0, self.in_flight + 1 - self.slots) / self.slots
        return self.round_trip_s + mean_service_s * factor * rounds

    def _add_sample(
        self, ratio: float, started_at_s: Seconds, now_s: Seconds
    ) -> None:
        """Add the ratio of one service time to the mean of the route."""
        current = self.current_slowdown(now_s)
        sample = min(ratio, current * _MAX_SAMPLE_RATIO)
        weight = _SAMPLE_WEIGHT
        if ratio < _SLOW_RATIO:
            self.slow_count = 0
        elif started_at_s >= self.slow_at_s:
            self.slow_count += 1
            self.slow_at_s = now_s
            if now_s - self.measured_at_s > _RECENT_S:
                weight = _RARE_SAMPLE_WEIGHT
            if self.slow_count > 1:
                weight = _CONFIRMED_SAMPLE_WEIGHT
        self.slowdown = current + weight * (sample - current)
        self.measured_at_s = now_s
