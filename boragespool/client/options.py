"""Options of the client library."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.types import Address, CallerName, DataCentre, Seconds


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """Options of a `Client`.

    Attributes
    ----------
    caller : str
        Name of the caller, by which daemons share capacity fairly.
    addresses : tuple of str
        ``ip:port`` of some daemons, used to fetch the current addresses.
    data_centre : str
        Data centre of the caller; empty to let the daemon choose.
    connection_count : int
        Maximum number of concurrent requests.
    connect_timeout_s : float
        Longest time for a TCP handshake, in seconds.
    address_timeout_s : float
        Longest time for one request of addresses, in seconds.
    attempt_share : float
        Fraction of the time left, 0 to 1, that one attempt may use. The rest
        is reserved for a resend after a timeout.
    network_margin_s : float
        Round-trip time of the network, in seconds. The deadline sent to the
        daemon is this much earlier than the timeout of the attempt.
    query_attempts : int
        Maximum number of addresses to which a query is sent.
    ticket_count : int
        Number of tickets requested at a time.
    ticket_limit : int
        Maximum number of unused tickets kept.
    ticket_age_s : float
        Age after which an unused ticket is discarded, in seconds.
    tickets_per_claim : int
        Maximum number of tickets with which a claim is sent. The next one is
        used only after run state `not_run` for the one before.
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
