"""Rendezvous (highest random weight) hashing over live members.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking, 1998. When a member leaves, only the
names that were assigned to it move.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from boragespool.messages import MemberRecord
    from boragespool.types import DataCentre, HostName, ServerName


def highest_weight_hosts(
    name: str,
    hosts: Iterable[HostName],
    count: int,
) -> tuple[HostName, ...]:
    """Return the hosts with the highest weights for a name.

    Parameters
    ----------
    name : str
        Name to assign, such as that of a server.
    hosts : iterable of str
        Candidates.
    count : int
        Number of hosts to return.

    Returns
    -------
    tuple of str
        At most `count` hosts, highest weight first.
    """
    ordered = sorted(
        hosts,
        key=lambda host: (host_weight(name, host), host),
        reverse=True,
    )
    return tuple(ordered[:count])


def host_weight(name: str, host: HostName) -> int:
    """Return the 64-bit weight of a host for a name."""
    return xxhash.xxh64_intdigest(f'{name}|{host}'.encode())


def dispatcher_of(
    server: ServerName,
    data_centre: DataCentre,
    members_by_host: Mapping[HostName, MemberRecord],
) -> HostName | None:
    """Return the daemon that dispatches to a backend server.

    Parameters
    ----------
    server : str
        Backend server.
    data_centre : str
        Data centre of the server; members there are preferred.
    members_by_host : mapping of str to MemberRecord
        Known members. Only members that are alive, or suspect and may still
        refute that they failed, are candidates.

    Returns
    -------
    str or None
        Host of the daemon; None if there is no candidate.
    """
    candidates = [
        member
        for member in members_by_host.values()
        if member.status in {MemberStatus.ALIVE, MemberStatus.SUSPECT}
    ]
    local = [
        member for member in candidates if member.data_centre == data_centre
    ]
    chosen = highest_weight_hosts(
        server,
        (member.host for member in local or candidates),
        count=1,
    )
    return chosen[0] if chosen else None
