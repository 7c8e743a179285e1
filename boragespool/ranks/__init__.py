"""Scheduling and admission control by rank.

Decides which queued work runs on a backend server, and which share of the
callers' requests a daemon admits while it is overloaded.
"""

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
