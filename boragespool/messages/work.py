"""Work that a merger or a claim issuer gives to a dispatcher."""

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
    """One result of a query; `key` is the hashed key."""

    key: int
    value: Any


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """One attempt at one backend server.

    Attributes
    ----------
    version, start, end : int
        Pinned index version and key range ``[start, end)``; 0 for a claim.
    body : bytes
        JSON of the caller's request.
    deadline_s : float
        Time left when the message was sent, in seconds.
    fingerprint : int
        Identifies the caller's request in crash detection.
    solo : bool
        Run only while nothing else runs on the server.
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
    """Result of one attempt.

    Attributes
    ----------
    code : int
        `ResultCode.COMPLETE` or the code of the failure.
    items : tuple of Item
        Results of a query.
    outcome : Any
        JSON value that the backend server answered to a claim.
    waits_s : tuple of float
        Estimated queueing time for new work at the server by rank, most
        important first, in seconds.
    item_count : int or None
        Number of items that the backend server counted; None if the
        dispatcher checked it and does not pass it on.
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
    """Withdraws an attempt; the dispatcher cancels it where it can."""

    attempt_id: AttemptId
