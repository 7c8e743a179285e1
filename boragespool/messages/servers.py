"""Messages about backend servers.

The daemon that sends work to a backend server is the server's dispatcher. It
announces the record of the server, and daemons repair missed announcements by
an exchange of digests.
"""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import (
    DataCentre,
    HostName,
    Incarnation,
    IndexVersion,
    ServerName,
    ServerState,
    ServiceName,
)


@dataclass(frozen=True, slots=True)
class Holding:
    """Key ranges of one index version that a server holds.

    Attributes
    ----------
    ranges : tuple of (int, int)
        Ranges ``[start, end)`` of hashed keys.
    """

    version: IndexVersion
    ranges: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """State of a backend server as last seen by its dispatcher.

    Attributes
    ----------
    sequence : int
        Version of the record, increased by each change. A daemon that becomes
        the dispatcher continues above the highest version that it knows.
    incarnation : int
        Incarnation of the backend server.
    limit : int
        Maximum number of requests that the dispatcher runs on the server at
        the same time.
    holdings : tuple of Holding
        Index versions and key ranges that the server holds.
    """

    server: ServerName
    service: ServiceName
    data_centre: DataCentre
    dispatcher: HostName
    dispatcher_incarnation: Incarnation
    sequence: int
    incarnation: Incarnation
    state: ServerState
    limit: int
    holdings: tuple[Holding, ...] = ()


@dataclass(frozen=True, slots=True)
class ServerAnnouncement:
    """One-way message with server records.

    Attributes
    ----------
    is_repair : bool
        Whether the records were sent after a comparison of digests. The
        receiver does not forward such records, because most daemons have
        them.
    """

    records: tuple[ServerRecord, ...]
    is_repair: bool = False


@dataclass(frozen=True, slots=True)
class ServerDigest:
    """Request to compare the records of all servers.

    Attributes
    ----------
    hashes : bytes
        Hash of the records of each group of servers, 4 bytes per group.
    """

    hashes: bytes


@dataclass(frozen=True, slots=True)
class ServerVersions:
    """Reply to `ServerDigest`: record versions of groups that differ.

    Attributes
    ----------
    groups : tuple of int
        Groups whose hash differs, or some of them; empty if all are equal.
    versions : bytes
        Versions of the records in these groups, 16 bytes per record.
    """

    groups: tuple[int, ...]
    versions: bytes


@dataclass(frozen=True, slots=True)
class ServersWanted:
    """Request for the records of some servers.

    The peer sends them in a `ServerAnnouncement`.

    Attributes
    ----------
    keys : tuple of int
        Hashed names of the servers.
    """

    keys: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ServerPageRequest:
    """Request for a page of the records of all servers.

    Attributes
    ----------
    group : int
        Group with which the page begins.
    """

    group: int


@dataclass(frozen=True, slots=True)
class ServerPage:
    """Reply to `ServerPageRequest` with the records of consecutive groups.

    Attributes
    ----------
    next_group : int
        Group with which the next page begins; the number of groups if this is
        the last page.
    """

    records: tuple[ServerRecord, ...]
    next_group: int


@dataclass(frozen=True, slots=True)
class SuspectNotice:
    """Notice that a backend server was lost while it ran a request.

    Attributes
    ----------
    fingerprint : int
        xxhash of route and body of the request.
    loss_id : str
        Identifies the loss as ``server@incarnation``, so that a loss reported
        twice counts once.
    cleared : bool
        Whether an operator cleared the fingerprint.
    alone : bool
        Whether the request was already a suspect and ran alone on the server.
    """

    fingerprint: int
    loss_id: str
    cleared: bool = False
    alone: bool = False


@dataclass(frozen=True, slots=True)
class SuspectNoticeAck:
    """Reply to `SuspectNotice`: the loss is recorded."""
