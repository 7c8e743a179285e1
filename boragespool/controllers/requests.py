"""Requests of callers and their answers, as passed between controllers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from boragespool.messages import Item
    from boragespool.results import ResultCode
    from boragespool.types import (
        CallerName,
        IndexVersion,
        Rank,
        RequestId,
        RouteName,
        RunState,
        Seconds,
    )


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """Query that has passed the checks of the HTTP API.

    Attributes
    ----------
    body : bytes
        JSON of the query, passed to backend servers unchanged.
    deadline_s : float
        Time left for the answer, in seconds.
    rank : Rank or None
        Rank that the caller asked for, if it is lower than that of the route.
    """

    request_id: RequestId
    route: RouteName
    caller: CallerName
    body: bytes
    deadline_s: Seconds
    rank: Rank | None = None


@dataclass(frozen=True, slots=True)
class QueryAnswer:
    """Merged results of a query, all from one snapshot.

    Attributes
    ----------
    code : ResultCode
        ``COMPLETE`` or ``PARTIAL``.
    snapshot : int
        Index version that all items come from.
    coverage : float
        Fraction of the key space that was searched, 0 to 1.
    missing : tuple of (int, int)
        Key ranges ``[start, end)`` that were not searched, in ascending
        order.
    attempts : int
        Number of requests sent to backend servers, including hedged requests
        and retries.
    """

    request_id: RequestId
    code: ResultCode
    snapshot: IndexVersion
    coverage: float
    missing: tuple[tuple[int, int], ...]
    rank: Rank
    items: tuple[Item, ...]
    attempts: int = 0


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Claim that has passed the checks of the HTTP API.

    Attributes
    ----------
    ticket : str
        Ticket of the claim; a claim runs at most once for its ticket.
    body : bytes
        JSON of the claim.
    deadline_s : float
        Time left for the answer, in seconds.
    rank : Rank or None
        Rank that the caller asked for, if it is lower than that of the route.
    """

    request_id: RequestId
    route: RouteName
    caller: CallerName
    ticket: str
    body: bytes
    deadline_s: Seconds
    rank: Rank | None = None


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Outcome of a claim.

    Attributes
    ----------
    code : ResultCode
        ``CLAIM_RUN``, or ``CLAIM_FAILED`` if the backend server ran the claim
        and answered with an error.
    outcome : Any
        JSON value with which the backend server answered.
    """

    request_id: RequestId
    code: ResultCode
    run: RunState
    rank: Rank
    outcome: Any
