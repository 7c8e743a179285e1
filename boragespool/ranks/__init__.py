"""Decisions by rank: what a backend server runs, what a daemon admits."""

from __future__ import annotations

from boragespool.ranks.overload import (
    Admission,
    LoopWindow,
    RequestSampler,
    next_admission,
)
from boragespool.ranks.queue import ServerQueue
from boragespool.ranks.work import QueuedWork, RefusedWork, ScheduleResult

__all__ = (
    'Admission',
    'LoopWindow',
    'QueuedWork',
    'RefusedWork',
    'RequestSampler',
    'ScheduleResult',
    'ServerQueue',
    'next_admission',
)
