"""Settings of the library for callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.types import Address, CallerName, DataCentre, Seconds


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """What one `Client` needs to know.

    Attributes
    ----------
    caller : str
        Name under which the tier gives this caller its fair share.
    addresses : tuple of str
        ``ip:port`` of some daemons, asked for current addresses.
    data_centre : str
        Data centre of the caller; empty to let the daemon choose.
    connection_count : int
        Requests at the same time.
    connect_timeout_s : float
        Longest time for a TCP handshake, in seconds.
    address_timeout_s : float
        Longest time for one address answer, in seconds.
    attempt_share : float
        Share of the time left, 0 to 1, that one attempt may use. The rest is
        kept for a resend after a timeout.
    network_margin_s : float
        Time for both directions of the network, in seconds; an attempt asks
        the daemon for its answer this much earlier.
    query_attempts : int
        Addresses to which one query is sent at most.
    ticket_count : int
        Tickets fetched at a time.
    ticket_limit : int
        Unused tickets kept at most.
    ticket_age_s : float
        Age at which an unused ticket is thrown away, in seconds.
    tickets_per_claim : int
        Tickets under which one claim is sent, one after another, each after
        a `not_run` for the one before.
    avoid_s : float
        Time for which an address is avoided after a failure, in seconds.
    """

    caller: CallerName
    addresses: tuple[Address, ...]
    data_centre: DataCentre = ''
    connection_count: int = 64
    connect_timeout_s: Seconds = 0.3
    address_timeout_s: Seconds = 0.25
    attempt_share: float = 0.6
    network_margin_s: Seconds = 0.01
    query_attempts: int = 3
    ticket_count: int = 8
    ticket_limit: int = 32
    ticket_age_s: Seconds = 30
    tickets_per_claim: int = 4
    avoid_s: Seconds = 1
