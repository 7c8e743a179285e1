"""Runs one query from its first attempts to its answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from boragespool.controllers.queries.attempts import AttemptSender
from boragespool.controllers.queries.hedge_timer import HedgeTimer
from boragespool.controllers.queries.pinned_snapshot import PinnedSnapshot
from boragespool.controllers.queries.query_answers import (
    Ending,
    build_answer,
    log_rejected_reply,
    log_restarted_query,
)
from boragespool.controllers.queries.query_state import Attempt, Part
from boragespool.controllers.queries.query_waits import QueryWaits
from boragespool.messages import WorkReply
from boragespool.results import Failure, ResultCode
from boragespool.snapshots import state_with_more_coverage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.controllers.queries.query_state import AcceptedQuery
    from boragespool.controllers.requests import QueryAnswer
    from boragespool.snapshots import SubRange
    from boragespool.types import IndexVersion

#: A restart takes the time of one sub-request and its hedge.
_RESTART_REQUEST_COUNT: Final = 2
#: Kinds of attempts that take a token of the budget.
_BUDGETED_KINDS: Final = frozenset(('hedge', 'retry'))


class QueryRun:
    """Runs one query in callbacks of the event loop.

    Parameters
    ----------
    query : AcceptedQuery
        Query to run.
    version : int
        Index version that the query is pinned to.
    """

    def __init__(self, query: AcceptedQuery, version: IndexVersion) -> None:
        """Set up the state without attempts."""
        self._query = query
        self._sender = AttemptSender(query, self._on_result)
        self._hedge_timer = HedgeTimer(query, self._sender, self._hedge)
        self._snapshot = PinnedSnapshot(query, version)
        self._replaced_snapshot: PinnedSnapshot | None = None
        #: Sub-ranges that are sent only after the canary was answered.
        self._ranges_after_canary: tuple[SubRange, ...] = ()
        #: Parts that need another attempt.
        self._parts_to_retry: list[Part] = []
        #: Parts for which no replica is left.
        self._unavailable_parts: list[Part] = []
        #: Whether `_handle_unavailable` must run again.
        self._check_unavailable = False
        self._waits = QueryWaits(query, self._on_wait_ended)
        self._last_refusal: WorkReply | Failure | None = None
        self._done = asyncio.Event()

    async def answer(self, *, canary: bool) -> QueryAnswer | Failure:
        """Run the query and return its answer.

        Parameters
        ----------
        canary : bool
            Whether to send to one shard first, and to the others only after
            it answered.

        Returns
        -------
        QueryAnswer or Failure
            Returned at the deadline at the latest.
        """
        plan = self._snapshot.full_plan()
        deadline_timer = self._query.shared.context.timers.after(
            self._query.time_left_s(),
            self._done.set,
        )
        try:
            self._ranges_after_canary = plan[1:] if canary else ()
            self._send_first_attempts(plan[:1] if canary else plan)
            await self._done.wait()
        finally:
            deadline_timer.cancel()
            self._cancel_all()
        first_snapshot = self._replaced_snapshot or self._snapshot
        ending = Ending(
            state_with_more_coverage(
                first_snapshot.state, self._snapshot.state
            ),
            self._sender.sent_count,
            self._last_refusal,
            may_have_run=self._sender.may_have_run,
        )
        return build_answer(self._query, ending)

    def on_holdings_changed(self) -> None:
        """Replan the parts without a replica after holdings changed."""
        if self._unavailable_parts and not self._done.is_set():
            self._parts_to_retry.extend(self._unavailable_parts)
            self._unavailable_parts.clear()
            self._advance()

    def _send_first_attempts(self, plan: tuple[SubRange, ...]) -> None:
        """Send first attempts; these add tokens to the budget."""
        self._query.shared.budget.earn(len(plan))
        self._send_attempts(plan, 'first')

    def _send_attempts(self, plan: Iterable[SubRange], kind: str) -> None:
        """Send one attempt per sub-range and schedule the hedges."""
        for sub_range in plan:
            part = Part((sub_range.start, sub_range.end), sub_range.replicas)
            if not self._send_attempt(part, kind):
                self._add_unavailable(part)
        self._hedge_timer.schedule()
        self._advance()

    def _send_attempt(self, part: Part, kind: str) -> bool:
        """Send an attempt of a part; False without a replica or a token."""
        server = self._sender.choose_server(part)
        if server is None:
            return False
        if kind in _BUDGETED_KINDS and not self._query.shared.budget.spend():
            return False
        attempt = self._sender.send(part, server, self._snapshot.version, kind)
        self._snapshot.state.open_attempt(attempt.attempt_id, part.key_range)
        return True

    def _hedge(self, part: Part) -> bool:
        return self._snapshot.refresh_replicas(part) and self._send_attempt(
            part, 'hedge'
        )

    def _on_result(self, attempt: Attempt, result: WorkReply | Failure) -> None:
        """Merge a reply, or queue the part for another attempt."""
        if self._done.is_set():
            return
        if result.code == ResultCode.COMPLETE and isinstance(result, WorkReply):
            self._merge_reply(attempt, result)
            self._hedge_timer.schedule_soon()
        else:
            self._handle_failure(attempt, result)
        part = attempt.part
        if not part.open_attempts and self._snapshot.state.missing(
            part.key_range
        ):
            self._parts_to_retry.append(part)
        self._advance()

    def _merge_reply(self, attempt: Attempt, reply: WorkReply) -> None:
        """Merge a reply; if it completes the part, cancel other attempts."""
        merged = self._snapshot.state.merge(attempt.attempt_id, reply)
        if isinstance(merged, Failure):
            self._last_refusal = merged
            log_rejected_reply(attempt, merged)
            return
        if not self._query.suspect:
            self._query.shared.known_good.add(self._query.fingerprint)
        part = attempt.part
        if not self._snapshot.state.missing(part.key_range):
            for other in tuple(part.open_attempts.values()):
                self._cancel_attempt(other)

    def _handle_failure(
        self,
        attempt: Attempt,
        refusal: WorkReply | Failure,
    ) -> None:
        self._snapshot.state.close_attempt(attempt.attempt_id)
        self._last_refusal = refusal
        if refusal.code == ResultCode.VERSION_NOT_HELD:
            # The server is excluded for this exact range. It may hold, and be
            # asked for, a narrower one.
            self._snapshot.not_held.add(attempt.server, attempt.part.key_range)
            attempt.part.tried_servers.remove(attempt.server)

    def _cancel_attempt(self, attempt: Attempt) -> None:
        self._snapshot.state.close_attempt(attempt.attempt_id)
        self._sender.cancel(attempt)

    def _advance(self) -> None:
        """Send all attempts that are possible; finish if none is open."""
        if self._query.blocked:
            self._done.set()
            return
        self._retry_parts()
        if self._ranges_after_canary:
            self._send_after_canary()
        if self._check_unavailable:
            self._check_unavailable = False
            self._handle_unavailable()
        if not self._sender.open_attempt_by_id and not self._wait_if_useful():
            self._done.set()

    def _wait_if_useful(self) -> bool:
        """Wait for holdings or tokens; False if neither wait is possible."""
        if self._unavailable_parts and self._waits.is_waiting_for_holdings:
            return True
        return bool(self._parts_to_retry) and self._waits.wait_for_token()

    def _on_wait_ended(self) -> None:
        self._check_unavailable = bool(self._unavailable_parts)
        if not self._done.is_set():
            self._advance()

    def _add_unavailable(self, *parts: Part) -> None:
        self._unavailable_parts.extend(parts)
        self._check_unavailable = self._check_unavailable or bool(parts)

    def _retry_parts(self) -> None:
        """Send attempts to other replicas while the budget has tokens."""
        budget = self._query.shared.budget
        while self._parts_to_retry and budget.tokens >= 1:
            available, unavailable = self._snapshot.replan(
                self._parts_to_retry.pop()
            )
            self._add_unavailable(*unavailable)
            for part in available:
                self._retry(part)

    def _retry(self, part: Part) -> None:
        if self._send_attempt(part, 'retry'):
            return
        if self._query.shared.budget.tokens < 1:
            self._parts_to_retry.append(part)
        else:
            self._add_unavailable(part)

    def _send_after_canary(self) -> None:
        """Send the other sub-ranges once the canary was answered.

        If the canary failed and cannot have run, the next sub-range becomes
        the canary. If it may have run, the other sub-ranges are not sent.
        """
        ranges_after_canary = self._ranges_after_canary
        self._ranges_after_canary = ()
        if self._snapshot.state.coverage:
            self._send_first_attempts(ranges_after_canary)
        elif self._sender.open_attempt_by_id or self._wait_if_useful():
            self._ranges_after_canary = ranges_after_canary
        elif not self._sender.may_have_run:
            self._ranges_after_canary = ranges_after_canary[1:]
            self._send_first_attempts(ranges_after_canary[:1])

    def _handle_unavailable(self) -> None:
        """Wait for newer holdings, restart, or accept a lower coverage."""
        are_stale = self._snapshot.are_holdings_stale(self._unavailable_parts)
        if are_stale and self._waits.may_wait_for_holdings:
            self._waits.wait_for_holdings()
        else:
            self._restart()

    def _restart(self) -> None:
        """Restart, at most once, on a newer version that covers more keys.

        The attempts of a restart take no tokens, because a query restarts at
        most once and only if replicas of the pinned version were lost.
        """
        open_attempts = tuple(self._sender.open_attempt_by_id.values())
        version = self._snapshot.restart_version(
            (
                *(attempt.part.key_range for attempt in open_attempts),
                *(part.key_range for part in self._parts_to_retry),
                *(
                    (sub_range.start, sub_range.end)
                    for sub_range in self._ranges_after_canary
                ),
            )
        )
        required_s = _RESTART_REQUEST_COUNT * (
            self._query.tracker.quantile_s or 0
        )
        is_too_late = required_s > self._query.time_left_s()
        if (
            version is None
            or is_too_late
            or self._replaced_snapshot is not None
        ):
            return
        for attempt in open_attempts:
            self._cancel_attempt(attempt)
        self._replaced_snapshot = self._snapshot
        self._snapshot = PinnedSnapshot(self._query, version)
        log_restarted_query(
            self._query, self._replaced_snapshot.version, version
        )
        self._parts_to_retry.clear()
        self._unavailable_parts.clear()
        plan = self._snapshot.full_plan()
        canary = bool(self._ranges_after_canary)
        self._ranges_after_canary = plan[1:] if canary else ()
        self._send_attempts(plan[:1] if canary else plan, 'restart')

    def _cancel_all(self) -> None:
        """Cancel the timers and all open attempts."""
        self._done.set()
        self._hedge_timer.stop()
        self._waits.stop()
        for attempt in tuple(self._sender.open_attempt_by_id.values()):
            self._cancel_attempt(attempt)
