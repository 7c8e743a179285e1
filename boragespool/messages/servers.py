"""What dispatchers tell their peers about backend servers."""

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
    """Key ranges ``[start, end)`` of one index version on one server."""

    version: IndexVersion
    ranges: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A backend server as its dispatcher last saw it.

    Attributes
    ----------
    sequence : int
        Counts the changes of this server's record. A dispatcher that takes
        the server over continues above the record that it knows.
    limit : int
        Requests that the dispatcher would run at the same time.
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
    """Spreads server records to peers.

    Attributes
    ----------
    is_repair : bool
        Whether the records were sent after a comparison of digests. They
        are not passed on, as most daemons have them.
    """

    records: tuple[ServerRecord, ...]
    is_repair: bool = False


@dataclass(frozen=True, slots=True)
class ServerDigest:
    """Asks a peer to compare the records of all servers.

    Attributes
    ----------
    hashes : bytes
        Four bytes for each group of servers.
    """

    hashes: bytes


@dataclass(frozen=True, slots=True)
class ServerVersions:
    """Answer to a digest: versions in some groups that differ.

    Attributes
    ----------
    groups : tuple of int
        Groups of the digest that were compared; empty if all agree.
    versions : bytes
        Sixteen bytes for each record in these groups.
    """

    groups: tuple[int, ...]
    versions: bytes


@dataclass(frozen=True, slots=True)
class ServersWanted:
    """Asks a peer for the records of some servers, given by their keys."""

    keys: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ServerPageRequest:
    """Asks a peer for the records of the groups from one on.

    Attributes
    ----------
    group : int
        First group.
    """

    group: int


@dataclass(frozen=True, slots=True)
class ServerPage:
    """Records of some groups.

    Attributes
    ----------
    next_group : int
        First group that is not in this page; the number of groups at the end.
    """

    records: tuple[ServerRecord, ...]
    next_group: int


@dataclass(frozen=True, slots=True)
class SuspectNotice:
    """Tells peers that a backend server was lost with this work in flight.

    Attributes
    ----------
    loss_id : str
        Names the loss, so that a loss reported twice counts once:
        ``server@incarnation``.
    cleared : bool
        True if an operator cleared the fingerprint.
    alone : bool
        Whether the work ran alone on the server as a suspect.
    """

    fingerprint: int
    loss_id: str
    cleared: bool = False
    alone: bool = False


@dataclass(frozen=True, slots=True)
class SuspectNoticeAck:
    """Tells the sender of a notice that this daemon knows the loss."""
