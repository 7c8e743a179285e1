"""Background tasks that end with their owner."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from boragespool.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Coroutine


class TaskSet:
    """Tasks of one owner; a task that fails is logged."""

    def __init__(self) -> None:
        """Start with no tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until they end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log_event(
            Event.TASK_FAILED,
            f'a background task raised {task.exception()!r}',
            level=logging.ERROR,
        )
