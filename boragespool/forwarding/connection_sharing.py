"""Division of the connections of backend servers between the daemons.

Answers the load of many daemons that share servers with few connections each.
A server belongs to the daemons of its region first, since the others ask it
only if the servers near them are slow or lost. All daemons with the same
records divide alike, without messages between them.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.forwarding.hosts import caller_hosts_by_data_centre

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from boragespool.forwarding.hosts import HostRecord
    from boragespool.types import HostName, Region, Seconds

#: Fraction of a backend server's capacity that is divided between the daemons
#: of its own region; the other daemons divide the rest.
_NEAR_RATIO: Final = 0.6
#: Fraction of the rate limit of a backend server for the daemons of its region,
#: which send most requests to it; the other daemons divide the rest.
_NEAR_RATE_RATIO: Final = 0.75
#: Fraction of the rate limit for the daemons that take callers, if others do
#: not. Those keep the rest for callers that have not left them yet.
_TAKING_RATE_RATIO: Final = 0.8
#: Maximum idle time of a connection of a daemon that takes no callers, in
#: seconds: a retry of the same caller still finds it.
_SPARE_IDLE_S: Final = 1


@dataclass(frozen=True, slots=True)
class SharingDaemons:
    """Daemons that divide connections and the retry allowance.

    Attributes
    ----------
    count_by_region : mapping of str to int
        Number of these daemons in each region.
    takes_callers : bool
        Whether the daemon that divides with them takes callers.
    all_take_callers : bool
        Whether there are no other daemons.
    """

    count_by_region: Mapping[Region, int]
    takes_callers: bool = True
    all_take_callers: bool = True

    @property
    def max_idle_s(self) -> Seconds:
        """Time for which the daemon may keep idle connections, in seconds.

        Answers the load of single requests to each of many daemons: if all of
        them kept a connection to each server, servers would reset those of
        the daemons that take callers.
        """
        return math.inf if self.takes_callers else _SPARE_IDLE_S

    @property
    def count(self) -> int:
        """Number of these daemons, at least 1."""
        return max(1, sum(self.count_by_region.values()))

    def near_count(self, region: Region) -> int:
        """Return the number of these daemons in a region, at least 1."""
        return max(1, self.count_by_region.get(region, 0))

    def connection_ratio(
        self, server_region: Region, own_region: Region
    ) -> float:
        """Return the fraction of a server's connections for one daemon.

        Parameters
        ----------
        server_region, own_region : str
            Regions of the server and of the daemon.
        """
        near_count = self.near_count(server_region)
        if server_region == own_region:
            return _NEAR_RATIO / near_count
        return (1 - _NEAR_RATIO) / max(1, self.count - near_count)

    def rate_ratio(self, server_region: Region, own_region: Region) -> float:
        """Return the fraction of a server's rate limit for one daemon.

        The fractions of all daemons add up to at most 1.

        Parameters
        ----------
        server_region, own_region : str
            Regions of the server and of the daemon.
        """
        group_ratio = 1.0
        if not self.all_take_callers:
            group_ratio = (
                _TAKING_RATE_RATIO
                if self.takes_callers
                else 1 - _TAKING_RATE_RATIO
            )
        near_count = self.count_by_region.get(server_region, 0)
        far_count = self.count - near_count
        if not near_count or not far_count:
            return group_ratio / self.count
        if server_region == own_region:
            return group_ratio * _NEAR_RATE_RATIO / near_count
        return group_ratio * (1 - _NEAR_RATE_RATIO) / far_count


def sharing_daemons(
    records: Iterable[HostRecord], host: HostName
) -> SharingDaemons:
    """Return the daemons with which one daemon divides.

    These are the daemons that take callers. A daemon that takes none keeps the
    part of a division between all daemons, for callers that have not left it
    yet.

    Parameters
    ----------
    records : iterable of HostRecord
        Daemons that accept requests.
    host : str
        Name of the daemon's host.
    """
    known = tuple(records)
    taking = tuple(
        record
        for group in caller_hosts_by_data_centre(known).values()
        for record in group
    )
    takes_callers = any(record.host == host for record in taking)
    sharing = taking if takes_callers else known
    return SharingDaemons(
        Counter(record.region for record in sharing),
        takes_callers,
        len(taking) == len(known),
    )
