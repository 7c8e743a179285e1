"""Spread of configuration revisions between daemons."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.types import Revision


@dataclass(frozen=True, slots=True)
class RevisionRequest:
    """Asks for the revision document if it is newer than `have`."""

    have: Revision


@dataclass(frozen=True, slots=True)
class RevisionReply:
    """Answers with the JSON document, or with nothing newer."""

    revision: Revision
    document: bytes = b''
