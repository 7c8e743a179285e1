"""Discrete-event simulation of backend server queues under seeded load.

Time is virtual and in seconds.
"""

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
MEAN_SERVICE_TIME_S: Final = 0.02
#: Time until a cancelled request frees its slot.
CANCEL_DELAY_S: Final = 0.002
DEADLINE_S_BY_RANK: Final = MappingProxyType(
    {Rank.URGENT: 0.39, Rank.ROUTINE: 1, Rank.DEFERRABLE: 5},
)
#: Shape parameter of the gamma distribution of service times.
_GAMMA_SHAPE: Final = 4


class QueuePolicy(Protocol):
    """Queue policy of one backend server."""

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a slot."""
        ...

    def enqueue(
        self,
        work: QueuedWork,
        now_s: Seconds,
        /,
    ) -> tuple[RefusedWork, ...]:
        """Enqueue work; return the work that is refused."""
        ...

    def schedule(self, now_s: Seconds, /) -> ScheduleResult:
        """Return the work to start and the running work to pre-empt."""
        ...

    def finish(
        self,
        attempt_id: AttemptId,
        now_s: Seconds,
        /,
        *,
        served: bool = True,
    ) -> bool:
        """Free the slot of an attempt; `served` is false if it was cancelled."""
        ...


@dataclass(frozen=True, slots=True)
class Load:
    """Demand by rank outside and during a flood.

    Attributes
    ----------
    base, flood : mapping of Rank to float
        Demand outside and during the flood, in multiples of the capacity:
        offered slot time divided by available slot time.
    begin_s, end_s : float
        Start and end of the flood, in seconds.
    stop_s : float
        Time of the last arrivals, in seconds.
    caller_count : int
        Number of callers that send the work.
    """

    base: Mapping[Rank, float]
    flood: Mapping[Rank, float]
    begin_s: Seconds = 5
    end_s: Seconds = 15
    stop_s: Seconds = 25
    caller_count: int = 20

    def demand(self, rank: Rank, now_s: Seconds) -> float:
        """Return the demand of a rank at a time, in multiples of capacity."""
        in_flood = self.begin_s <= now_s < self.end_s
        return (self.flood if in_flood else self.base).get(rank, 0)


@dataclass(slots=True)
class WorkOutcome:
    """Arrival, service time and outcome of one request.

    Attributes
    ----------
    service_time_s : float
        Time that the request takes in a slot, in seconds.
    done_at_s : float or None
        Time of the answer; None if there was none.
    preempted : bool
        Whether it was cancelled in favour of other work.
    """

    rank: Rank
    arrived_at_s: Seconds
    service_time_s: Seconds
    deadline_at_s: Seconds
    done_at_s: Seconds | None = None
    preempted: bool = False

    @property
    def in_time(self) -> bool:
        """Whether the answer came before the deadline."""
        return (
            self.done_at_s is not None and self.done_at_s <= self.deadline_at_s
        )


@dataclass(slots=True)
class SimulationRun:
    """Input and results of one simulation.

    Attributes
    ----------
    queues : sequence of QueuePolicy
        Queue of each backend server.
    seed : int
        Seed of arrivals and service times.
    outcomes_by_id : dict
        Outcome of each request, in the order of arrival.
    """

    queues: Sequence[QueuePolicy]
    seed: int
    outcomes_by_id: dict[AttemptId, WorkOutcome] = field(default_factory=dict)


class _Simulator:
    """Event loop of one simulation, ordered by virtual time."""

    def __init__(self, run: SimulationRun, load: Load) -> None:
        self._run = run
        self._load = load
        self._rng = random.Random(run.seed)
        self._sequence_numbers = itertools.count()
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
                self._schedule(now_s, server)

    def _push(self, at_s: Seconds, kind: str, subject: Any) -> None:
        heapq.heappush(
            self._events, (at_s, next(self._sequence_numbers), kind, subject)
        )

    def _next_arrival(self, now_s: Seconds, rank: Rank) -> None:
        """Draw the next arrival of a rank and add it to the events.

        The rate changes at the start and the end of the flood. A draw beyond
        such a boundary is repeated from the boundary with the new rate.
        """
        at_s = now_s
        while at_s < self._load.stop_s:
            demand = self._load.demand(rank, at_s)
            boundaries_s = (
                self._load.begin_s,
                self._load.end_s,
                self._load.stop_s,
            )
            boundary_s = min(
                boundary for boundary in boundaries_s if boundary > at_s
            )
            servers = len(self._run.queues)
            rate = demand * SLOTS * servers / MEAN_SERVICE_TIME_S
            interval_s = self._rng.expovariate(rate) if rate else boundary_s
            if at_s + interval_s < boundary_s:
                self._push(at_s + interval_s, 'arrive', rank)
                return
            at_s = boundary_s

    def _arrive(self, now_s: Seconds, rank: Rank) -> int:
        """Enqueue new work in the shorter of two random queues.

        Returns
        -------
        int
            Index of the server.
        """
        number = len(self._run.outcomes_by_id)
        work = QueuedWork(
            f'w{number}',
            rank,
            str(self._rng.randrange(self._load.caller_count)),
            now_s + DEADLINE_S_BY_RANK[rank],
        )
        scale_s = MEAN_SERVICE_TIME_S / _GAMMA_SHAPE
        self._run.outcomes_by_id[work.attempt_id] = WorkOutcome(
            rank,
            now_s,
            self._rng.gammavariate(_GAMMA_SHAPE, scale_s),
            work.deadline_at_s,
        )
        servers = range(len(self._run.queues))
        candidates = (self._rng.choice(servers), self._rng.choice(servers))
        server = min(
            candidates,
            key=lambda index: self._run.queues[index].waiting_count,
        )
        self._run.queues[server].enqueue(work, now_s)
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
        self._run.queues[server].finish(attempt_id, now_s, served=served)
        outcome = self._run.outcomes_by_id[attempt_id]
        outcome.preempted = not served
        if served:
            outcome.done_at_s = now_s

    def _schedule(self, now_s: Seconds, server: int) -> None:
        result = self._run.queues[server].schedule(now_s)
        for started in result.started:
            attempt_id = started.attempt_id
            self._server_by_attempt[attempt_id] = server
            service_time_s = self._run.outcomes_by_id[attempt_id].service_time_s
            self._push(now_s + service_time_s, 'done', attempt_id)
        for preempted in result.preempted:
            self._push(now_s + CANCEL_DELAY_S, 'cancel', preempted.attempt_id)


def simulate(
    queues: Sequence[QueuePolicy], load: Load, seed: int
) -> SimulationRun:
    """Simulate one load on a set of backend servers.

    Parameters
    ----------
    queues : sequence of QueuePolicy
        Empty queue of each backend server.
    load : Load
        Demand over time.
    seed : int
        Seed of arrivals and service times.
    """
    run = SimulationRun(queues, seed)
    _Simulator(run, load).simulate()
    return run


def arrived_between(
    run: SimulationRun,
    rank: Rank,
    begin_s: Seconds,
    end_s: Seconds,
) -> Iterator[WorkOutcome]:
    """Yield the outcomes of work of a rank that arrived in a period."""
    for outcome in run.outcomes_by_id.values():
        if outcome.rank == rank and begin_s <= outcome.arrived_at_s < end_s:
            yield outcome


def served_share(
    run: SimulationRun, rank: Rank, begin_s: Seconds, end_s: Seconds
) -> float:
    """Return the share of slot time spent on useful work of a rank, 0 to 1.

    Work is useful if it is answered in the period and before its deadline.
    """
    served_s = sum(
        outcome.service_time_s
        for outcome in run.outcomes_by_id.values()
        if outcome.rank == rank
        and outcome.in_time
        and outcome.done_at_s is not None
        and begin_s <= outcome.done_at_s < end_s
    )
    return served_s / (end_s - begin_s) / SLOTS / len(run.queues)


def recovery_s(run: SimulationRun, load: Load) -> Seconds:
    """Return the time after the flood until no more work misses its deadline.

    Pre-empted work does not count, because some work is pre-empted without a
    flood too.
    """
    return max(
        (
            outcome.arrived_at_s - load.end_s
            for outcome in run.outcomes_by_id.values()
            if not outcome.preempted
            and outcome.arrived_at_s >= load.end_s
            and not outcome.in_time
        ),
        default=0,
    )
