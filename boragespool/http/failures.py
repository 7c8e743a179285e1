"""Failures of exchanges with a server.

A failure states whether any byte of the request was sent, because that
decides whether a claim may be attempted again.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class FailureKind(enum.StrEnum):
    """How an exchange failed."""

    REFUSED = 'refused'
    TIMEOUT = 'timeout'
    CLOSED = 'closed'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """Result of an exchange that ended without a response.

    Attributes
    ----------
    kind : FailureKind
        How it failed.
    sent : bool
        Whether any byte of the request may have left this process.
    reason : str
        Error message of one sentence.
    """

    kind: FailureKind
    sent: bool
    reason: str
