"""Losses of backend servers, as daemons report them to each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.types import HostName


@dataclass(frozen=True, slots=True)
class LossNotice:
    """Loss of a server with a request in flight.

    Attributes
    ----------
    fingerprint : int
        Fingerprint of the request, see `RequestIdentity`.
    loss_id : str
        Identifies the loss; the daemons agree on it if the server states when
        it started.
    alone : bool
        Whether the request was a suspect already, and the only one with its
        base that the daemon had sent.
    base : int
        Base of the request; 0 in reports of daemons that do not state it.
    parts : tuple of int
        Parts of the request, in ascending order.
    """

    fingerprint: int
    loss_id: str
    alone: bool = False
    base: int = 0
    parts: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class LossReport:
    """Losses that the daemon on one host saw."""

    host: HostName
    notices: tuple[LossNotice, ...]
