"""Answers as callers get them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from boragespool.messages import Item
from boragespool.results import Failure, ResultCode
from boragespool.types import (
    Address,
    IndexVersion,
    Rank,
    RequestId,
    RunState,
    Seconds,
)


@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Answer to ``GET /v1/addresses``.

    Attributes
    ----------
    keep_s : float
        Time for which the answer may be used, in seconds.
    """

    addresses: tuple[Address, ...]
    keep_s: Seconds
    tickets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class QueryResult:
    """Merged results of one snapshot.

    Attributes
    ----------
    code : ResultCode
        ``COMPLETE`` or ``PARTIAL``.
    snapshot : int
        Index version that all items come from.
    coverage : float
        Fraction of the key space that was searched, 0 to 1.
    missing : tuple of (int, int)
        Key ranges ``[start, end)`` that were not searched.
    """

    request_id: RequestId
    code: ResultCode
    snapshot: IndexVersion
    coverage: float
    missing: tuple[tuple[int, int], ...]
    rank: Rank
    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """A claim that was executed.

    Attributes
    ----------
    code : ResultCode
        ``CLAIM_RUN``, or ``CLAIM_FAILED`` if the backend server ran it and
        answered with an error.
    ticket : str
        Ticket under which it ran.
    outcome : Any
        JSON value of the backend server.
    """

    code: ResultCode
    ticket: str
    rank: Rank
    outcome: Any
    run: RunState = RunState.RUN


@dataclass(frozen=True, slots=True)
class ClaimFailure(Failure):
    """A claim without a result.

    Attributes
    ----------
    ticket : str
        Last ticket. If `run` is ``UNKNOWN``, ask `Client.outcome` about it
        and never send the claim again.
    """

    ticket: str = ''


def claim_failure(failure: Failure, ticket: str) -> ClaimFailure:
    """Add the ticket to a failure."""
    return ClaimFailure(
        failure.code,
        failure.reason,
        failure.run,
        failure.retry_after_s,
        ticket,
    )
