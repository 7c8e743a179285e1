"""Decisions about which work a backend server runs next."""

from __future__ import annotations

from boragespool.ranks.queue import ServerQueue
from boragespool.ranks.work import Grants, QueuedWork, RefusedWork

__all__ = ('Grants', 'QueuedWork', 'RefusedWork', 'ServerQueue')
