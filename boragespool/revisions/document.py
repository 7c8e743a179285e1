"""The value that the platform's store holds for the configuration."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.settings import Settings
from boragespool.types import Revision


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One change of the configuration.

    Attributes
    ----------
    at_s : float
        Wall time of the operator's command, in seconds since 1970.
    author : str
        Operator who ran the command.
    action : str
        ``apply``, ``rollback``, ``drain``, ``undrain`` or ``clear``.
    base : int
        Revision that the change started from.
    """

    at_s: float
    author: str
    action: str
    revision: Revision
    base: Revision
    change_id: str
    note: str = ''


@dataclass(frozen=True, slots=True)
class Clearance:
    """A fingerprint that an operator cleared.

    Attributes
    ----------
    fingerprint : int
        xxhash of route and body.
    revision : int
        Revision that cleared it. A daemon acts once, when it replaces an
        older revision, so that the fingerprint can be blocked again later.
    """

    fingerprint: int
    revision: Revision


@dataclass(frozen=True, slots=True)
class RevisionDocument:
    """A whole merged configuration with its audit trail.

    Attributes
    ----------
    change_id : str
        Random identifier of the change; settles a lost answer.
    audit : tuple of AuditEntry
        Bounded trail, newest last; it includes this revision's entry.
    cleared : tuple of Clearance
        Bounded, newest last.
    """

    revision: Revision
    change_id: str
    settings: Settings
    audit: tuple[AuditEntry, ...] = ()
    cleared: tuple[Clearance, ...] = ()
