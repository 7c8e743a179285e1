"""One request to all shards of a route, merged into one answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.controllers.forwarding.calls import ServiceCall
from boragespool.controllers.forwarding.dialect import Gathered
from boragespool.forwarding import (
    Reply,
    Verdict,
    classify_reply,
    meets_coverage,
    top_records,
)
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    import asyncio

    from boragespool.controllers.forwarding.calls import Job
    from boragespool.controllers.forwarding.dialect import Dialect
    from boragespool.controllers.forwarding.fleet import ServerFleet
    from boragespool.timers import Subscription

#: Backend servers that were lost are replaced, or their entries are back, in
#: some seconds.
_NO_SERVER_S: Final = 1
#: Servers that refused have room again sooner.
_BACKOFF_S: Final = 0.5


class Gather:
    """Calls to the shards of one request.

    Parameters
    ----------
    fleet : ServerFleet
        Backend servers.
    dialect : Dialect
        Translations.
    job : Job
        Request on a route with shards.
    result : asyncio.Future
        Gets the answer or a failure.
    """

    def __init__(
        self,
        fleet: ServerFleet,
        dialect: Dialect,
        job: Job,
        result: asyncio.Future[Gathered | Failure],
    ) -> None:
        """Plan one call for each shard."""
        self.calls = tuple(
            ServiceCall(fleet, dialect, job, shard, self._take)
            for shard in job.route.shards
        )
        self._job = job
        self._timers = fleet.timers
        self._result = result
        self._replies: list[Reply] = []
        self._failures: list[Failure] = []
        self._waits: tuple[Subscription, ...] = ()
        self._is_late = False

    def start(self) -> None:
        """Ask all shards, unless too few of them can answer."""
        possible = sum(call.is_possible for call in self.calls)
        if not meets_coverage(self._job.route, possible, len(self.calls)):
            self._finish(
                Failure(
                    ResultCode.NO_SERVER,
                    f'only {possible} of {len(self.calls)} shards have a '
                    'backend server with room in time',
                    retry_after_s=_NO_SERVER_S,
                ),
            )
            return
        now_s = self._timers.now_s()
        deadlines = self._job.deadlines
        self._waits = (
            self._timers.after(deadlines.target_at_s - now_s, self._at_target),
            self._timers.after(
                max(0, deadlines.deadline_at_s - now_s),
                self._at_end,
            ),
        )
        for call in self.calls:
            call.start()

    def cancel(self) -> None:
        """Give up at once, as the caller is gone."""
        self._stop_waiting()
        for call in self.calls:
            call.cancel()

    def _take(self, _: ServiceCall, outcome: Reply | Failure) -> None:
        if isinstance(outcome, Failure):
            self._failures.append(outcome)
        elif classify_reply(outcome) is Verdict.SUCCESS:
            self._replies.append(outcome)
        else:
            self._failures.append(
                Failure(
                    ResultCode.SERVER_REPLY_INVALID,
                    f'a backend server answered with {outcome.status}',
                    RunState.RUN,
                ),
            )
        self._review()

    def _review(self) -> None:
        """Answer if that is due, or fail if an answer is out of reach."""
        total = len(self.calls)
        answered = len(self._replies)
        failed = len(self._failures)
        is_covered = meets_coverage(self._job.route, answered, total)
        if is_covered and (self._is_late or answered + failed == total):
            self._answer()
        elif not meets_coverage(self._job.route, total - failed, total):
            self._finish(self._failure())

    def _at_target(self) -> None:
        self._is_late = True
        self._review()

    def _at_end(self) -> None:
        self._finish(
            Failure(
                ResultCode.DEADLINE_PASSED,
                f'{len(self._replies)} of {len(self.calls)} shards answered '
                'in time',
                RunState.UNKNOWN,
            ),
        )

    def _answer(self) -> None:
        count = self._job.route.record_count
        self._finish(
            Gathered(
                top_records((reply.body for reply in self._replies), count),
                tuple(reply.signature or '' for reply in self._replies),
                len(self.calls) - len(self._replies),
            ),
        )

    def _failure(self) -> Failure:
        last = self._failures[-1]
        has_run = bool(self._replies) or any(
            failure.run is not RunState.NOT_RUN for failure in self._failures
        )
        is_open = len(self._failures) < len(self.calls)
        run = RunState.UNKNOWN if has_run or is_open else RunState.NOT_RUN
        return Failure(last.code, last.reason, run, _BACKOFF_S)

    def _finish(self, outcome: Gathered | Failure) -> None:
        if self._result.done():
            return
        self._stop_waiting()
        self._result.set_result(outcome)
        for call in self.calls:
            call.abandon()

    def _stop_waiting(self) -> None:
        for wait in self._waits:
            wait.cancel()
