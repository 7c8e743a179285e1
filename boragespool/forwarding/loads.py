"""What a daemon observed of one backend server, and its expected latency."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds

#: Weight of one sample in the means: five samples change most of a mean.
_SMOOTHING: Final = 0.2
#: Largest factor between a sample and the mean, so that one pause of a server
#: does not keep work away from it for long.
_LARGEST_STEP: Final = 6
#: Time in which half of an observed slowness is forgotten without new
#: samples, in seconds; slow phases last some seconds.
_HALF_LIFE_S: Final = 1.5
#: Time without an answer after which a server with work counts as stalled, as
#: a multiple of the usual service time.
_STALL_FACTOR: Final = 2.5
#: Shortest such time, in seconds.
_LEAST_STALL_S: Final = 0.05
#: Slowness of a server that has just started, as on the sites.
_COLD_FACTOR: Final = 1.6
#: Least factor to the usual service time; below it noise would decide.
_LEAST_SLOWNESS: Final = 0.1
#: Time for which a server is avoided after its first failure, in seconds; it
#: doubles with each further one.
_FIRST_SUSPICION_S: Final = 0.25
#: Longest such time, in seconds; crashed servers are back after some seconds.
_LONGEST_SUSPICION_S: Final = 4


@dataclass(slots=True)
class ServerLoad:
    """Work under way at one backend server and its recent speed.

    Attributes
    ----------
    slots : int
        Requests that it runs at the same time.
    round_trip_s : float
        Round trip to it, in seconds.
    warm_at_s : float
        Time from which it is as fast as others.
    """

    slots: int
    round_trip_s: Seconds = 0
    warm_at_s: Seconds = -math.inf
    slowness: float = 1
    measured_at_s: Seconds = 0
    suspect_until_s: Seconds = -math.inf
    failure_count: int = 0
    failure_ratio: float = 0
    started_s_by_attempt: dict[int, Seconds] = field(default_factory=dict)

    @property
    def in_flight(self) -> int:
        """Attempts of this daemon that wait for an answer."""
        return len(self.started_s_by_attempt)

    def start_attempt(self, attempt: int, now_s: Seconds) -> None:
        """Note an attempt that was sent."""
        self.started_s_by_attempt[attempt] = now_s

    def complete_attempt(
        self,
        attempt: int,
        usual_s: Seconds,
        now_s: Seconds,
    ) -> Seconds | None:
        """Note an answer; return its latency without the distance.

        Parameters
        ----------
        usual_s : float
            Usual service time of such a request, in seconds.
        """
        began_s = self.started_s_by_attempt.pop(attempt, None)
        if began_s is None:
            return None
        self.failure_count = 0
        self.failure_ratio *= 1 - _SMOOTHING
        self.suspect_until_s = -math.inf
        service_s = max(0, now_s - began_s - self.round_trip_s)
        if usual_s > 0:
            present = self.present_slowness(now_s)
            sample = min(service_s / usual_s, present * _LARGEST_STEP)
            self.slowness = present + _SMOOTHING * (sample - present)
            self.measured_at_s = now_s
        return service_s

    def fail_attempt(
        self, attempt: int, now_s: Seconds, *, refused: bool
    ) -> None:
        """Note an attempt without a useful answer.

        Parameters
        ----------
        refused : bool
            Whether the server itself cannot be used: no connection, or the
            connection broke.
        """
        self.started_s_by_attempt.pop(attempt, None)
        self.failure_ratio += _SMOOTHING * (1 - self.failure_ratio)
        if refused:
            pause_s = _FIRST_SUSPICION_S * 2**self.failure_count
            self.failure_count += 1
            self.suspect_until_s = now_s + min(_LONGEST_SUSPICION_S, pause_s)

    def abandon_attempt(
        self,
        attempt: int,
        usual_s: Seconds,
        now_s: Seconds,
    ) -> Seconds:
        """Note an attempt that was given up after the time returned.

        That time, in seconds, is a lower bound of its service time.
        """
        began_s = self.started_s_by_attempt.pop(attempt, None)
        if began_s is None or usual_s <= 0:
            return 0
        present = self.present_slowness(now_s)
        waited_s = max(0, now_s - began_s - self.round_trip_s)
        waited = waited_s / usual_s
        if waited > present:
            sample = min(waited, present * _LARGEST_STEP)
            self.slowness = present + _SMOOTHING * (sample - present)
            self.measured_at_s = now_s
        return waited_s

    def present_slowness(self, now_s: Seconds) -> float:
        """Return the factor to the usual service time; old samples fade."""
        age_s = max(0, now_s - self.measured_at_s)
        fading: float = 0.5 ** (age_s / _HALF_LIFE_S)
        return max(_LEAST_SLOWNESS, 1 + (self.slowness - 1) * fading)

    def stalled_s(self, usual_s: Seconds, now_s: Seconds) -> Seconds:
        """Return for how long the oldest attempt is overdue, in seconds."""
        if not self.started_s_by_attempt:
            return 0
        oldest_s = next(iter(self.started_s_by_attempt.values()))
        limit_s = max(_LEAST_STALL_S, _STALL_FACTOR * usual_s)
        return max(0, now_s - oldest_s - self.round_trip_s - limit_s)

    def expected_s(self, usual_s: Seconds, now_s: Seconds) -> Seconds:
        """Return the expected latency of one more request, in seconds."""
        factor = self.present_slowness(now_s)
        if now_s < self.warm_at_s:
            factor = max(factor, _COLD_FACTOR)
        rounds = 1 + max(0, self.in_flight + 1 - self.slots) / self.slots
        return self.round_trip_s + usual_s * factor * rounds
