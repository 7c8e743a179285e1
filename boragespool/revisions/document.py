"""Revision document: the configuration with its audit trail."""

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
    revision : int
        Revision that the change created.
    base : int
        Revision that the change replaced; 0 for the first one.
    change_id : str
        Random identifier of the change.
    note : str
        Comment of the operator.
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
    """A blocked request fingerprint that an operator cleared.

    Attributes
    ----------
    fingerprint : int
        xxhash of route and body of the request.
    revision : int
        Revision that cleared it. A daemon unblocks the fingerprint only when
        this or a later revision replaces an older one, so that it can be
        blocked again afterwards.
    """

    fingerprint: int
    revision: Revision


@dataclass(frozen=True, slots=True)
class RevisionDocument:
    """A revision with the whole configuration and its audit trail.

    Attributes
    ----------
    change_id : str
        Random identifier of the change. If the store's answer to the write
        was lost, it tells whether the write took effect.
    settings : Settings
        Whole configuration, merged from the operator's files.
    audit : tuple of AuditEntry
        Latest changes up to and including this revision, newest last.
    cleared : tuple of Clearance
        Latest cleared fingerprints, newest last.
    """

    revision: Revision
    change_id: str
    settings: Settings
    audit: tuple[AuditEntry, ...] = ()
    cleared: tuple[Clearance, ...] = ()
