"""Registrations of the backend servers, as they are read from the registry.

An older registration of a server may arrive after a newer one, and is
ignored. Registrations that expire while the registry is unavailable stay in
use until a grace period after it is available again has ended.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.types import (
        Address,
        DataCentre,
        Seconds,
        ServerName,
        ServiceName,
    )

#: Time for which the order key of a removed registration is kept, in seconds,
#: to recognise late copies of it, which arrive within a few heartbeats.
_REMOVED_RETENTION_S: Final = 120


@dataclass(frozen=True, slots=True)
class Registration:
    """Registration of one backend server.

    Attributes
    ----------
    slots : int
        Number of requests that the server runs concurrently.
    draining : bool
        Whether the server takes no new requests because it is about to stop.
    warm_up_s : float
        Remaining time for which the server is slow after its start, in
        seconds.
    started_at_ms : int
        Unix time of the server's start, in milliseconds; 0 if unknown.
    sequence : int
        Number of the registration since the server's start.
    """

    server: ServerName
    service: ServiceName
    address: Address
    data_centre: DataCentre
    slots: int
    draining: bool
    warm_up_s: Seconds
    started_at_ms: int
    sequence: int

    @property
    def order_key(self) -> tuple[int, int]:
        """Sort key that orders the registrations of one server by age."""
        return (self.started_at_ms, self.sequence)

    @property
    def without_heartbeat_fields(self) -> Registration:
        """Copy in which the fields that each heartbeat changes are 0."""
        return replace(self, sequence=0, warm_up_s=0)


@dataclass(frozen=True, slots=True)
class RegistrationChanges:
    """Registrations that differ between two states of the table."""

    added: tuple[Registration, ...] = ()
    changed: tuple[Registration, ...] = ()
    removed: tuple[Registration, ...] = ()


class RegistrationTable:
    """Current registrations by server.

    Parameters
    ----------
    return_grace_s : float
        Grace period after the registry has become available again, in
        seconds. Backend servers renew their expired registrations in this
        time, so that none is removed before its end.

    Attributes
    ----------
    registrations_by_server : dict of str to Registration
        Current registrations.
    """

    def __init__(self, return_grace_s: Seconds) -> None:
        """Create an empty table."""
        self.registrations_by_server: dict[ServerName, Registration] = {}
        self._return_grace_s = return_grace_s
        self._newest_by_server: dict[
            ServerName, tuple[tuple[int, int], Seconds]
        ] = {}

    def update(
        self,
        listed_by_server: Mapping[ServerName, Registration],
        now_s: Seconds,
        returned_at_s: Seconds,
    ) -> None:
        """Update the table from the current contents of the registry.

        Parameters
        ----------
        listed_by_server : mapping of str to Registration
            Registrations in the registry that could be decoded.
        now_s : float
            Present time on the clock of the timer service.
        returned_at_s : float
            Time at which the registry last became available again, on the
            same clock; ``-inf`` if it was never unavailable.
        """
        grace_end_s = returned_at_s + self._return_grace_s
        for server, listed in listed_by_server.items():
            self._accept_newer(server, listed, now_s)
        for server in tuple(self.registrations_by_server):
            if server not in listed_by_server and now_s >= grace_end_s:
                del self.registrations_by_server[server]
        self._forget_removed(now_s)

    def _accept_newer(
        self,
        server: ServerName,
        listed: Registration,
        now_s: Seconds,
    ) -> None:
        newest = self._newest_by_server.get(server)
        if newest is not None:
            if listed.order_key < newest[0]:
                return
            is_repeated = listed.order_key == newest[0]
            if is_repeated and server not in self.registrations_by_server:
                return
        self._newest_by_server[server] = (listed.order_key, now_s)
        self.registrations_by_server[server] = listed

    def _forget_removed(self, now_s: Seconds) -> None:
        """Drop the order keys of servers that were removed long ago."""
        oldest_s = now_s - _REMOVED_RETENTION_S
        for server, (_, seen_s) in tuple(self._newest_by_server.items()):
            if server not in self.registrations_by_server and seen_s < oldest_s:
                del self._newest_by_server[server]


def diff_registrations(
    before: Mapping[ServerName, Registration],
    after: Mapping[ServerName, Registration],
) -> RegistrationChanges:
    """Return the registrations that were added, changed and removed."""
    return RegistrationChanges(
        tuple(after[name] for name in after if name not in before),
        tuple(
            after[name]
            for name in after
            if name in before and after[name] != before[name]
        ),
        tuple(before[name] for name in before if name not in after),
    )
