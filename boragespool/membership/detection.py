"""Failure detection: order of pings and suspicion timeout.

Follows SWIM: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
infection-style process group membership protocol", DSN 2002.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragespool.types import HostName, Seconds

_SUSPICION_LOG_BASE: int = 10


@dataclass(frozen=True, slots=True)
class PingRound:
    """State of a round in which each member is pinged once.

    Attributes
    ----------
    remaining_hosts : tuple of str
        Hosts still to ping in this round; the last one is the next target.
    round_hosts : frozenset of str
        All hosts that were given a position in this round.
    """

    remaining_hosts: tuple[HostName, ...] = ()
    round_hosts: frozenset[HostName] = frozenset()


def next_target(
    ping_round: PingRound,
    candidates: frozenset[HostName],
    draw: Callable[[], float],
) -> tuple[HostName | None, PingRound]:
    """Return the next host to ping and the state of the round after it.

    Parameters
    ----------
    ping_round : PingRound
        Current round.
    candidates : frozenset of str
        Members to ping; hosts that are missing here are skipped.
    draw : callable
        Returns a random number in ``[0, 1)``.

    Returns
    -------
    str or None, PingRound
        The host is None if there are no candidates.

    Notes
    -----
    A new member is inserted at a random position of the current round, so
    that on average it is pinged as soon as the others.
    """
    remaining_hosts = [
        host for host in ping_round.remaining_hosts if host in candidates
    ]
    for host in sorted(candidates - ping_round.round_hosts):
        remaining_hosts.insert(int(draw() * (len(remaining_hosts) + 1)), host)
    round_hosts = ping_round.round_hosts | candidates
    if not remaining_hosts:
        remaining_hosts = list(
            choose_random_hosts(candidates, len(candidates), draw)
        )
        round_hosts = candidates
    target = remaining_hosts.pop() if remaining_hosts else None
    return target, PingRound(tuple(remaining_hosts), round_hosts)


def choose_random_hosts(
    hosts: Iterable[HostName],
    count: int,
    draw: Callable[[], float],
) -> tuple[HostName, ...]:
    """Return at most `count` hosts in random order."""
    drawn = sorted((draw(), host) for host in sorted(hosts))
    return tuple(host for _, host in drawn[:count])


def suspicion_timeout_s(suspicion_s: Seconds, member_count: int) -> Seconds:
    """Return the time that a suspected member has to refute, in seconds.

    The timeout grows with the logarithm of the member count, as does the time
    in which a suspicion and its refutation spread.
    """
    return suspicion_s * max(
        1, math.log(max(1, member_count), _SUSPICION_LOG_BASE)
    )
