"""Sends one request to all shards of a route and merges their replies."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from boragespool.controllers.forwarding.calls import ServiceCall
from boragespool.controllers.forwarding.codec import MergedReply
from boragespool.forwarding import (
    RECORD_SIZE_BYTES,
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

    from boragespool.controllers.forwarding.calls import RoutedRequest
    from boragespool.controllers.forwarding.codec import MessageCodec
    from boragespool.controllers.forwarding.fleet import ServerFleet
    from boragespool.timers import TimerHandle

#: Retry-After value if too few shards have a usable server, in seconds. Lost
#: servers are replaced, or registered again, within a few seconds.
_NO_SERVER_RETRY_AFTER_S: Final = 1
#: Retry-After value if too many shards failed, in seconds; shorter, since
#: servers that refused have capacity again sooner.
_FAILED_RETRY_AFTER_S: Final = 0.5


class ScatterGather:
    """Parallel calls to all shards for one request.

    The merged reply is sent once all shards have ended or the target latency
    has passed, provided that enough shards replied for the coverage of the
    route. The request fails as soon as that coverage is out of reach, or at
    its deadline.

    Parameters
    ----------
    fleet : ServerFleet
        Backend servers by service.
    codec : MessageCodec
        Encodes requests and decodes replies.
    routed_request : RoutedRequest
        Request on a route with shards.
    result : asyncio.Future
        Future that receives the merged reply or a failure.

    Attributes
    ----------
    calls : tuple of ServiceCall
        One call for each shard.
    """

    def __init__(
        self,
        fleet: ServerFleet,
        codec: MessageCodec,
        routed_request: RoutedRequest,
        result: asyncio.Future[MergedReply | Failure],
    ) -> None:
        """Prepare one call for each shard; `start` sends them."""
        self.calls = tuple(
            ServiceCall(
                fleet, codec, routed_request, shard, self._record_outcome
            )
            for shard in routed_request.route.shards
        )
        self._routed_request = routed_request
        self._timers = fleet.timers
        self._result = result
        self._replies: list[Reply] = []
        self._failures: list[Failure] = []
        self._deadline_timers: tuple[TimerHandle, ...] = ()
        self._is_past_target = False

    def start(self) -> None:
        """Send to all shards; fail at once if too few can reply in time."""
        usable_count = sum(call.may_succeed for call in self.calls)
        if not meets_coverage(
            self._routed_request.route, usable_count, len(self.calls)
        ):
            self._finish(
                Failure(
                    ResultCode.NO_SERVER,
                    f'only {usable_count} of {len(self.calls)} shards have a '
                    'backend server with capacity before the deadline',
                    retry_after_s=_NO_SERVER_RETRY_AFTER_S,
                ),
            )
            return
        now_s = self._timers.now_s()
        deadlines = self._routed_request.deadlines
        self._deadline_timers = (
            self._timers.after(deadlines.target_at_s - now_s, self._on_target),
            self._timers.after(
                max(0, deadlines.deadline_at_s - now_s),
                self.expire,
            ),
        )
        for call in self.calls:
            call.start()

    def cancel(self) -> None:
        """Cancel all calls at once, because the caller has disconnected."""
        self._cancel_timers()
        for call in self.calls:
            call.cancel()

    def expire(self) -> None:
        """End now with the replies that are in, or fail if too few are."""
        if meets_coverage(
            self._routed_request.route, len(self._replies), len(self.calls)
        ):
            self._finish_with_replies()
            return
        self._finish(
            Failure(
                ResultCode.DEADLINE_PASSED,
                f'{len(self._replies)} of {len(self.calls)} shards replied '
                'before the deadline',
                self._run_state,
                _FAILED_RETRY_AFTER_S,
            ),
        )

    def _record_outcome(self, _: ServiceCall, outcome: Reply | Failure) -> None:
        if isinstance(outcome, Failure):
            self._failures.append(outcome)
        elif classify_reply(outcome) is Verdict.SUCCESS:
            self._replies.append(self._keep_top_records(outcome))
        else:
            self._failures.append(
                Failure(
                    ResultCode.SERVER_REPLY_INVALID,
                    f'a backend server replied with status {outcome.status}',
                    RunState.RUN,
                ),
            )
        self._finish_if_due()

    def _keep_top_records(self, reply: Reply) -> Reply:
        """Return the reply without records that cannot be in the result."""
        count = self._routed_request.route.record_count
        if len(reply.body) <= count * RECORD_SIZE_BYTES:
            return reply
        return replace(reply, body=top_records((reply.body,), count))

    def _finish_if_due(self) -> None:
        """Finish if the reply is due or the coverage is out of reach."""
        shard_count = len(self.calls)
        reply_count = len(self._replies)
        failure_count = len(self._failures)
        is_covered = meets_coverage(
            self._routed_request.route, reply_count, shard_count
        )
        if is_covered and (
            self._is_past_target or reply_count + failure_count == shard_count
        ):
            self._finish_with_replies()
        elif not meets_coverage(
            self._routed_request.route, shard_count - failure_count, shard_count
        ):
            self._finish(self._failure())

    def _on_target(self) -> None:
        self._is_past_target = True
        self._finish_if_due()

    def _finish_with_replies(self) -> None:
        count = self._routed_request.route.record_count
        self._finish(
            MergedReply(
                top_records((reply.body for reply in self._replies), count),
                tuple(reply.signature or '' for reply in self._replies),
                len(self.calls) - len(self._replies),
            ),
        )

    def _failure(self) -> Failure:
        last_failure = self._failures[-1]
        return Failure(
            last_failure.code,
            last_failure.reason,
            self._run_state,
            _FAILED_RETRY_AFTER_S,
        )

    @property
    def _run_state(self) -> RunState:
        """Whether a backend server of any shard may have run the request."""
        has_run = bool(self._replies) or any(
            failure.run is not RunState.NOT_RUN for failure in self._failures
        )
        is_sent = has_run or any(
            call.run_state is not RunState.NOT_RUN for call in self.calls
        )
        return RunState.UNKNOWN if is_sent else RunState.NOT_RUN

    def _finish(self, outcome: MergedReply | Failure) -> None:
        if self._result.done():
            return
        self._cancel_timers()
        self._result.set_result(outcome)
        for call in self.calls:
            call.abandon()

    def _cancel_timers(self) -> None:
        for timer in self._deadline_timers:
            timer.cancel()
