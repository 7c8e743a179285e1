"""Sets of background tasks that are cancelled together."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from boragespool.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Coroutine


class TaskSet:
    """Background tasks of one owner; exceptions are logged."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in a background task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until they end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log_event(
            Event.TASK_FAILED,
            f'a background task raised {task.exception()!r}',
            level=logging.ERROR,
        )
