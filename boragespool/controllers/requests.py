"""Requests of callers and their answers, between controllers."""

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
    """A checked query.

    Attributes
    ----------
    body : bytes
        JSON of the query, passed to backend servers as it is.
    deadline_s : float
        Time left for the answer, in seconds.
    rank : Rank or None
        Rank if it is lower than the rank of the route.
    """

    request_id: RequestId
    route: RouteName
    caller: CallerName
    body: bytes
    deadline_s: Seconds
    rank: Rank | None = None


@dataclass(frozen=True, slots=True)
class QueryAnswer:
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
        Key ranges ``[start, end)`` that were not searched, in order.
    attempts : int
        Requests sent to backend servers, hedges and retries included.
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
    """A checked claim under a ticket.

    Attributes
    ----------
    deadline_s : float
        Time left for the answer, in seconds.
    rank : Rank or None
        Rank if it is lower than the rank of the route.
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
        ``CLAIM_RUN``, or ``CLAIM_FAILED`` if the backend server ran it and
        answered with an error.
    outcome : Any
        JSON value of the backend server.
    """

    request_id: RequestId
    code: ResultCode
    run: RunState
    rank: Rank
    outcome: Any
