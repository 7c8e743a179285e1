"""Messages about work that a daemon sends to the dispatcher of a server.

The sender is the merger of a query or the issuer of a claim's ticket.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from boragespool.types import (
    AttemptId,
    CallerName,
    IndexVersion,
    Rank,
    RequestId,
    RouteName,
    RunState,
    Seconds,
    ServerName,
    WorkKind,
)


@dataclass(frozen=True, slots=True)
class Item:
    """One result of a query.

    Attributes
    ----------
    key : int
        Hashed key.
    value : Any
        JSON value.
    """

    key: int
    value: Any


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """Request to run work once on one backend server.

    Attributes
    ----------
    version, start, end : int
        Pinned index version and range ``[start, end)`` of hashed keys; 0 for
        a claim.
    body : bytes
        JSON of the caller's request.
    deadline_s : float
        Time left when the message was sent, in seconds.
    fingerprint : int
        xxhash of route and body, by which crash detection recognises the
        caller's request.
    solo : bool
        Whether to run it only while nothing else runs on the server.
    """

    attempt_id: AttemptId
    request_id: RequestId
    kind: WorkKind
    route: RouteName
    server: ServerName
    rank: Rank
    caller: CallerName
    deadline_s: Seconds
    body: bytes
    fingerprint: int
    version: IndexVersion = 0
    start: int = 0
    end: int = 0
    solo: bool = False


@dataclass(frozen=True, slots=True)
class WorkReply:
    """Reply to `WorkRequest`.

    Attributes
    ----------
    code : int
        `ResultCode.COMPLETE` or the code of the failure.
    run : RunState
        Whether the work was executed.
    version, start, end : int
        Index version and key range that the items cover.
    items : tuple of Item
        Results of a query.
    outcome : Any
        JSON value that the backend server returned for a claim.
    service_time_s, queue_time_s : float
        Time that the work ran and that it was queued before, in seconds.
    retry_after_s : float
        Time after which a retry can be useful, in seconds; 0 if unknown.
    waits_s : tuple of float
        Estimated queueing time of new work at the server by rank, most
        important first, in seconds.
    item_count : int or None
        Number of items that the backend server stated; None if the
        dispatcher has checked it and does not pass it on.
    """

    attempt_id: AttemptId
    code: int
    run: RunState
    version: IndexVersion = 0
    start: int = 0
    end: int = 0
    items: tuple[Item, ...] = ()
    outcome: Any = None
    reason: str = ''
    service_time_s: Seconds = 0
    queue_time_s: Seconds = 0
    retry_after_s: Seconds = 0
    waits_s: tuple[Seconds, ...] = ()
    item_count: int | None = None


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Request to cancel an attempt; the dispatcher cancels it if it can."""

    attempt_id: AttemptId
