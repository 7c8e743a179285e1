"""Options of the forwarding controllers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from boragespool.http import ResponseLimits

if TYPE_CHECKING:
    from boragespool.forwarding import RetryLimits
    from boragespool.types import Address, DataCentre, HostName, Region, Seconds


@dataclass(frozen=True, slots=True)
class ForwardingOptions:
    """Location and addresses of a daemon, and the limits for its work.

    Attributes
    ----------
    host, data_centre, region : str
        Name and location of the daemon.
    regions_by_data_centre : tuple of tuple of str
        Pairs of a data centre and its region.
    caller_address, directory_address, readiness_address : str
        ``ip:port`` on which the daemon accepts requests of callers, address
        queries of callers, and readiness checks. The last two may be empty,
        to accept none.
    control_address : str
        ``ip:port`` for metrics and the change feeds for other daemons; may be
        empty.
    seeds : tuple of str
        Control addresses of some daemons, which may be stale.
    host_prefix, configuration_prefix, registration_prefix : str
        Prefixes in the store of the keys of daemons, of the operators'
        configuration and of backend servers.
    retry_limits : RetryLimits
        Limit on retries and hedges over all daemons.
    stop_timeout_s : float
        Time limit of a graceful stop, in seconds.
    processor_cores : float
        Processing capacity of the host, in cores of the usual speed.
    connection_count : int
        Maximum number of connections of callers.
    lease_ttl_s : float
        Lifetime of the lease of the daemon's record, in seconds; a daemon that
        stops renewing it is no longer given to callers after this time.
    address_keep_s : float
        Time for which callers may cache addresses, in seconds.
    return_grace_s : float
        Grace period after an outage of the store, in seconds: registrations
        whose leases expired during the outage are renewed in it.
    registration_read_interval_s : float
        Minimum interval between reads of the registrations, in seconds, so
        that many servers that change at once cost one call.
    watch_wait_s : float
        Maximum time that a watch waits for a change, in seconds. It bounds
        the time until a dead connection to the store is detected, which must
        be before a change has to be in force.
    relay_wait_s : float
        Maximum time that a watch through another daemon waits for a change,
        in seconds. The other daemon renews its lease at least as often, to
        prove that it reaches the store.
    host_read_interval_s : float
        Minimum interval between reads of the records of daemons, in seconds,
        so that many daemons that start at once cost one call.
    configuration_read_interval_s : float
        Minimum interval between reads of the configuration, in seconds, so
        that versions in quick succession cost one call.
    hedge_quantile : float
        Quantile of the service times, 0 to 1, after which an attempt is
        hedged.
    response_limits : ResponseLimits
        Limits of the responses of backend servers.
    record_response_limits : ResponseLimits
        Limits of the responses of the store, and again of other daemons, from
        which registrations, configuration and records are read.
    """

    host: HostName
    data_centre: DataCentre
    region: Region
    regions_by_data_centre: tuple[tuple[DataCentre, Region], ...]
    caller_address: Address
    directory_address: Address
    readiness_address: Address
    control_address: Address
    seeds: tuple[Address, ...]
    host_prefix: str
    configuration_prefix: str
    registration_prefix: str
    retry_limits: RetryLimits
    stop_timeout_s: Seconds
    processor_cores: float = 1
    connection_count: int = 1500
    lease_ttl_s: Seconds = 3
    address_keep_s: Seconds = 2
    return_grace_s: Seconds = 2.5
    registration_read_interval_s: Seconds = 0.5
    watch_wait_s: Seconds = 4
    relay_wait_s: Seconds = 1
    host_read_interval_s: Seconds = 0.4
    configuration_read_interval_s: Seconds = 0.15
    hedge_quantile: float = 0.9
    response_limits: ResponseLimits = ResponseLimits()
    record_response_limits: ResponseLimits = ResponseLimits()

    def min_read_interval_s(self, prefix: str) -> Seconds:
        """Return the minimum interval between reads of a prefix, in seconds.

        It is 0 for a prefix without such an interval.
        """
        intervals_s_by_prefix = {
            self.host_prefix: self.host_read_interval_s,
            self.configuration_prefix: self.configuration_read_interval_s,
            self.registration_prefix: self.registration_read_interval_s,
        }
        return intervals_s_by_prefix.get(prefix, 0)
