"""Requests to peers that wait for their reply."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING, Any

from boragespool.peers.frames import Refusal
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragespool.types import HostName, Seconds


class Exchanges:
    """Pairs replies with the requests of one daemon."""

    def __init__(self) -> None:
        """Start with nothing open."""
        self._numbers = itertools.count(1)
        self._reply_by_number: dict[int, asyncio.Future[Any]] = {}

    @contextlib.contextmanager
    def open(self) -> Iterator[tuple[int, asyncio.Future[Any]]]:
        """Return the number of a new exchange and its future reply."""
        number = next(self._numbers)
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._reply_by_number[number] = reply
        try:
            yield number, reply
        finally:
            del self._reply_by_number[number]

    def resolve(self, number: int, message: object) -> None:
        """Give a reply to the request that waits; a late one is dropped."""
        reply = self._reply_by_number.get(number)
        if reply is None or reply.done():
            return
        if isinstance(message, Refusal):
            message = Failure(
                ResultCode(message.code),
                message.reason,
                message.run,
            )
        reply.set_result(message)


def no_answer(host: HostName, timeout_s: Seconds) -> Failure:
    """Return the failure of a request that may have been served."""
    return Failure(
        ResultCode.PEER_UNREACHABLE,
        f'peer {host!r} did not answer within {timeout_s!r} s',
        RunState.UNKNOWN,
    )


def not_sent(host: HostName) -> Failure:
    """Return the failure of a request that did not leave this daemon."""
    return Failure(
        ResultCode.PEER_UNREACHABLE,
        f'peer {host!r} has no address or a full queue',
    )


def not_served(kind: str) -> Failure:
    """Return the refusal of a kind without a handler."""
    return Failure(
        ResultCode.PEER_REFUSED,
        f'requests of kind {kind!r} are not served here',
    )
