"""Scheduling of work in one stand-in backend server.

Owns the slots, the waiting attempts, the reported load and the counters.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final, NoReturn

from boragespool.http import json_response
from boragespool.standins.attempts import Attempt, Work, refusal_response
from boragespool.standins.items import all_items, items_between
from boragespool.types import RunState, WorkKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.http import HttpResponse
    from boragespool.standins.switches import BackendSwitches
    from boragespool.types import AttemptId, Seconds, ServerName, ServiceName

_NOT_HELD_STATUS: Final = 409
_CLAIM_ERROR_STATUS: Final = 500
_MAX_LOAD_SAMPLES: Final = 10_000


@dataclass(slots=True)
class Counters:
    """Counts of what a server did, whatever its status reports.

    Restarts do not reset them.

    Attributes
    ----------
    work_run, claims_run : int
        Requests that started to run, and how many of them were claims.
    cancelled : int
        Requests cancelled while they waited or ran.
    shed, expired, not_held, refused_draining : int
        Requests refused because the backlog was full, the deadline passed
        before a slot was free, the version or range is not held, or the
        server was draining.
    stragglers : int
        Requests that ran `BackendSwitches.straggler_factor` times longer.
    crashes, silenced : int
        Crashes, and calls of `BackendServer.silence`.
    connections_opened : int
        Connections on which at least one request arrived.
    peak_in_flight : int
        Largest number of requests that ran at the same time.
    """

    work_run: int = 0
    claims_run: int = 0
    cancelled: int = 0
    shed: int = 0
    expired: int = 0
    not_held: int = 0
    refused_draining: int = 0
    stragglers: int = 0
    crashes: int = 0
    silenced: int = 0
    connections_opened: int = 0
    peak_in_flight: int = 0
    work_run_by_rank: Counter[str] = field(default_factory=Counter)
    #: Number of runs of each claim by `Work.claim_id`.
    claims_run_by_id: Counter[str] = field(default_factory=Counter)


class Workload:
    """Runs the work of one backend server in a limited number of slots.

    Parameters
    ----------
    server : str
        Name of the server; also part of the seed of the stragglers.
    service : str
        Name of the service; the synthetic items depend on it.
    seed : int
        Seed of the random choice of stragglers.
    read_switches : callable
        Returns the switches in force.
    crash : callable
        Starts a crash of the server; it returns before handlers are cancelled.

    Attributes
    ----------
    counters : Counters
        Counts since the creation.
    in_flight : int
        Number of requests that run now.
    """

    def __init__(
        self,
        server: ServerName,
        service: ServiceName,
        seed: int,
        read_switches: Callable[[], BackendSwitches],
        crash: Callable[[], None],
    ) -> None:
        """Set up a workload without work."""
        self.counters = Counters()
        self.in_flight = 0
        self._server = server
        self._service = service
        self._random = random.Random(f'{seed}:{server}')
        self._read_switches = read_switches
        self._crash = crash
        self._started_at_s = float('-inf')
        self._attempts_by_id: dict[AttemptId, Attempt] = {}
        self._waiting: deque[Attempt] = deque()
        self._load_samples: deque[tuple[Seconds, int]] = deque(
            [(self._started_at_s, 0)],
            maxlen=_MAX_LOAD_SAMPLES,
        )

    def start(self) -> None:
        """Note the start of the server, from which the cold period counts."""
        self._started_at_s = asyncio.get_running_loop().time()

    @property
    def is_cold(self) -> bool:
        """Whether work still takes longer after the last start."""
        return self._cold_start_factor() > 1

    def reported_in_flight(self) -> int:
        """Return the work in flight `BackendSwitches.load_lag_s` seconds ago."""
        now_s = asyncio.get_running_loop().time()
        sampled_before_s = now_s - self._read_switches().load_lag_s
        for sampled_at_s, in_flight in reversed(self._load_samples):
            if sampled_at_s <= sampled_before_s:
                return in_flight
        return 0

    async def run(self, work: Work) -> HttpResponse:
        """Run work as soon as a slot is free, or refuse it."""
        refusal = self._refuse_if_needed(work)
        if refusal is not None:
            return refusal
        attempt = Attempt(work)
        self._attempts_by_id[work.attempt_id] = attempt
        try:
            return await self._run(attempt)
        finally:
            self._attempts_by_id.pop(work.attempt_id, None)

    def cancel(self, attempt_id: AttemptId) -> HttpResponse:
        """Cancel waiting work or a running query; a started claim goes on."""
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is None:
            return _cancel_response(RunState.UNKNOWN, cancelled=False)
        if attempt.has_started and attempt.work.kind is WorkKind.CLAIM:
            return _cancel_response(RunState.RUN, cancelled=False)
        self.counters.cancelled += not attempt.is_cancelled
        attempt.is_cancelled = True
        attempt.wake_event.set()
        return _cancel_response(_run_state(attempt), cancelled=True)

    def _refuse_if_needed(self, work: Work) -> HttpResponse | None:
        switches = self._read_switches()
        if switches.draining:
            self.counters.refused_draining += 1
            return refusal_response('draining', retry_after_s=1)
        if work.kind is WorkKind.QUERY and not self._holds(work):
            self.counters.not_held += 1
            return refusal_response(
                'version_or_range_not_held', status=_NOT_HELD_STATUS
            )
        is_full = self.in_flight >= switches.slots
        if is_full and len(self._waiting) >= switches.backlog:
            self.counters.shed += 1
            return refusal_response(
                'shed', retry_after_s=switches.service_time_s
            )
        return None

    def _holds(self, work: Work) -> bool:
        """Whether the union of the held ranges covers the range of the work."""
        covered_until = work.start
        held = self._read_switches().holdings.get(work.version, ())
        for start, end in sorted(held):
            if start <= covered_until < end:
                covered_until = end
        return work.start < work.end <= covered_until

    async def _run(self, attempt: Attempt) -> HttpResponse:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + attempt.work.deadline_s
        await self._wait_for_slot(attempt, deadline_s)
        if attempt.is_cancelled:
            return refusal_response('cancelled')
        if loop.time() >= deadline_s:
            self.counters.expired += 1
            return refusal_response('deadline')
        if attempt.work.body_field('crash') == 'before':
            await self._crash_now()
        self._start_attempt(attempt)
        try:
            return await self._execute(attempt)
        finally:
            self._finish_attempt()

    async def _wait_for_slot(
        self,
        attempt: Attempt,
        deadline_s: Seconds,
    ) -> None:
        if self.in_flight < self._read_switches().slots:
            return
        loop = asyncio.get_running_loop()
        self._waiting.append(attempt)
        try:
            while not attempt.is_cancelled and loop.time() < deadline_s:
                is_first = self._waiting[0] is attempt
                if is_first and self.in_flight < self._read_switches().slots:
                    break
                await attempt.wait(deadline_s - loop.time())
        finally:
            self._waiting.remove(attempt)
            # More than one slot may be free, but only the first waiting
            # attempt was woken.
            self._wake_next()

    def _start_attempt(self, attempt: Attempt) -> None:
        attempt.has_started = True
        self.in_flight += 1
        self._record_load()
        counters = self.counters
        counters.peak_in_flight = max(counters.peak_in_flight, self.in_flight)
        counters.work_run += 1
        counters.work_run_by_rank[attempt.work.rank] += 1
        if attempt.work.kind is WorkKind.CLAIM:
            counters.claims_run += 1
            counters.claims_run_by_id[attempt.work.claim_id] += 1

    def _finish_attempt(self) -> None:
        self.in_flight -= 1
        self._record_load()
        self._wake_next()

    def _wake_next(self) -> None:
        if self._waiting:
            self._waiting[0].wake_event.set()

    async def _execute(self, attempt: Attempt) -> HttpResponse:
        work = attempt.work
        # Read the items before the wait, so that the reply comes from one
        # snapshot even if the switches change meanwhile.
        items = items_between(
            all_items(
                self._service,
                work.version,
                self._read_switches().item_count,
            ),
            work.start,
            work.end,
            work.body,
        )
        await attempt.wait(self._draw_service_time_s())
        if attempt.is_cancelled:
            return refusal_response('cancelled', RunState.RUN)
        if work.body_field('crash'):
            await self._crash_now()
        if work.kind is WorkKind.CLAIM:
            return self._claim_response(work)
        return json_response(
            {
                'attempt_id': work.attempt_id,
                'version': work.version,
                'start': work.start,
                'end': work.end,
                'items': items,
                'item_count': len(items),
                'run': RunState.RUN,
            },
        )

    def _claim_response(self, work: Work) -> HttpResponse:
        outcome: dict[str, Any] = {
            'claim_id': work.claim_id,
            'server': self._server,
            'runs': self.counters.claims_run_by_id[work.claim_id],
        }
        body = {
            'attempt_id': work.attempt_id,
            'run': RunState.RUN,
            'outcome': outcome,
        }
        if work.body_field('fail'):
            outcome['error'] = 'the body asked for a failure'
            return json_response(body, _CLAIM_ERROR_STATUS)
        return json_response(body)

    async def _crash_now(self) -> NoReturn:
        """Start a crash and wait until it cancels this handler."""
        self._crash()
        while True:
            await asyncio.sleep(1)

    def _draw_service_time_s(self) -> Seconds:
        switches = self._read_switches()
        service_time_s = switches.service_time_s * self._cold_start_factor()
        if self._random.random() < switches.straggler_probability:
            self.counters.stragglers += 1
            service_time_s *= switches.straggler_factor
        return service_time_s

    def _cold_start_factor(self) -> float:
        """Return the factor by which a cold start lengthens work now."""
        switches = self._read_switches()
        uptime_s = asyncio.get_running_loop().time() - self._started_at_s
        if uptime_s >= switches.cold_s:
            return 1
        remaining_share = 1 - uptime_s / switches.cold_s
        return 1 + (switches.cold_factor - 1) * remaining_share

    def _record_load(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._load_samples.append((now_s, self.in_flight))


def _run_state(attempt: Attempt) -> RunState:
    return RunState.RUN if attempt.has_started else RunState.NOT_RUN


def _cancel_response(run: RunState, *, cancelled: bool) -> HttpResponse:
    return json_response({'cancelled': cancelled, 'run': run})
