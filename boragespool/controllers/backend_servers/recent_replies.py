"""Deduplication of repeated attempts at a dispatcher."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from boragespool.controllers.backend_servers.jobs import refusal_reply
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState, WorkKind

if TYPE_CHECKING:
    import asyncio

    from boragespool.messages import WorkReply, WorkRequest
    from boragespool.types import AttemptId

_CAPACITY: Final = 10_000
_ALREADY_ANSWERED: Final = Failure(
    ResultCode.CANCELLED,
    'this attempt was answered already and is not run again',
    RunState.UNKNOWN,
)


class RecentReplies:
    """Pending attempts and a bounded number of answered ones.

    No attempt runs twice: a repeated request gets the reply of the first one,
    or a refusal if that reply was not kept.
    """

    def __init__(self) -> None:
        """Set up an empty table."""
        self._pending_by_attempt: dict[
            AttemptId, asyncio.Future[WorkReply]
        ] = {}
        self._replies_by_attempt: OrderedDict[
            AttemptId, WorkReply | Failure
        ] = OrderedDict()

    def find(
        self,
        work: WorkRequest,
    ) -> asyncio.Future[WorkReply] | WorkReply | None:
        """Return the reply to an earlier request of the same attempt.

        Returns
        -------
        Future, WorkReply or None
            Future of a pending reply, or the reply; None if the attempt is
            unknown. A refusal if the attempt was answered and its reply was
            not kept.
        """
        kept = self._replies_by_attempt.get(work.attempt_id)
        if isinstance(kept, Failure):
            return refusal_reply(work, kept)
        return kept or self._pending_by_attempt.get(work.attempt_id)

    def add(
        self,
        work: WorkRequest,
        reply_future: asyncio.Future[WorkReply],
    ) -> None:
        """Add a pending attempt; its reply is kept when it is known.

        For an answered query only the attempt ID is kept, because the items of
        its reply would take too much memory.
        """
        self._pending_by_attempt[work.attempt_id] = reply_future

        def keep_reply(done: asyncio.Future[WorkReply]) -> None:
            self._pending_by_attempt.pop(work.attempt_id, None)
            is_claim = work.kind == WorkKind.CLAIM and not done.cancelled()
            kept = done.result() if is_claim else _ALREADY_ANSWERED
            self._replies_by_attempt[work.attempt_id] = kept
            if len(self._replies_by_attempt) > _CAPACITY:
                self._replies_by_attempt.popitem(last=False)

        reply_future.add_done_callback(keep_reply)
