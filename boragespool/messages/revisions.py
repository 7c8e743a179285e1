"""Messages that distribute configuration revisions."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import Revision


@dataclass(frozen=True, slots=True)
class RevisionRequest:
    """Request for the revision in force at a peer, if it is newer.

    Attributes
    ----------
    have : int
        Revision that the sender has.
    takes_manifest : bool
        Whether the sender accepts a manifest; False from older releases,
        which know only whole documents.
    """

    have: Revision
    takes_manifest: bool = False


@dataclass(frozen=True, slots=True)
class RevisionReply:
    """Reply to `RevisionRequest`.

    Document and manifest are both empty if the peer has no newer revision.

    Attributes
    ----------
    document : bytes
        JSON of the whole document; empty if `manifest` is given.
    manifest : bytes
        JSON of the manifest without its audit trail.
    """

    revision: Revision
    document: bytes = b''
    manifest: bytes = b''


@dataclass(frozen=True, slots=True)
class PartsRequest:
    """Request for the texts of parts and indexes.

    Attributes
    ----------
    parts : tuple of str
        Hashes of the texts.
    """

    parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PartsReply:
    """Reply to `PartsRequest`.

    Attributes
    ----------
    texts : tuple of bytes
        Requested texts that the peer has, up to a limit of their total size.
    """

    texts: tuple[bytes, ...] = ()
