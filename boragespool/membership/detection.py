"""Whom to ping and when to give up on a member.

Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style
process group membership protocol", DSN 2002.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragespool.types import HostName, Seconds

_BASE: int = 10


@dataclass(frozen=True, slots=True)
class PingRound:
    """One round of pings.

    Attributes
    ----------
    remaining : tuple of str
        Hosts still to ping in this round, next one last.
    round_hosts : frozenset of str
        Hosts that were placed in this round.
    """

    remaining: tuple[HostName, ...] = ()
    round_hosts: frozenset[HostName] = frozenset()


def next_target(
    order: PingRound,
    candidates: frozenset[HostName],
    draw: Callable[[], float],
) -> tuple[HostName | None, PingRound]:
    """Return the next host to ping and the order after it.

    Parameters
    ----------
    order : PingRound
        Round under way.
    candidates : frozenset of str
        Members that may be pinged.
    draw : callable
        Returns a random number in ``[0, 1)``.

    Returns
    -------
    str or None, PingRound
        None if there is no candidate.

    Notes
    -----
    A new member is placed at a random position of the running round, so that
    it is pinged as soon as the others on average.
    """
    remaining = [host for host in order.remaining if host in candidates]
    for host in sorted(candidates - order.round_hosts):
        remaining.insert(int(draw() * (len(remaining) + 1)), host)
    round_hosts = order.round_hosts | candidates
    if not remaining:
        remaining = list(choose_random_hosts(candidates, len(candidates), draw))
        round_hosts = candidates
    target = remaining.pop() if remaining else None
    return target, PingRound(tuple(remaining), round_hosts)


def choose_random_hosts(
    hosts: Iterable[HostName],
    count: int,
    draw: Callable[[], float],
) -> tuple[HostName, ...]:
    """Return at most `count` hosts in random order."""
    drawn = sorted((draw(), host) for host in sorted(hosts))
    return tuple(host for _, host in drawn[:count])


def suspicion_time_s(suspicion_s: Seconds, member_count: int) -> Seconds:
    """Return how long a suspect may refute, in seconds.

    The time that a suspicion and its refutation need to spread grows with
    the logarithm of the member count.
    """
    return suspicion_s * max(1, math.log(max(1, member_count), _BASE))
