"""Handlers of the messages and requests that a daemon receives."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, TypeAlias, TypeVar

from boragespool.events import Event, log_event
from boragespool.peers.exchanges import handler_failed, not_served
from boragespool.results import Failure
from boragespool.types import Address, HostName, Incarnation

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from boragespool.tasks import TaskSet

_MessageT = TypeVar('_MessageT')


@dataclass(frozen=True, slots=True)
class Sender:
    """The daemon that a message came from."""

    host: HostName
    incarnation: Incarnation
    address: Address


if TYPE_CHECKING:
    Reply: TypeAlias = Callable[[Any], None]
    Call: TypeAlias = Callable[[Sender, Any, Reply], None]


class Handlers:
    """Handlers by kind of message.

    Parameters
    ----------
    tasks : TaskSet
        Runs the handlers that are coroutines.
    """

    def __init__(self, tasks: TaskSet) -> None:
        """Start without handlers."""
        self._tasks = tasks
        self._message_handlers: dict[str, Callable[[Sender, Any], None]] = {}
        self._call_handlers: dict[str, Call] = {}

    def on_message(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT], None],
    ) -> None:
        """Call a handler with each message of a kind."""
        self._message_handlers[kind.__name__] = handler

    def on_request(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT], Awaitable[Any]],
    ) -> None:
        """Answer each request of a kind with the handler's result."""
        self._call_handlers[kind.__name__] = partial(self._run, handler)

    def on_request_with_callback(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT, Reply], None],
    ) -> None:
        """Answer each request of a kind with what the handler replies."""
        self._call_handlers[kind.__name__] = handler

    def deliver(self, sender: Sender, message: object) -> None:
        """Hand a message to its handler; one without is dropped."""
        handler = self._message_handlers.get(type(message).__name__)
        if handler is not None:
            handler(sender, message)

    def serve(self, sender: Sender, message: object, reply: Reply) -> None:
        """Hand a request to its handler.

        Parameters
        ----------
        message : object
            Message, or the failure to decode it.
        reply : callable
            Called once with the reply or a failure. A handler that raises
            is answered with run state ``UNKNOWN``.
        """
        if isinstance(message, Failure):
            reply(message)
            return
        kind = type(message).__name__
        handler = self._call_handlers.get(kind)
        if handler is None:
            reply(not_served(kind))
            return
        try:
            handler(sender, message, reply)
        except Exception as error:
            log_event(
                Event.TASK_FAILED,
                f'the handler of {kind!r} raised {error!r}',
                level=logging.ERROR,
            )
            reply(handler_failed(kind))

    def _run(
        self,
        handler: Callable[[Sender, Any], Any],
        sender: Sender,
        message: object,
        reply: Reply,
    ) -> None:
        """Run a coroutine; it goes on when nobody waits for it any more."""
        task = self._tasks.spawn(handler(sender, message))
        kind = type(message).__name__
        task.add_done_callback(partial(_reply_with, kind, reply))


def _reply_with(kind: str, reply: Reply, task: asyncio.Task[Any]) -> None:
    if task.cancelled():
        return
    failed = task.exception() is not None
    reply(handler_failed(kind) if failed else task.result())
