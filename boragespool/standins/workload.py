"""Slots, cancellation, deadlines and counters of one backend server."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final, NoReturn

from boragespool.http import json_response
from boragespool.standins.attempts import Attempt, Work, refusal
from boragespool.standins.items import all_items, items_between
from boragespool.types import RunState, WorkKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.http import HttpResponse
    from boragespool.standins.switches import BackendSwitches
    from boragespool.types import AttemptId, Seconds, ServerName, ServiceName

_NOT_HELD: Final = 409
_RUN_WITH_ERROR: Final = 500
_LOAD_SAMPLES: Final = 10_000


@dataclass(slots=True)
class Counters:
    """What really happened on a server; restarts do not reset it."""

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
    #: Runs of each claim by its `Work.claim_id`.
    claims_run_by_id: Counter[str] = field(default_factory=Counter)


class Workload:
    """Work of one backend server.

    Parameters
    ----------
    server, service : str
        Names; they seed the stragglers and the items.
    seed : int
        Further seed of the stragglers.
    read_switches : callable
        Returns the switches in force.
    crash : callable
        Ends the server abruptly; it returns before the server has ended.
    """

    def __init__(
        self,
        server: ServerName,
        service: ServiceName,
        seed: int,
        read_switches: Callable[[], BackendSwitches],
        crash: Callable[[], None],
    ) -> None:
        """Start idle."""
        self.counters = Counters()
        self.in_flight = 0
        self._server = server
        self._service = service
        self._random = random.Random(f'{seed}:{server}')
        self._read_switches = read_switches
        self._crash = crash
        self._started_s = float('-inf')
        self._attempts_by_id: dict[AttemptId, Attempt] = {}
        self._waiting: deque[Attempt] = deque()
        self._load_samples: deque[tuple[Seconds, int]] = deque(
            [(self._started_s, 0)],
            maxlen=_LOAD_SAMPLES,
        )

    def start(self) -> None:
        """Begin a cold start."""
        self._started_s = asyncio.get_running_loop().time()

    @property
    def is_cold(self) -> bool:
        """Whether work still takes longer because of a cold start."""
        return self._slowdown() > 1

    def reported_in_flight(self) -> int:
        """Return the load of `BackendSwitches.load_lag_s` ago."""
        now_s = asyncio.get_running_loop().time()
        until_s = now_s - self._read_switches().load_lag_s
        for at_s, in_flight in reversed(self._load_samples):
            if at_s <= until_s:
                return in_flight
        return 0

    async def run(self, work: Work) -> HttpResponse:
        """Run work or refuse it."""
        refused = self._refuse(work)
        if refused is not None:
            return refused
        attempt = Attempt(work)
        self._attempts_by_id[work.attempt_id] = attempt
        try:
            return await self._run(attempt)
        finally:
            self._attempts_by_id.pop(work.attempt_id, None)

    def cancel(self, attempt_id: AttemptId) -> HttpResponse:
        """Cancel waiting work or a running query; claims run to their end."""
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is None:
            return _cancel_reply(RunState.UNKNOWN, cancelled=False)
        if attempt.has_begun and attempt.work.kind is WorkKind.CLAIM:
            return _cancel_reply(RunState.RUN, cancelled=False)
        self.counters.cancelled += not attempt.is_cancelled
        attempt.is_cancelled = True
        attempt.signal.set()
        return _cancel_reply(_run_state(attempt), cancelled=True)

    def _refuse(self, work: Work) -> HttpResponse | None:
        switches = self._read_switches()
        if switches.draining:
            self.counters.refused_draining += 1
            return refusal('draining', retry_after_s=1)
        if work.kind is WorkKind.QUERY and not self._holds(work):
            self.counters.not_held += 1
            return refusal('version_or_range_not_held', status=_NOT_HELD)
        is_full = self.in_flight >= switches.slots
        if is_full and len(self._waiting) >= switches.backlog:
            self.counters.shed += 1
            return refusal('shed', retry_after_s=switches.service_time_s)
        return None

    def _holds(self, work: Work) -> bool:
        """Tell whether held ranges, joined where they touch, cover work."""
        reached = work.start
        held = self._read_switches().holdings.get(work.version, ())
        for start, end in sorted(held):
            if start <= reached < end:
                reached = end
        return work.start < work.end <= reached

    async def _run(self, attempt: Attempt) -> HttpResponse:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + attempt.work.deadline_s
        await self._wait_for_slot(attempt, deadline_s)
        if attempt.is_cancelled:
            return refusal('cancelled')
        if loop.time() >= deadline_s:
            self.counters.expired += 1
            return refusal('deadline')
        if attempt.work.field('crash') == 'before':
            await self._crash_now()
        self._begin(attempt)
        try:
            return await self._serve(attempt)
        finally:
            self._end()

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
            # Several slots may have become free since the last wake-up.
            self._wake_next()

    def _begin(self, attempt: Attempt) -> None:
        attempt.has_begun = True
        self.in_flight += 1
        self._note_load()
        counters = self.counters
        counters.peak_in_flight = max(counters.peak_in_flight, self.in_flight)
        counters.work_run += 1
        counters.work_run_by_rank[attempt.work.rank] += 1
        if attempt.work.kind is WorkKind.CLAIM:
            counters.claims_run += 1
            counters.claims_run_by_id[attempt.work.claim_id] += 1

    def _end(self) -> None:
        self.in_flight -= 1
        self._note_load()
        self._wake_next()

    def _wake_next(self) -> None:
        if self._waiting:
            self._waiting[0].signal.set()

    async def _serve(self, attempt: Attempt) -> HttpResponse:
        work = attempt.work
        # Read before the wait: an answer comes from one snapshot even if the
        # holdings change meanwhile.
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
            return refusal('cancelled', RunState.RUN)
        if work.field('crash'):
            await self._crash_now()
        if work.kind is WorkKind.CLAIM:
            return self._claim_reply(work)
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

    def _claim_reply(self, work: Work) -> HttpResponse:
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
        if work.field('fail'):
            outcome['error'] = 'the body asked for a failure'
            return json_response(body, _RUN_WITH_ERROR)
        return json_response(body)

    async def _crash_now(self) -> NoReturn:
        """Crash and wait until the crash cancels this handler."""
        self._crash()
        while True:
            await asyncio.sleep(1)

    def _draw_service_time_s(self) -> Seconds:
        switches = self._read_switches()
        service_time_s = switches.service_time_s * self._slowdown()
        if self._random.random() < switches.straggler_probability:
            self.counters.stragglers += 1
            service_time_s *= switches.straggler_factor
        return service_time_s

    def _slowdown(self) -> float:
        switches = self._read_switches()
        age_s = asyncio.get_running_loop().time() - self._started_s
        if age_s >= switches.cold_s:
            return 1
        left = 1 - age_s / switches.cold_s
        return 1 + (switches.cold_factor - 1) * left

    def _note_load(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._load_samples.append((now_s, self.in_flight))


def _run_state(attempt: Attempt) -> RunState:
    return RunState.RUN if attempt.has_begun else RunState.NOT_RUN


def _cancel_reply(run: RunState, *, cancelled: bool) -> HttpResponse:
    return json_response({'cancelled': cancelled, 'run': run})
