"""Work as a queue sees it, and what a queue decided."""

from __future__ import annotations

from dataclasses import dataclass

from boragespool.results import Failure
from boragespool.types import AttemptId, CallerName, Rank, Seconds


@dataclass(frozen=True, slots=True)
class QueuedWork:
    """One attempt that waits for a slot or holds one.

    Attributes
    ----------
    deadline_at_s : float
        Time at which the answer is useless, on the clock of the queue.
    cancellable : bool
        Whether it may be pre-empted after it started.
    solo : bool
        Runs only while nothing else runs on the server.
    """

    attempt_id: AttemptId
    rank: Rank
    caller: CallerName
    deadline_at_s: Seconds
    cancellable: bool = True
    solo: bool = False


@dataclass(frozen=True, slots=True)
class RefusedWork:
    """Work that leaves the queue without having run."""

    work: QueuedWork
    failure: Failure


@dataclass(frozen=True, slots=True)
class RankCounts:
    """Queued work and held slots of one rank."""

    waiting: int
    running: int


@dataclass(frozen=True, slots=True)
class ScheduleResult:
    """Result of one look at the queue.

    Attributes
    ----------
    started : tuple of QueuedWork
        Work that holds a slot from now on.
    refused : tuple of RefusedWork
        Queued work whose deadline passed.
    preempted : tuple of QueuedWork
        Running work to cancel. It holds its slot until it is finished.
    """

    started: tuple[QueuedWork, ...] = ()
    refused: tuple[RefusedWork, ...] = ()
    preempted: tuple[QueuedWork, ...] = ()
