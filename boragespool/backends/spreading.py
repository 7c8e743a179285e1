"""Gossip of changed server records between daemons.

Rumour mongering (Demers et al., "Epidemic algorithms for replicated database
maintenance", PODC 1987): each daemon sends a changed record to a bounded number
of members, within a limit of bytes per second. Changes that do not reach a
daemon are repaired by the comparison in `digests`.
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
    """Bounds on the gossip of changed records.

    Attributes
    ----------
    send_count : int
        Number of members that each daemon sends a change to. With 4 a change
        misses about 2 in 100 daemons, which the exchange of digests repairs.
    target_count : int
        Number of members that get a message in each interval.
    bytes_per_s, burst_bytes : int
        Rate limit of the messages. A burst has room for the records of the
        400 servers of a lost rack to one member.
    queue_count : int
        Number of changes that may wait. The oldest ones beyond it are dropped
        and left to the exchange of digests.
    """

    send_count: int = 4
    target_count: int = 2
    bytes_per_s: int = 3_000
    burst_bytes: int = 96_000
    queue_count: int = 2_000


@dataclass(frozen=True, slots=True)
class _PendingRecord:
    record: ServerRecord
    is_urgent: bool
    sends_left: int


class ByteRateLimiter:
    """Token bucket that limits the bytes sent.

    Parameters
    ----------
    bytes_per_s, burst_bytes : int
        Rate at which the bucket is filled, and its size.
    now_s : float
        Current time in seconds.
    """

    def __init__(
        self,
        bytes_per_s: int,
        burst_bytes: int,
        now_s: Seconds,
    ) -> None:
        """Set up a full bucket."""
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes
        self._available_bytes: float = burst_bytes
        self._refilled_at_s = now_s

    def take(self, size_bytes: int, now_s: Seconds) -> bool:
        """Take `size_bytes` if as many are left; return whether they were."""
        elapsed_s = now_s - self._refilled_at_s
        self._refilled_at_s = now_s
        self._available_bytes = min(
            self._burst_bytes,
            self._available_bytes + elapsed_s * self._bytes_per_s,
        )
        is_allowed = size_bytes <= self._available_bytes
        if is_allowed:
            self._available_bytes -= size_bytes
        return is_allowed


class SpreadQueue:
    """Changed records that wait to be sent, the latest of each server.

    Attributes
    ----------
    limits : SpreadLimits
        Bounds on what is sent and kept.
    """

    def __init__(self, limits: SpreadLimits, now_s: Seconds) -> None:
        """Set up an empty queue with the whole burst available."""
        self.limits = limits
        self._pending_by_server: dict[ServerName, _PendingRecord] = {}
        self._rate_limiter = ByteRateLimiter(
            limits.bytes_per_s,
            limits.burst_bytes,
            now_s,
        )

    def enqueue(self, record: ServerRecord, *, is_urgent: bool) -> None:
        """Add a changed record; replaces a waiting one of the same server."""
        self._pending_by_server.pop(record.server, None)
        self._pending_by_server[record.server] = _PendingRecord(
            record,
            is_urgent,
            self.limits.send_count,
        )
        if len(self._pending_by_server) > self.limits.queue_count:
            self._pending_by_server.pop(next(iter(self._pending_by_server)))

    def discard(self, server: ServerName) -> None:
        """Remove the waiting record of a server, if any."""
        self._pending_by_server.pop(server, None)

    def take(
        self,
        target_count: int,
        now_s: Seconds,
        *,
        urgent_only: bool,
    ) -> tuple[ServerRecord, ...]:
        """Return the records of one message to `target_count` members.

        The sends are counted; a record that was sent often enough is removed.

        Parameters
        ----------
        target_count : int
            Number of members that get the message.
        now_s : float
            Current time in seconds.
        urgent_only : bool
            Whether only urgent records are sent.

        Returns
        -------
        tuple of ServerRecord
            Urgent records first, then those that were sent least often; at
            most as many as the rate limit allows.
        """
        if not target_count:
            return ()
        chosen: list[ServerRecord] = []
        for pending in self._ordered(urgent_only=urgent_only):
            cost_bytes = target_count * record_size_bytes(pending.record)
            if not self._rate_limiter.take(cost_bytes, now_s):
                break
            chosen.append(pending.record)
            self._count_sends(pending, target_count)
        return tuple(chosen)

    def _ordered(self, *, urgent_only: bool) -> list[_PendingRecord]:
        waiting = (
            pending
            for pending in self._pending_by_server.values()
            if pending.is_urgent or not urgent_only
        )
        return sorted(
            waiting,
            key=lambda pending: (not pending.is_urgent, -pending.sends_left),
        )

    def _count_sends(self, pending: _PendingRecord, target_count: int) -> None:
        sends_left = pending.sends_left - target_count
        server = pending.record.server
        if sends_left > 0:
            self._pending_by_server[server] = replace(
                pending, sends_left=sends_left
            )
        else:
            self._pending_by_server.pop(server)


def choose_targets(
    hosts: Sequence[HostName],
    count: int,
    draw: Callable[[], float],
) -> tuple[HostName, ...]:
    """Return at most `count` different random hosts.

    Unlike with sorting by random numbers, the cost does not grow with the
    number of hosts.
    """
    if count >= len(hosts):
        return tuple(hosts)
    positions: set[int] = set()
    for _ in range(count):
        position = int(draw() * len(hosts))
        while position in positions:
            position = (position + 1) % len(hosts)
        positions.add(position)
    return tuple(hosts[position] for position in sorted(positions))
