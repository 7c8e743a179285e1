"""What backend servers say of themselves, and when it is believed.

A registration may be overtaken by an older one of the same server, and may
lapse while the registry is unavailable.
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

#: Time for which the last number of a removed registration is kept, in
#: seconds; late copies of it arrive within a few heartbeats.
_MEMORY_S: Final = 120


@dataclass(frozen=True, slots=True)
class Registration:
    """Registration of one backend server.

    Attributes
    ----------
    slots : int
        Requests that it runs at the same time.
    draining : bool
        Whether it takes no new work because it is about to stop.
    warm_up_s : float
        Time for which it is still slow after its start, in seconds.
    started_at_ms : int
        Wall time of its start; 0 if it does not say.
    sequence : int
        Counts its registrations since its start.
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
        """Order of the registrations of one server."""
        return (self.started_at_ms, self.sequence)

    @property
    def without_heartbeat_fields(self) -> Registration:
        """The registration without what every heartbeat changes."""
        return replace(self, sequence=0, warm_up_s=0)


@dataclass(frozen=True, slots=True)
class RegistrationChanges:
    """Difference between two states of the table."""

    added: tuple[Registration, ...] = ()
    changed: tuple[Registration, ...] = ()
    removed: tuple[Registration, ...] = ()


class RegistrationTable:
    """Registrations in force, by server.

    Parameters
    ----------
    return_grace_s : float
        Time after the return of the registry in which lapsed registrations
        are renewed, in seconds.
    """

    def __init__(self, return_grace_s: Seconds) -> None:
        """Start without servers."""
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
        """Take over the registry's present list.

        Parameters
        ----------
        listed_by_server : mapping of str to Registration
            Readable registrations.
        returned_at_s : float
            Time at which the registry last became available again, on the
            clock of `now_s`; ``-inf`` if it never was unavailable.
        """
        grace_end_s = returned_at_s + self._return_grace_s
        for server, listed in listed_by_server.items():
            self._accept(server, listed, now_s)
        for server in tuple(self.registrations_by_server):
            if server not in listed_by_server and now_s >= grace_end_s:
                del self.registrations_by_server[server]
        self._forget(now_s)

    def _accept(
        self,
        server: ServerName,
        listed: Registration,
        now_s: Seconds,
    ) -> None:
        newest = self._newest_by_server.get(server)
        if newest is not None:
            if listed.order_key < newest[0]:
                return
            is_late_copy = listed.order_key == newest[0]
            if is_late_copy and server not in self.registrations_by_server:
                return
        self._newest_by_server[server] = (listed.order_key, now_s)
        self.registrations_by_server[server] = listed

    def _forget(self, now_s: Seconds) -> None:
        """Drop the numbers of servers that are gone for long."""
        oldest_s = now_s - _MEMORY_S
        for server, (_, seen_s) in tuple(self._newest_by_server.items()):
            if server not in self.registrations_by_server and seen_s < oldest_s:
                del self._newest_by_server[server]


def diff_registrations(
    before: Mapping[ServerName, Registration],
    after: Mapping[ServerName, Registration],
) -> RegistrationChanges:
    """Return the difference between two states, by server."""
    return RegistrationChanges(
        tuple(after[name] for name in after if name not in before),
        tuple(
            after[name]
            for name in after
            if name in before and after[name] != before[name]
        ),
        tuple(before[name] for name in before if name not in after),
    )
