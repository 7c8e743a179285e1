"""Replies to recent attempts, so that no attempt runs twice."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from boragespool.controllers.backend_servers.jobs import refusal
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState, WorkKind

if TYPE_CHECKING:
    import asyncio

    from boragespool.messages import WorkReply, WorkRequest
    from boragespool.types import AttemptId

_COUNT: Final = 10_000
_ANSWERED: Final = Failure(
    ResultCode.CANCELLED,
    'this attempt was answered before and is not run again',
    RunState.UNKNOWN,
)


class RecentAnswers:
    """Bounded table of attempts and their replies."""

    def __init__(self) -> None:
        """Start empty."""
        self._pending: dict[AttemptId, asyncio.Future[WorkReply]] = {}
        self._replies: OrderedDict[AttemptId, WorkReply | Failure] = (
            OrderedDict()
        )

    def find(
        self,
        work: WorkRequest,
    ) -> asyncio.Future[WorkReply] | WorkReply | None:
        """Return the reply of an earlier request with the same attempt."""
        kept = self._replies.get(work.attempt_id)
        if isinstance(kept, Failure):
            return refusal(work, kept)
        return kept or self._pending.get(work.attempt_id)

    def begin(
        self,
        work: WorkRequest,
        answer: asyncio.Future[WorkReply],
    ) -> None:
        """Keep an attempt until its reply is known, and the reply after it.

        Only the reply of a claim is kept whole, as the items of many queries
        would fill the memory.
        """
        self._pending[work.attempt_id] = answer

        def finish(done: asyncio.Future[WorkReply]) -> None:
            self._pending.pop(work.attempt_id, None)
            is_claim = work.kind == WorkKind.CLAIM and not done.cancelled()
            kept = done.result() if is_claim else _ANSWERED
            self._replies[work.attempt_id] = kept
            if len(self._replies) > _COUNT:
                self._replies.popitem(last=False)

        answer.add_done_callback(finish)
