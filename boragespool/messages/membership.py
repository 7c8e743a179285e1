"""Gossip and failure detection."""

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
    """What is known about one daemon.

    Attributes
    ----------
    incarnation : int
        Wall time at process start in milliseconds.
    beat : int
        Counts changes of the record within one incarnation.
    load : float
        Requests in flight at the daemon, smoothed.
    revision : int
        Revision in force; 0 for none.
    successor : str
        Host that took over the witness records of a leaving daemon.
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
    """Asks a daemon for an `Ack`; carries records on the side.

    With `join` a daemon that has just started asks for the whole view.
    """

    records: tuple[MemberRecord, ...] = ()
    join: bool = False


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a `Ping` or a `PingRequest`."""

    reached: bool = True
    records: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a daemon to ping another one."""

    target: HostName


@dataclass(frozen=True, slots=True)
class Gossip:
    """Spreads member records without an answer."""

    records: tuple[MemberRecord, ...]
