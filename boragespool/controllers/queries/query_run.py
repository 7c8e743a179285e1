"""One query from the first attempt to the answer."""

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
    log_restart,
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

#: A restart needs the time of one sub-request and of its hedge.
_RESTART_ROUNDS: Final = 2
_SECOND_ATTEMPTS: Final = frozenset(('hedge', 'retry'))


class QueryRun:
    """State of one query; everything happens in callbacks of the loop.

    Parameters
    ----------
    work : AcceptedQuery
        The query.
    version : int
        Pinned index version.
    """

    def __init__(self, query: AcceptedQuery, version: IndexVersion) -> None:
        """Start with nothing sent."""
        self._query = query
        self._sender = AttemptSender(query, self._receive)
        self._hedge_timer = HedgeTimer(query, self._sender, self._hedge)
        self._pinned = PinnedSnapshot(query, version)
        self._replaced: PinnedSnapshot | None = None
        #: Sub-ranges that wait for the canary.
        self._held: tuple[SubRange, ...] = ()
        #: Parts that need another attempt.
        self._pending: list[Part] = []
        #: Parts of which no replica is left.
        self._stranded: list[Part] = []
        #: Whether stranded parts or holdings changed since the last look.
        self._unresolved = False
        self._waits = QueryWaits(query, self._end_wait)
        self._last_refusal: WorkReply | Failure | None = None
        self._done = asyncio.Event()

    async def answer(self, *, canary: bool) -> QueryAnswer | Failure:
        """Run the query.

        Parameters
        ----------
        canary : bool
            Send to one shard first and to the others after its answer.

        Returns
        -------
        QueryAnswer or Failure
            At the deadline at the latest.
        """
        plan = self._pinned.full_plan()
        deadline = self._query.shared.context.timers.after(
            self._query.time_left_s(),
            self._done.set,
        )
        try:
            self._held = plan[1:] if canary else ()
            self._launch_first(plan[:1] if canary else plan)
            await self._done.wait()
        finally:
            deadline.cancel()
            self._stop()
        replaced = self._replaced or self._pinned
        ending = Ending(
            state_with_more_coverage(replaced.state, self._pinned.state),
            self._sender.sent,
            self._last_refusal,
            may_have_run=self._sender.may_have_run,
        )
        return build_answer(self._query, ending)

    def on_holdings_changed(self) -> None:
        """Plan ranges without a replica again when holdings change."""
        if self._stranded and not self._done.is_set():
            self._pending.extend(self._stranded)
            self._stranded.clear()
            self._advance()

    def _launch_first(self, plan: tuple[SubRange, ...]) -> None:
        """Send first attempts, which also fill the budget."""
        self._query.shared.budget.earn(len(plan))
        self._launch(plan, 'first')

    def _launch(self, plan: Iterable[SubRange], kind: str) -> None:
        """Send the attempts of new parts and set the time of their hedges."""
        for sub_range in plan:
            part = Part((sub_range.start, sub_range.end), sub_range.replicas)
            if not self._attempt(part, kind):
                self._strand(part)
        self._hedge_timer.set()
        self._advance()

    def _attempt(self, part: Part, kind: str) -> bool:
        """Send an attempt of a part; False if it has no replica or token."""
        server = self._sender.choose(part)
        if server is None:
            return False
        if kind in _SECOND_ATTEMPTS and not self._query.shared.budget.spend():
            return False
        attempt = self._sender.send(part, server, self._pinned.version, kind)
        self._pinned.state.open_attempt(attempt.attempt_id, part.asked)
        return True

    def _hedge(self, part: Part) -> bool:
        return self._pinned.refresh(part) and self._attempt(part, 'hedge')

    def _receive(self, attempt: Attempt, result: WorkReply | Failure) -> None:
        """Merge the result of an attempt or prepare another one."""
        if self._done.is_set():
            return
        if result.code == ResultCode.COMPLETE and isinstance(result, WorkReply):
            self._merge(attempt, result)
            self._hedge_timer.schedule_soon()
        else:
            self._note_refusal(attempt, result)
        part = attempt.part
        if not part.open_attempts and self._pinned.state.missing(part.asked):
            self._pending.append(part)
        self._advance()

    def _merge(self, attempt: Attempt, reply: WorkReply) -> None:
        """Merge a reply; cancel the other attempts of a complete part."""
        merged = self._pinned.state.merge(attempt.attempt_id, reply)
        if isinstance(merged, Failure):
            self._last_refusal = merged
            log_rejected_reply(attempt, merged)
            return
        if not self._query.suspect:
            self._query.shared.known_good.add(self._query.fingerprint)
        part = attempt.part
        if not self._pinned.state.missing(part.asked):
            for loser in tuple(part.open_attempts.values()):
                self._withdraw(loser)

    def _note_refusal(
        self,
        attempt: Attempt,
        refusal: WorkReply | Failure,
    ) -> None:
        self._pinned.state.close_attempt(attempt.attempt_id)
        self._last_refusal = refusal
        if refusal.code == ResultCode.VERSION_NOT_HELD:
            # Excludes the server for this range, not for a narrower one.
            self._pinned.not_held.add(attempt.server, attempt.part.asked)
            attempt.part.tried_servers.remove(attempt.server)

    def _withdraw(self, attempt: Attempt) -> None:
        self._pinned.state.close_attempt(attempt.attempt_id)
        self._sender.cancel(attempt)

    def _advance(self) -> None:
        """Send what can be sent; end the query when nothing is left to do."""
        if self._query.blocked:
            self._done.set()
            return
        self._retry_pending()
        if self._held:
            self._release_held()
        if self._unresolved:
            self._unresolved = False
            self._resolve_stranded()
        if not self._sender.open_attempt_by_id and not self._may_wait():
            self._done.set()

    def _may_wait(self) -> bool:
        """Whether holdings or tokens may still arrive."""
        if self._stranded and self._waits.is_waiting_for_holdings:
            return True
        return bool(self._pending) and self._waits.wait_for_token()

    def _end_wait(self) -> None:
        self._unresolved = bool(self._stranded)
        if not self._done.is_set():
            self._advance()

    def _strand(self, *parts: Part) -> None:
        self._stranded.extend(parts)
        self._unresolved = self._unresolved or bool(parts)

    def _retry_pending(self) -> None:
        """Ask other replicas while the budget lasts."""
        budget = self._query.shared.budget
        while self._pending and budget.tokens >= 1:
            kept, lost = self._pinned.replan(self._pending.pop())
            self._strand(*lost)
            for part in kept:
                self._retry(part)

    def _retry(self, part: Part) -> None:
        if self._attempt(part, 'retry'):
            return
        if self._query.shared.budget.tokens < 1:
            self._pending.append(part)
        else:
            self._strand(part)

    def _release_held(self) -> None:
        """Send the other sub-ranges once the canary was answered."""
        held = self._held
        self._held = ()
        if self._pinned.state.coverage:
            self._launch_first(held)
        elif self._sender.open_attempt_by_id or self._may_wait():
            self._held = held
        elif not self._sender.may_have_run:
            self._held = held[1:]
            self._launch_first(held[:1])

    def _resolve_stranded(self) -> None:
        """Wait for announced holdings, restart, or accept lower coverage."""
        stale = self._pinned.are_holdings_stale(self._stranded)
        if stale and self._waits.may_wait_for_holdings:
            self._waits.wait_for_holdings()
        else:
            self._restart()

    def _restart(self) -> None:
        """Restart once, on a newer version that covers more, if there is one.

        Restarted attempts take no tokens. They are sent at most once per
        query and only when the pinned version was lost.
        """
        open_attempts = tuple(self._sender.open_attempt_by_id.values())
        version = self._pinned.restart_version(
            (
                *(attempt.part.asked for attempt in open_attempts),
                *(part.asked for part in self._pending),
                *((held.start, held.end) for held in self._held),
            )
        )
        needed_s = _RESTART_ROUNDS * (self._query.tracker.quantile_s or 0)
        late = needed_s > self._query.time_left_s()
        if version is None or late or self._replaced is not None:
            return
        for attempt in open_attempts:
            self._withdraw(attempt)
        self._replaced = self._pinned
        self._pinned = PinnedSnapshot(self._query, version)
        log_restart(self._query, self._replaced.version, version)
        self._pending.clear()
        self._stranded.clear()
        plan = self._pinned.full_plan()
        canary = bool(self._held)
        self._held = plan[1:] if canary else ()
        self._launch(plan[:1] if canary else plan, 'restart')

    def _stop(self) -> None:
        """Cancel what is open."""
        self._done.set()
        self._hedge_timer.stop()
        self._waits.stop()
        for attempt in tuple(self._sender.open_attempt_by_id.values()):
            self._withdraw(attempt)
