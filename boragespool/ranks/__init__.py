"""Decisions by rank: what a backend server runs, what a daemon admits."""

from __future__ import annotations

from boragespool.ranks.overload import (
    Admission,
    LoopWindow,
    Thinning,
    next_admission,
)
from boragespool.ranks.queue import ServerQueue
from boragespool.ranks.work import Grants, QueuedWork, RefusedWork

__all__ = (
    'Admission',
    'Grants',
    'LoopWindow',
    'QueuedWork',
    'RefusedWork',
    'ServerQueue',
    'Thinning',
    'next_admission',
)
