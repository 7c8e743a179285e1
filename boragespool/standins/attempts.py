"""Requests for work at a stand-in backend server, and refusals.

The state of an attempt belongs to `boragespool.standins.workload`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from boragespool.http import json_response
from boragespool.types import (
    AttemptId,
    IndexVersion,
    RequestId,
    RunState,
    Seconds,
    WorkKind,
)

if TYPE_CHECKING:
    from boragespool.http import HttpResponse

_UNAVAILABLE_STATUS: Final = 503


@dataclass(frozen=True, slots=True)
class Work:
    """Body of ``POST /v1/work``.

    Attributes
    ----------
    version : int
        Index version that a query reads.
    start, end : int
        Key range ``[start, end)`` of a query.
    body : Any
        JSON value that the caller sent. If it is an object, some of its
        fields control the stand-in: ``crash`` set to true crashes the server
        while the work runs, and set to ``"before"`` just before it runs;
        ``fail`` lets a claim run and answers with an error; ``claim_id`` or
        ``ticket`` identifies a claim in the counters.
    deadline_s : float
        Time left when the request arrives, in seconds.
    """

    attempt_id: AttemptId
    kind: WorkKind
    request_id: RequestId = ''
    version: IndexVersion = 0
    start: int = 0
    end: int = 0
    body: Any = None
    rank: str = ''
    deadline_s: Seconds = 10

    @property
    def claim_id(self) -> str:
        """Key under which the runs of a claim are counted."""
        named = self.body_field('claim_id') or self.body_field('ticket')
        return str(named or self.request_id or self.attempt_id)

    def body_field(self, name: str) -> Any:
        """Return a field of the caller's body.

        None if the field is missing or the body is not an object.
        """
        return self.body.get(name) if isinstance(self.body, dict) else None


@dataclass(slots=True)
class Attempt:
    """Work that waits for a slot or runs."""

    work: Work
    has_started: bool = False
    #: Set when the attempt is cancelled or when a slot may be free.
    wake_event: asyncio.Event = field(default_factory=asyncio.Event)
    is_cancelled: bool = False

    async def wait(self, duration_s: Seconds) -> None:
        """Wait for `wake_event`, for at most `duration_s` seconds.

        Return at once if the attempt is cancelled.
        """
        if self.is_cancelled:
            return
        self.wake_event.clear()
        try:
            async with asyncio.timeout(duration_s):
                await self.wake_event.wait()
        except TimeoutError:
            return


def refusal_response(
    reason: str,
    run: RunState = RunState.NOT_RUN,
    retry_after_s: Seconds = 0,
    status: int = _UNAVAILABLE_STATUS,
) -> HttpResponse:
    """Return the response to work that did not run or did not finish.

    Parameters
    ----------
    reason : str
        Reason code in the response body.
    run : RunState, optional
        Whether the work has run.
    retry_after_s : float, optional
        Time after which the dispatcher may retry, in seconds.
    status : int, optional
        HTTP status.
    """
    body = {'run': run, 'reason': reason, 'retry_after_s': retry_after_s}
    return json_response(body, status)
