"""Queues of backend servers in virtual time under seeded load."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final, Protocol

from boragespool.ranks import QueuedWork, RefusedWork, ScheduleResult
from boragespool.types import Rank

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from boragespool.types import AttemptId, Seconds

SLOTS: Final = 5
SERVICE_S: Final = 0.02
#: Time until a cancelled request has freed its slot.
CANCEL_S: Final = 0.002
DEADLINE_S: Final = MappingProxyType(
    {Rank.URGENT: 0.39, Rank.ROUTINE: 1, Rank.DEFERRABLE: 5},
)
_GAMMA_SHAPE: Final = 4


class Policy(Protocol):
    """What is measured: a queue of one backend server."""

    @property
    def waiting_count(self) -> int:
        """Queued work."""
        ...

    def offer(
        self,
        work: QueuedWork,
        now_s: Seconds,
        /,
    ) -> tuple[RefusedWork, ...]:
        """Queue work or refuse it."""
        ...

    def schedule(self, now_s: Seconds, /) -> ScheduleResult:
        """Decide what starts and what is cancelled."""
        ...

    def finish(
        self,
        attempt_id: AttemptId,
        now_s: Seconds,
        /,
        *,
        served: bool = True,
    ) -> bool:
        """Release a slot."""
        ...


@dataclass(frozen=True, slots=True)
class Load:
    """Demand in multiples of the capacity, before, in and after a flood.

    Attributes
    ----------
    base, flood : mapping of Rank to float
        Offered slot time per slot.
    begin_s, end_s, stop_s : float
        Flood begins, flood ends, arrivals stop.
    """

    base: Mapping[Rank, float]
    flood: Mapping[Rank, float]
    begin_s: Seconds = 5
    end_s: Seconds = 15
    stop_s: Seconds = 25
    callers: int = 20

    def factor(self, rank: Rank, now_s: Seconds) -> float:
        """Return the demand of a rank at a time."""
        in_flood = self.begin_s <= now_s < self.end_s
        return (self.flood if in_flood else self.base).get(rank, 0)


@dataclass(slots=True)
class Outcome:
    """What happened to one piece of work."""

    rank: Rank
    arrived_s: Seconds
    service_s: Seconds
    deadline_at_s: Seconds
    done_s: Seconds | None = None
    preempted: bool = False

    @property
    def in_time(self) -> bool:
        """Whether it was answered before its deadline."""
        return self.done_s is not None and self.done_s <= self.deadline_at_s


@dataclass(slots=True)
class Run:
    """State and results of one simulation."""

    policies: Sequence[Policy]
    seed: int
    outcomes: dict[AttemptId, Outcome] = field(default_factory=dict)


class _Clockwork:
    """Event queue of one run."""

    def __init__(self, run: Run, load: Load) -> None:
        self._run = run
        self._load = load
        self._draw = random.Random(run.seed)
        self._order = itertools.count()
        self._events: list[tuple[Seconds, int, str, Any]] = []
        self._server_by_attempt: dict[AttemptId, int] = {}
        self._cancelled: set[AttemptId] = set()

    def simulate(self) -> None:
        for rank in Rank:
            self._next_arrival(0, rank)
        while self._events:
            now_s, _, kind, subject = heapq.heappop(self._events)
            if kind == 'arrive':
                server = self._arrive(now_s, subject)
                self._next_arrival(now_s, subject)
            else:
                server = self._server_by_attempt.pop(subject, -1)
                self._finish(now_s, server, subject, kind)
            if server >= 0:
                self._apply(now_s, server)

    def _push(self, at_s: Seconds, kind: str, subject: Any) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), kind, subject))

    def _next_arrival(self, now_s: Seconds, rank: Rank) -> None:
        """Draw the next arrival; demand may change at the flood's ends."""
        at_s = now_s
        while at_s < self._load.stop_s:
            factor = self._load.factor(rank, at_s)
            edges = (self._load.begin_s, self._load.end_s, self._load.stop_s)
            edge_s = min(edge for edge in edges if edge > at_s)
            servers = len(self._run.policies)
            rate = factor * SLOTS * servers / SERVICE_S
            gap_s = self._draw.expovariate(rate) if rate else edge_s
            if at_s + gap_s < edge_s:
                self._push(at_s + gap_s, 'arrive', rank)
                return
            at_s = edge_s

    def _arrive(self, now_s: Seconds, rank: Rank) -> int:
        """Offer new work to the shorter of two queues."""
        number = len(self._run.outcomes)
        work = QueuedWork(
            f'w{number}',
            rank,
            str(self._draw.randrange(self._load.callers)),
            now_s + DEADLINE_S[rank],
        )
        scale_s = SERVICE_S / _GAMMA_SHAPE
        self._run.outcomes[work.attempt_id] = Outcome(
            rank,
            now_s,
            self._draw.gammavariate(_GAMMA_SHAPE, scale_s),
            work.deadline_at_s,
        )
        servers = range(len(self._run.policies))
        pair = (self._draw.choice(servers), self._draw.choice(servers))
        server = min(
            pair,
            key=lambda each: self._run.policies[each].waiting_count,
        )
        self._run.policies[server].offer(work, now_s)
        return server

    def _finish(
        self,
        now_s: Seconds,
        server: int,
        attempt_id: AttemptId,
        kind: str,
    ) -> None:
        if server < 0:
            return
        served = kind == 'done'
        self._run.policies[server].finish(attempt_id, now_s, served=served)
        outcome = self._run.outcomes[attempt_id]
        outcome.preempted = not served
        if served:
            outcome.done_s = now_s

    def _apply(self, now_s: Seconds, server: int) -> None:
        grants = self._run.policies[server].schedule(now_s)
        for started in grants.started:
            attempt_id = started.attempt_id
            self._server_by_attempt[attempt_id] = server
            service_s = self._run.outcomes[attempt_id].service_s
            self._push(now_s + service_s, 'done', attempt_id)
        for preempted in grants.preempted:
            self._push(now_s + CANCEL_S, 'cancel', preempted.attempt_id)


def simulate(policies: Sequence[Policy], load: Load, seed: int) -> Run:
    """Run one load through the queues of a set of backend servers."""
    run = Run(policies, seed)
    _Clockwork(run, load).simulate()
    return run


def arrived_between(
    run: Run,
    rank: Rank,
    begin_s: Seconds,
    end_s: Seconds,
) -> Iterator[Outcome]:
    """Yield the work of a rank that arrived in a period."""
    for outcome in run.outcomes.values():
        if outcome.rank == rank and begin_s <= outcome.arrived_s < end_s:
            yield outcome


def served_share(
    run: Run, rank: Rank, begin_s: Seconds, end_s: Seconds
) -> float:
    """Return useful slot time of a rank in a period per slot time, 0 to 1."""
    served_s = sum(
        outcome.service_s
        for outcome in run.outcomes.values()
        if outcome.rank == rank
        and outcome.in_time
        and outcome.done_s is not None
        and begin_s <= outcome.done_s < end_s
    )
    return served_s / (end_s - begin_s) / SLOTS / len(run.policies)


def recovery_s(run: Run, load: Load) -> Seconds:
    """Return the time after the flood until no more work is lost.

    Pre-empted work does not count, as it is pre-empted in calm times too.
    """
    return max(
        (
            outcome.arrived_s - load.end_s
            for outcome in run.outcomes.values()
            if not outcome.preempted
            and outcome.arrived_s >= load.end_s
            and not outcome.in_time
        ),
        default=0,
    )
