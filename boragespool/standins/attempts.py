"""Work as it arrives at a stand-in backend server, and its replies."""

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

_UNAVAILABLE: Final = 503


@dataclass(frozen=True, slots=True)
class Work:
    """Body of ``POST /v1/work``.

    Attributes
    ----------
    body : Any
        JSON value of the caller. ``crash`` set to true ends the server while
        the work runs, and set to ``"before"`` ends it before the work runs;
        ``fail`` makes a claim run and answer with an error; ``claim_id`` or
        ``ticket`` names a claim in the counters.
    deadline_s : float
        Time left at arrival, in seconds.
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
        """Name under which the run of a claim is counted."""
        named = self.field('claim_id') or self.field('ticket')
        return str(named or self.request_id or self.attempt_id)

    def field(self, name: str) -> Any:
        """Return a field of the caller's body; None if it has none."""
        return self.body.get(name) if isinstance(self.body, dict) else None


@dataclass(slots=True)
class Attempt:
    """Work that is waiting or running."""

    work: Work
    has_begun: bool = False
    #: Set when the attempt is cancelled or may get a slot.
    signal: asyncio.Event = field(default_factory=asyncio.Event)
    is_cancelled: bool = False

    async def wait(self, duration_s: Seconds) -> None:
        """Wait for a signal, at most for `duration_s` seconds."""
        if self.is_cancelled:
            return
        self.signal.clear()
        try:
            async with asyncio.timeout(duration_s):
                await self.signal.wait()
        except TimeoutError:
            return


def refusal(
    reason: str,
    run: RunState = RunState.NOT_RUN,
    retry_after_s: Seconds = 0,
    status: int = _UNAVAILABLE,
) -> HttpResponse:
    """Answer that the work was not run, or not to its end."""
    body = {'run': run, 'reason': reason, 'retry_after_s': retry_after_s}
    return json_response(body, status)
