"""Registry of handlers for the messages and requests that a daemon receives.

A message is one-way; a request is answered with a reply.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, TypeAlias, TypeVar

from boragespool.events import Event, log_event
from boragespool.peers.pending_requests import (
    handler_failure,
    no_handler_failure,
)
from boragespool.results import Failure
from boragespool.types import Address, HostName, Incarnation

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from boragespool.tasks import TaskSet

_MessageT = TypeVar('_MessageT')


@dataclass(frozen=True, slots=True)
class Sender:
    """Daemon that sent a message.

    Attributes
    ----------
    address : str
        ``ip:port`` on which it listens for peers.
    """

    host: HostName
    incarnation: Incarnation
    address: Address


if TYPE_CHECKING:
    ReplyCallback: TypeAlias = Callable[[Any], None]
    RequestHandler: TypeAlias = Callable[[Sender, Any, ReplyCallback], None]


class Handlers:
    """Handlers by message class, at most one for each class.

    Parameters
    ----------
    tasks : TaskSet
        Runs the handlers that are coroutines.
    """

    def __init__(self, tasks: TaskSet) -> None:
        """Create an empty registry."""
        self._tasks = tasks
        self._message_handlers_by_kind: dict[
            str, Callable[[Sender, Any], None]
        ] = {}
        self._request_handlers_by_kind: dict[str, RequestHandler] = {}

    def on_message(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT], None],
    ) -> None:
        """Register the handler of one-way messages of a class."""
        self._message_handlers_by_kind[kind.__name__] = handler

    def on_request(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT], Awaitable[Any]],
    ) -> None:
        """Register a coroutine whose result is the reply to a request."""
        self._request_handlers_by_kind[kind.__name__] = partial(
            self._run_coroutine, handler
        )

    def on_request_with_callback(
        self,
        kind: type[_MessageT],
        handler: Callable[[Sender, _MessageT, ReplyCallback], None],
    ) -> None:
        """Register a handler that passes its reply to a callback."""
        self._request_handlers_by_kind[kind.__name__] = handler

    def handle_message(self, sender: Sender, message: object) -> None:
        """Call the handler of a message; drop the message if there is none."""
        handler = self._message_handlers_by_kind.get(type(message).__name__)
        if handler is not None:
            handler(sender, message)

    def handle_request(
        self, sender: Sender, message: object, reply: ReplyCallback
    ) -> None:
        """Call the handler of a request.

        Parameters
        ----------
        sender : Sender
            Daemon that sent the request.
        message : object
            Request, or the failure to decode it.
        reply : callable
            Called once with the reply or a failure. If the handler raises
            before it replies, the failure has run state ``UNKNOWN``.
        """
        reply = _only_first(reply)
        if isinstance(message, Failure):
            reply(message)
            return
        kind = type(message).__name__
        handler = self._request_handlers_by_kind.get(kind)
        if handler is None:
            reply(no_handler_failure(kind))
            return
        try:
            handler(sender, message, reply)
        except Exception as error:
            log_event(
                Event.TASK_FAILED,
                f'the handler of requests of kind {kind!r} raised {error!r}',
                level=logging.ERROR,
            )
            reply(handler_failure(kind))

    def _run_coroutine(
        self,
        handler: Callable[[Sender, Any], Any],
        sender: Sender,
        message: object,
        reply: ReplyCallback,
    ) -> None:
        """Run a coroutine handler in a task of its own.

        The task is not cancelled when the sender stops waiting for the reply.
        """
        task = self._tasks.spawn(handler(sender, message))
        kind = type(message).__name__
        task.add_done_callback(partial(_reply_with_task_result, kind, reply))


def _only_first(reply: ReplyCallback) -> ReplyCallback:
    """Return a callback that passes on its first call and drops the others."""
    replied = False

    def reply_first(message: Any) -> None:
        nonlocal replied
        if not replied:
            replied = True
            reply(message)

    return reply_first


def _reply_with_task_result(
    kind: str, reply: ReplyCallback, task: asyncio.Task[Any]
) -> None:
    if task.cancelled():
        return
    failed = task.exception() is not None
    reply(handler_failure(kind) if failed else task.result())
