"""Spread of configuration revisions between daemons."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import Revision


@dataclass(frozen=True, slots=True)
class RevisionRequest:
    """Asks for the revision if it is newer than `have`.

    Attributes
    ----------
    takes_manifest : bool
        False from releases that know whole documents only.
    """

    have: Revision
    takes_manifest: bool = False


@dataclass(frozen=True, slots=True)
class RevisionReply:
    """Answers with the revision, or with nothing newer.

    Attributes
    ----------
    document : bytes
        JSON of the whole document; empty if `manifest` is not.
    manifest : bytes
        JSON of the manifest without its audit trail.
    """

    revision: Revision
    document: bytes = b''
    manifest: bytes = b''


@dataclass(frozen=True, slots=True)
class PartsRequest:
    """Asks for the texts of parts and indexes by their hashes."""

    parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PartsReply:
    """Answers with those texts that the peer has, up to a size."""

    texts: tuple[bytes, ...] = ()
