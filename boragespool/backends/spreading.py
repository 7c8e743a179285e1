"""Which changed records a daemon passes on, and to whom.

Rumour mongering (Demers et al., "Epidemic algorithms for replicated database
maintenance", PODC 1987) with a bounded number of sends for each record and a
bounded number of bytes. What it misses is repaired by `digests`.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from boragespool.backends.digests import record_size_bytes

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from boragespool.messages import ServerRecord
    from boragespool.types import HostName, Seconds, ServerName


@dataclass(frozen=True, slots=True)
class SpreadLimits:
    """Bounds of passing on changes.

    Attributes
    ----------
    sends : int
        Members that each daemon sends a change to. With 4 a change misses
        about 2 in 100 daemons, which the exchange of digests repairs.
    targets : int
        Members that get a message at each tick.
    bytes_per_s, burst_bytes : int
        Rate of sending, and what may be sent at once. A burst carries the
        400 servers of a lost rack to one member.
    queue_count : int
        Changes that wait; the oldest ones beyond it are left to the exchange
        of digests.
    """

    sends: int = 4
    targets: int = 2
    bytes_per_s: int = 3_000
    burst_bytes: int = 96_000
    queue_count: int = 2_000


@dataclass(frozen=True, slots=True)
class _Rumour:
    record: ServerRecord
    is_urgent: bool
    sends_left: int


class ByteRateLimiter:
    """Bytes that may be sent: a rate with bursts."""

    def __init__(
        self,
        bytes_per_s: int,
        burst_bytes: int,
        now_s: Seconds,
    ) -> None:
        """Start with the whole burst available."""
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes
        self._allowed_bytes: float = burst_bytes
        self._refilled_at_s = now_s

    def take(self, size_bytes: int, now_s: Seconds) -> bool:
        """Take some bytes, or none if fewer are left."""
        elapsed_s = now_s - self._refilled_at_s
        self._refilled_at_s = now_s
        self._allowed_bytes = min(
            self._burst_bytes,
            self._allowed_bytes + elapsed_s * self._bytes_per_s,
        )
        is_allowed = size_bytes <= self._allowed_bytes
        if is_allowed:
            self._allowed_bytes -= size_bytes
        return is_allowed


class SpreadQueue:
    """Changes that wait to be passed on, the latest of each server."""

    def __init__(self, limits: SpreadLimits, now_s: Seconds) -> None:
        """Start empty, with the whole burst available."""
        self.limits = limits
        self._rumours: dict[ServerName, _Rumour] = {}
        self._allowance = ByteRateLimiter(
            limits.bytes_per_s,
            limits.burst_bytes,
            now_s,
        )

    def enqueue(self, record: ServerRecord, *, is_urgent: bool) -> None:
        """Replace what waits about a server."""
        self._rumours.pop(record.server, None)
        self._rumours[record.server] = _Rumour(
            record,
            is_urgent,
            self.limits.sends,
        )
        if len(self._rumours) > self.limits.queue_count:
            self._rumours.pop(next(iter(self._rumours)))

    def forget(self, server: ServerName) -> None:
        """Pass nothing on about a server."""
        self._rumours.pop(server, None)

    def take(
        self,
        targets: int,
        now_s: Seconds,
        *,
        urgent_only: bool,
    ) -> tuple[ServerRecord, ...]:
        """Return the records of one message that goes to `targets` members.

        Returns
        -------
        tuple of ServerRecord
            Urgent ones first, then those that were sent least; at most as
            many as the rate allows.
        """
        if not targets:
            return ()
        chosen: list[ServerRecord] = []
        for rumour in self._ordered(urgent_only=urgent_only):
            cost = targets * record_size_bytes(rumour.record)
            if not self._allowance.take(cost, now_s):
                break
            chosen.append(rumour.record)
            self._sent(rumour, targets)
        return tuple(chosen)

    def _ordered(self, *, urgent_only: bool) -> list[_Rumour]:
        waiting = (
            rumour
            for rumour in self._rumours.values()
            if rumour.is_urgent or not urgent_only
        )
        return sorted(
            waiting,
            key=lambda rumour: (not rumour.is_urgent, -rumour.sends_left),
        )

    def _sent(self, rumour: _Rumour, targets: int) -> None:
        left = rumour.sends_left - targets
        server = rumour.record.server
        if left > 0:
            self._rumours[server] = replace(rumour, sends_left=left)
        else:
            self._rumours.pop(server)


def choose_targets(
    hosts: Sequence[HostName],
    count: int,
    draw: Callable[[], float],
) -> tuple[HostName, ...]:
    """Return at most `count` different random hosts.

    Unlike sorting by random numbers, the cost does not grow with the number
    of hosts.
    """
    if count >= len(hosts):
        return tuple(hosts)
    places: set[int] = set()
    for _ in range(count):
        place = int(draw() * len(hosts))
        while place in places:
            place = (place + 1) % len(hosts)
        places.add(place)
    return tuple(hosts[place] for place in sorted(places))
