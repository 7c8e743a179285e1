"""Overload control: limits the requests admitted when the event loop is late.

Measures the lateness of the event loop in windows, decides the share of
requests to admit by rank, and posts it as `ADMISSION`.
"""

from __future__ import annotations

import logging
import time
from collections import Counter
from typing import TYPE_CHECKING, Final, Self

from boragespool.blackboard.topics import ADMISSION, DOCUMENT_IN_FORCE
from boragespool.events import Event, log_event
from boragespool.metrics import ADMITTED_RATIO, LOOP_LATENESS
from boragespool.ranks import (
    Admission,
    LoopWindow,
    RequestSampler,
    next_admission,
)
from boragespool.results import Failure, ResultCode
from boragespool.settings import Settings
from boragespool.types import Rank

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from boragespool.controllers.context import Context
    from boragespool.timers import TimerHandle
    from boragespool.types import Seconds

#: Interval of the timer that measures the lateness, in seconds. Its 40 calls
#: per second cost about 0.1% of a core.
_TICK_INTERVAL_S: Final = 0.025
#: Length of a measuring window, in seconds; each one ends with a decision.
_WINDOW_S: Final = 0.25
#: Minimum time between two log events during one overload, in seconds.
_LOG_INTERVAL_S: Final = 1
#: Time after which refused callers may retry, in seconds. By then the lower
#: limit on admissions has reduced the load.
_RETRY_AFTER_S: Final = 1


class OverloadController:
    """Admits or refuses requests of callers by rank; a context manager.

    Parameters
    ----------
    context : Context
        Blackboard and timers of the daemon.
    cpu_time_s : callable, optional
        Returns the CPU time used by the event loop's thread, in seconds.
    """

    def __init__(
        self,
        context: Context,
        cpu_time_s: Callable[[], Seconds] = time.thread_time,
    ) -> None:
        """Admit all requests; `__enter__` starts to measure."""
        self._cpu_time_s = cpu_time_s
        self._window_start_cpu_s: Seconds = 0
        self._context = context
        self._admission = Admission()
        self._sampler_by_rank = {rank: RequestSampler() for rank in Rank}
        self._refusal_by_rank: dict[Rank, Failure] = {}
        self._timer_handle: TimerHandle | None = None
        self._arrived_by_rank: Counter[Rank] = Counter()
        self._admitted_by_rank: Counter[Rank] = Counter()
        self._timer_delays_s: list[Seconds] = []
        self._request_waits_s: list[Seconds] = []
        self._last_tick_at_s: Seconds = 0
        self._window_started_at_s: Seconds = 0
        self._last_logged_at_s = float('-inf')

    def __enter__(self) -> Self:
        """Start the first window and the timer."""
        timers = self._context.timers
        self._last_tick_at_s = timers.now_s()
        self._window_started_at_s = self._last_tick_at_s
        self._window_start_cpu_s = self._cpu_time_s()
        self._timer_handle = timers.every(_TICK_INTERVAL_S, self._tick)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the timer; the last decision remains."""
        if self._timer_handle is not None:
            self._timer_handle.cancel()

    def record_wait(self, waited_s: Seconds) -> None:
        """Record how long a request waited for the event loop."""
        self._request_waits_s.append(waited_s)

    def refuse(self, rank: Rank) -> Failure | None:
        """Count a request; return a failure if it is not admitted."""
        self._arrived_by_rank[rank] += 1
        share = self._admission.share_by_rank[rank]
        if share >= 1 or self._sampler_by_rank[rank].admit(share):
            self._admitted_by_rank[rank] += 1
            return None
        return self._refusal_by_rank[rank]

    def _tick(self) -> None:
        now_s = self._context.timers.now_s()
        self._timer_delays_s.append(
            max(0, now_s - self._last_tick_at_s - _TICK_INTERVAL_S)
        )
        self._last_tick_at_s = now_s
        if now_s - self._window_started_at_s >= _WINDOW_S:
            self._end_window(now_s)

    def _end_window(self, now_s: Seconds) -> None:
        cpu_s = self._cpu_time_s()
        duration_s = now_s - self._window_started_at_s
        window = LoopWindow(
            duration_s,
            max(_mean(self._timer_delays_s), _mean(self._request_waits_s)),
            self._arrived_by_rank,
            self._admitted_by_rank,
            (cpu_s - self._window_start_cpu_s) / duration_s,
        )
        self._window_start_cpu_s = cpu_s
        before = self._admission
        after = next_admission(before, window, self._floors())
        self._window_started_at_s = now_s
        self._arrived_by_rank = Counter()
        self._admitted_by_rank = Counter()
        self._timer_delays_s.clear()
        self._request_waits_s.clear()
        self._admission = after
        self._refusal_by_rank = {
            rank: _overload_refusal(rank, share)
            for rank, share in after.share_by_rank.items()
        }
        self._publish(before, after, now_s)

    def _publish(
        self,
        before: Admission,
        after: Admission,
        now_s: Seconds,
    ) -> None:
        self._context.board.post(ADMISSION, after)
        LOOP_LATENESS.set(after.lateness_s)
        for rank, share in after.share_by_rank.items():
            ADMITTED_RATIO.labels(rank.value).set(share)
        is_due = now_s - self._last_logged_at_s >= _LOG_INTERVAL_S
        if before.is_limited != after.is_limited or (
            is_due and before.share_by_rank != after.share_by_rank
        ):
            self._last_logged_at_s = now_s
            _log_change(before, after)

    def _floors(self) -> Mapping[Rank, float]:
        document = self._context.board.read(DOCUMENT_IN_FORCE)
        settings = document.settings if document else Settings()
        return {
            rank: rank_settings.floor
            for rank, rank_settings in settings.ranks.items()
        }


def _mean(samples_s: list[Seconds]) -> Seconds:
    return sum(samples_s) / len(samples_s) if samples_s else 0


def _overload_refusal(rank: Rank, share: float) -> Failure:
    return Failure(
        ResultCode.OVERLOADED,
        f'the daemon is overloaded and admits {share:.2f} of the '
        f'{rank.value!r} requests',
        retry_after_s=_RETRY_AFTER_S,
    )


def _log_change(before: Admission, after: Admission) -> None:
    shares = _rounded_shares(after)
    log_event(
        Event.ADMISSION_CHANGED,
        f'admitted shares of requests by rank are {shares!r}',
        level=logging.WARNING if after.is_limited else logging.INFO,
        shares_before=_rounded_shares(before),
        shares=shares,
        limit_per_s=after.limit_per_s if after.is_limited else None,
        lateness_s=round(after.lateness_s, 4),
        wanted_per_s={
            rank.value: round(expected_per_s, 1)
            for rank, expected_per_s in after.expected_per_s_by_rank.items()
        },
    )


def _rounded_shares(admission: Admission) -> dict[str, float]:
    return {
        rank.value: round(share, 3)
        for rank, share in admission.share_by_rank.items()
    }
