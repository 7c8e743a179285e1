"""The answer to callers that ask for addresses."""

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
    """Return caller addresses, the caller's data centre first.

    Parameters
    ----------
    members : iterable of MemberRecord
        Members known; only alive ones are chosen. Those without a revision
        in force are not ready and are chosen only if there is nobody else.
    data_centre : str
        Where the caller is; it may be unknown.
    count : int
        Addresses wanted.
    draw : callable
        Returns a random number in ``[0, 1)``.
    excluded : frozenset of str
        Hosts that the platform reports as leaving. They are chosen if they
        are more than half of the alive members, because the platform's list
        lags: it can still name hosts that were restarted since.

    Returns
    -------
    tuple of str
        At most `count` different addresses. With two or more addresses the
        last one is in another data centre if there is one, so that callers
        keep a usable address when they lose their own data centre.

    Notes
    -----
    Inside one group each address is the less loaded of two random ones:
    Mitzenmacher, "The power of two choices in randomized load balancing",
    IEEE Transactions on Parallel and Distributed Systems, 2001.
    """
    alive = [
        member for member in members if member.status == MemberStatus.ALIVE
    ]
    usable = [member for member in alive if member.host not in excluded]
    if 2 * len(usable) < len(alive):
        usable = alive
    ready = [member for member in usable if member.revision]
    nearest = _from_nearest(ready or usable, data_centre, count, draw)
    return tuple(member.caller_address for member in nearest)


def _from_nearest(
    alive: list[MemberRecord],
    data_centre: DataCentre,
    count: int,
    draw: Callable[[], float],
) -> list[MemberRecord]:
    """Choose from the own data centre, then its region, then the rest."""
    local = [member for member in alive if member.data_centre == data_centre]
    regions = {member.region for member in local}
    near: list[MemberRecord] = []
    far: list[MemberRecord] = []
    for member in alive:
        if member.data_centre != data_centre:
            (near if member.region in regions else far).append(member)
    remote = [
        *_less_loaded(near, count, draw),
        *_less_loaded(far, count, draw),
    ]
    reserved = 1 if remote and count > 1 else 0
    chosen = _less_loaded(local, count - reserved, draw)
    return chosen + remote[: count - len(chosen)]


def _less_loaded(
    members: list[MemberRecord],
    count: int,
    draw: Callable[[], float],
) -> list[MemberRecord]:
    """Take the less loaded of two random members, `count` times."""
    left = sorted(members, key=lambda member: member.host)
    chosen: list[MemberRecord] = []
    while left and len(chosen) < count:
        first = left[int(draw() * len(left))]
        second = left[int(draw() * len(left))]
        better = min(first, second, key=lambda member: member.load)
        left.remove(better)
        chosen.append(better)
    return chosen
