"""Chooses daemon addresses for callers by location and load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragespool.messages import MemberRecord
    from boragespool.types import Address, DataCentre, HostName


def choose_addresses(
    members: Iterable[MemberRecord],
    data_centre: DataCentre,
    count: int,
    draw: Callable[[], float],
    excluded: frozenset[HostName],
) -> tuple[Address, ...]:
    """Return daemon addresses for a caller, its own data centre first.

    Parameters
    ----------
    members : iterable of MemberRecord
        Known members; only alive ones are chosen. Members without a settings
        revision in force are not ready; they are chosen only if no member
        is ready.
    data_centre : str
        Data centre of the caller; it may be one without members.
    count : int
        Maximum number of addresses.
    draw : callable
        Returns a random number in ``[0, 1)``.
    excluded : frozenset of str
        Hosts that the platform reports as leaving; they are not chosen. The
        exclusion is ignored if it covers more than half of the alive
        members, because the platform's list lags: it can still name hosts
        that have been restarted since.

    Returns
    -------
    tuple of str
        At most `count` different addresses. If `count` is 2 or more and
        another data centre has members, the last address is in another data
        centre, so that callers keep a usable address when their own data
        centre fails.

    Notes
    -----
    Among the members of the same distance, each address is the less loaded of
    two random ones: Mitzenmacher, "The power of two choices in randomized load
    balancing", IEEE Transactions on Parallel and Distributed Systems, 2001.
    """
    alive = [
        member for member in members if member.status == MemberStatus.ALIVE
    ]
    usable = [member for member in alive if member.host not in excluded]
    if 2 * len(usable) < len(alive):
        usable = alive
    ready = [member for member in usable if member.revision]
    nearest = _choose_by_distance(ready or usable, data_centre, count, draw)
    return tuple(member.caller_address for member in nearest)


def _choose_by_distance(
    alive: list[MemberRecord],
    data_centre: DataCentre,
    count: int,
    draw: Callable[[], float],
) -> list[MemberRecord]:
    """Choose from the caller's data centre, its region, then elsewhere."""
    local = [member for member in alive if member.data_centre == data_centre]
    regions = {member.region for member in local}
    same_region: list[MemberRecord] = []
    other_regions: list[MemberRecord] = []
    for member in alive:
        if member.data_centre != data_centre:
            (same_region if member.region in regions else other_regions).append(
                member
            )
    remote = [
        *_choose_less_loaded(same_region, count, draw),
        *_choose_less_loaded(other_regions, count, draw),
    ]
    reserved_count = 1 if remote and count > 1 else 0
    chosen = _choose_less_loaded(local, count - reserved_count, draw)
    return chosen + remote[: count - len(chosen)]


def _choose_less_loaded(
    members: list[MemberRecord],
    count: int,
    draw: Callable[[], float],
) -> list[MemberRecord]:
    """Choose the less loaded of two random members, `count` times."""
    candidates = sorted(members, key=lambda member: member.host)
    chosen: list[MemberRecord] = []
    while candidates and len(chosen) < count:
        first = candidates[int(draw() * len(candidates))]
        second = candidates[int(draw() * len(candidates))]
        better = min(first, second, key=lambda member: member.load)
        candidates.remove(better)
        chosen.append(better)
    return chosen
