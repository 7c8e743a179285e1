"""Work in the queue of a backend server, and the decisions of the queue."""

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
        Time from which the reply is of no use, in seconds on the clock of the
        queue.
    cancellable : bool
        Whether it may be cancelled after it started.
    solo : bool
        Whether it runs only while nothing else runs on the server.
    """

    attempt_id: AttemptId
    rank: Rank
    caller: CallerName
    deadline_at_s: Seconds
    cancellable: bool = True
    solo: bool = False


@dataclass(frozen=True, slots=True)
class RefusedWork:
    """Work that left the queue without being run, with the reason."""

    work: QueuedWork
    failure: Failure


@dataclass(frozen=True, slots=True)
class RankCounts:
    """Number of queued and of running pieces of work of one rank."""

    waiting: int
    running: int


@dataclass(frozen=True, slots=True)
class ScheduleResult:
    """Result of one scheduling pass over the queue.

    Attributes
    ----------
    started : tuple of QueuedWork
        Work that got a slot and is to be sent.
    refused : tuple of RefusedWork
        Queued work that was removed because its deadline passed.
    preempted : tuple of QueuedWork
        Running work to cancel. It keeps its slot until `ServerQueue.finish`
        is called for it.
    """

    started: tuple[QueuedWork, ...] = ()
    refused: tuple[RefusedWork, ...] = ()
    preempted: tuple[QueuedWork, ...] = ()
