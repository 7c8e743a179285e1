"""Bound on the members that one daemon keeps."""

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
    """Return the hosts of one other data centre that a daemon keeps.

    Parameters
    ----------
    own_host : str
        The daemon that keeps them. Different daemons keep different ones.
    data_centre : str
        The other data centre.
    members_by_host : mapping of str to MemberRecord
        Members known. Dead ones are no candidates.
    remote_count : int
        Hosts to keep.

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
    """Tell whether a daemon keeps a member that it did not know before."""
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
