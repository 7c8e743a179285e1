"""What a merger observed itself about backend servers."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Seconds, ServerName

_SMOOTHING: Final = 0.1
#: One reply of a straggler, 20 times slower, must not shut a replica out.
_LARGEST_STEP: Final = 4
_FIRST_SUSPICION_S: Final = 0.5
_LONGEST_SUSPICION_S: Final = 8
#: Stragglers are about 1 in 100, so two in a row mean a lost replica.
_OVERDUE_LIMIT: Final = 2
#: Bridges the time until the dispatcher has announced the draining state.
_DRAINING_S: Final = 5
#: A misleading report must not keep work away for longer.
_LONGEST_WAIT_S: Final = 2


@dataclass(slots=True)
class _Seen:
    in_flight: int = 0
    latency_s: Seconds = 0
    answered_at_s: Seconds = 0
    failures: int = 0
    overdue: int = 0
    suspect_until_s: Seconds = 0
    draining_until_s: Seconds = 0
    waits_s: tuple[Seconds, ...] = ()


class ServerObservations:
    """In flight, latency, failures and reported waits by backend server.

    Times are monotonic seconds that the caller passes in.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._seen_by_server: defaultdict[ServerName, _Seen] = defaultdict(
            _Seen,
        )
        self._waits_end_s: Seconds = 0

    def record_sent(self, server: ServerName) -> None:
        """Count an attempt that was sent."""
        self._seen_by_server[server].in_flight += 1

    def record_answer(
        self,
        server: ServerName,
        latency_s: Seconds,
        now_s: Seconds,
    ) -> None:
        """Note a useful answer."""
        seen = self._finish(server)
        seen.failures = 0
        seen.overdue = 0
        seen.answered_at_s = now_s
        known_s = seen.latency_s or latency_s
        step_s = min(latency_s, known_s * _LARGEST_STEP) - known_s
        seen.latency_s = known_s + _SMOOTHING * step_s

    def record_refusal(self, server: ServerName) -> None:
        """Note an end that says nothing about health, such as shedding."""
        self._finish(server)

    def record_failure(self, server: ServerName, now_s: Seconds) -> None:
        """Note a lost attempt; the server is suspect for a growing time."""
        self._suspect(self._finish(server), now_s)

    def record_overdue(self, server: ServerName, now_s: Seconds) -> None:
        """Note that an attempt, still in flight, is slower than most."""
        seen = self._seen_by_server[server]
        seen.overdue += 1
        if seen.overdue >= _OVERDUE_LIMIT:
            self._suspect(seen, now_s)

    def record_draining(self, server: ServerName, now_s: Seconds) -> None:
        """Note that a server said that it drains."""
        self._finish(server).draining_until_s = now_s + _DRAINING_S

    def record_waits(
        self,
        server: ServerName,
        waits_s: tuple[Seconds, ...],
        now_s: Seconds,
    ) -> None:
        """Note the queueing times by rank that a dispatcher reported."""
        self._seen_by_server[server].waits_s = tuple(
            now_s + min(wait_s, _LONGEST_WAIT_S) for wait_s in waits_s
        )
        self._waits_end_s = max(
            self._waits_end_s,
            *self._seen_by_server[server].waits_s,
            0,
        )

    def longest_wait_s(self, now_s: Seconds) -> Seconds:
        """Return a bound on what is left of all reported queueing times."""
        return max(0, self._waits_end_s - now_s)

    def is_draining(self, server: ServerName, now_s: Seconds) -> bool:
        """Return whether a server said lately that it drains."""
        return now_s < self._seen_by_server[server].draining_until_s

    def is_suspect(self, server: ServerName, now_s: Seconds) -> bool:
        """Return whether a server's last attempts were lost.

        When the time of suspicion is over, one attempt at a time tries the
        server, until one is answered.
        """
        seen = self._seen_by_server[server]
        if not seen.failures:
            return False
        return now_s < seen.suspect_until_s or seen.in_flight > 0

    def wait_s(
        self,
        server: ServerName,
        rank_index: int,
        now_s: Seconds,
    ) -> Seconds:
        """Return what is left of a reported queueing time; 0 if unknown."""
        waits_s = self._seen_by_server[server].waits_s
        if rank_index >= len(waits_s):
            return 0
        return max(0, waits_s[rank_index] - now_s)

    def load(self, server: ServerName) -> int:
        """Return the attempts in flight from here."""
        return self._seen_by_server[server].in_flight

    def latency_s(self, server: ServerName, now_s: Seconds) -> Seconds:
        """Return the smoothed latency, 0 if unknown.

        It falls with the time since the last answer, so that a server that
        was slow is tried again.
        """
        seen = self._seen_by_server[server]
        return seen.latency_s / (1 + max(0, now_s - seen.answered_at_s))

    def keep_only(self, servers: frozenset[ServerName]) -> None:
        """Forget servers that are not configured any more."""
        for server in self._seen_by_server.keys() - servers:
            if not self._seen_by_server[server].in_flight:
                del self._seen_by_server[server]

    def _finish(self, server: ServerName) -> _Seen:
        seen = self._seen_by_server[server]
        seen.in_flight = max(0, seen.in_flight - 1)
        return seen

    def _suspect(self, seen: _Seen, now_s: Seconds) -> None:
        doubled_s = _FIRST_SUSPICION_S * 2 ** min(seen.failures, 8)
        seen.suspect_until_s = now_s + min(doubled_s, _LONGEST_SUSPICION_S)
        seen.failures += 1
