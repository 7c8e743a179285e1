"""Messages of the membership gossip and the failure detector."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import (
    Address,
    DataCentre,
    HostName,
    Incarnation,
    MemberStatus,
    Region,
    Revision,
)


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """State of one daemon as known to its peers.

    Attributes
    ----------
    incarnation : int
        Wall-clock time at process start, in milliseconds.
    beat : int
        Version of the record within one incarnation. Changes of `load` and
        `revision` do not raise it.
    peer_address, caller_address : str
        ``ip:port`` on which the daemon listens for peers and for callers.
    load : float
        Smoothed number of requests in flight at the daemon.
    revision : int
        Configuration revision in force; 0 for none.
    successor : str
        Host that took over the witness records of a leaving daemon; empty if
        none did.
    """

    host: HostName
    incarnation: Incarnation
    beat: int
    status: MemberStatus
    data_centre: DataCentre
    region: Region
    peer_address: Address
    caller_address: Address
    load: float = 0
    revision: Revision = 0
    successor: HostName = ''


@dataclass(frozen=True, slots=True)
class Ping:
    """Request for an `Ack`, sent by the failure detector.

    Attributes
    ----------
    records : tuple of MemberRecord
        Gossip that is piggybacked on the ping.
    join : bool
        Whether the sender has just started and asks for all member records.
    """

    records: tuple[MemberRecord, ...] = ()
    join: bool = False


@dataclass(frozen=True, slots=True)
class Ack:
    """Reply to a `Ping` or a `PingRequest`.

    Attributes
    ----------
    reached : bool
        Whether the target of a `PingRequest` answered.
    records : tuple of MemberRecord
        Gossip that is piggybacked on the reply.
    """

    reached: bool = True
    records: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Request to ping a third daemon (indirect ping)."""

    target: HostName


@dataclass(frozen=True, slots=True)
class Gossip:
    """One-way message with member records."""

    records: tuple[MemberRecord, ...]
