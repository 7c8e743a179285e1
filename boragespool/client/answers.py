"""Results that the client library returns to callers."""

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
    """Response to ``GET /v1/addresses``.

    Attributes
    ----------
    addresses : tuple of str
        ``ip:port`` of daemons that the caller should use.
    keep_s : float
        Time for which the addresses may be cached, in seconds.
    tickets : tuple of str
        New tickets of the daemon, each for one claim.
    """

    addresses: tuple[Address, ...]
    keep_s: Seconds
    tickets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class QueryResult:
    """Merged items of a query, all from one snapshot.

    Attributes
    ----------
    request_id : str
        Id of the request, chosen by the client.
    code : ResultCode
        ``COMPLETE`` or ``PARTIAL``.
    snapshot : int
        Version of the index from which all items are.
    coverage : float
        Fraction of the key space that was searched, 0 to 1.
    missing : tuple of (int, int)
        Key ranges ``[start, end)`` that were not searched.
    rank : Rank
        Rank with which the query ran.
    items : tuple of Item
        Items found.
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
    """Result of a claim that a backend server executed.

    Attributes
    ----------
    code : ResultCode
        ``CLAIM_RUN``, or ``CLAIM_FAILED`` if the backend server executed the
        claim and returned an error.
    ticket : str
        Ticket with which the claim was sent.
    rank : Rank
        Rank with which the claim ran.
    outcome : Any
        JSON value that the backend server returned.
    """

    code: ResultCode
    ticket: str
    rank: Rank
    outcome: Any
    run: RunState = RunState.RUN


@dataclass(frozen=True, slots=True)
class ClaimFailure(Failure):
    """Failure of a claim.

    Attributes
    ----------
    ticket : str
        Last ticket with which the claim was sent. If `run` is ``UNKNOWN``,
        pass it to `Client.outcome` and never send the claim again. Empty if
        no ticket was available for the last attempt.
    """

    ticket: str = ''


def failure_with_ticket(failure: Failure, ticket: str) -> ClaimFailure:
    """Return the failure of a claim that was sent with a ticket."""
    return ClaimFailure(
        failure.code,
        failure.reason,
        failure.run,
        failure.retry_after_s,
        ticket,
    )
