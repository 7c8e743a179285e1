"""Partial view: which members of other data centres a daemon keeps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.routing import highest_weight_hosts
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.messages import MemberRecord
    from boragespool.types import DataCentre, HostName


def kept_hosts(
    own_host: HostName,
    data_centre: DataCentre,
    members_by_host: Mapping[HostName, MemberRecord],
    remote_count: int,
) -> frozenset[HostName]:
    """Return the hosts of another data centre that a daemon keeps.

    The choice is by rendezvous hashing, so that different daemons keep
    different hosts.

    Parameters
    ----------
    own_host : str
        Host of the daemon that keeps them.
    data_centre : str
        Name of the other data centre.
    members_by_host : mapping of str to MemberRecord
        Known members; dead ones are not chosen.
    remote_count : int
        Maximum number of hosts to keep.

    Returns
    -------
    frozenset of str
        At most `remote_count` hosts.
    """
    hosts = (
        member.host
        for member in members_by_host.values()
        if member.data_centre == data_centre
        and member.status != MemberStatus.DEAD
    )
    return frozenset(highest_weight_hosts(own_host, hosts, remote_count))


def is_kept(
    own: MemberRecord,
    member: MemberRecord,
    members_by_host: Mapping[HostName, MemberRecord],
    remote_count: int,
) -> bool:
    """Return whether a daemon keeps a member that it did not know before.

    All members of its own data centre are kept.
    """
    if member.data_centre == own.data_centre:
        return True
    candidates = {**members_by_host, member.host: member}
    kept = kept_hosts(
        own.host,
        member.data_centre,
        candidates,
        remote_count,
    )
    return member.host in kept
