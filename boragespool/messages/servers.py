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
        Counts changes within one dispatcher incarnation.
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
    """Spreads server records to peers."""

    records: tuple[ServerRecord, ...]


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
