"""Requests to peers that wait for their reply."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

from boragespool.peers.frames import Refusal
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.types import HostName, Seconds


class Exchanges:
    """Pairs replies with the requests of one daemon."""

    def __init__(self) -> None:
        """Start with nothing open."""
        self._numbers = itertools.count(1)
        self._on_result_by_number: dict[int, Callable[[Any], None]] = {}

    def open(self, on_result: Callable[[Any], None]) -> int:
        """Return the number of a new exchange.

        Parameters
        ----------
        on_result : callable
            Called at most once, with the reply or a failure.
        """
        number = next(self._numbers)
        self._on_result_by_number[number] = on_result
        return number

    def close(self, number: int) -> None:
        """Wait for a reply no longer; a late one is dropped."""
        self._on_result_by_number.pop(number, None)

    def resolve(self, number: int, message: object) -> None:
        """Give a reply to the request that waits; a late one is dropped."""
        on_result = self._on_result_by_number.pop(number, None)
        if on_result is None:
            return
        if isinstance(message, Refusal):
            message = Failure(
                ResultCode(message.code),
                message.reason,
                message.run,
            )
        on_result(message)


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


def handler_failed(kind: str) -> Failure:
    """Return the failure of a request whose handler raised an exception."""
    return Failure(
        ResultCode.PEER_UNREACHABLE,
        f'the handler of requests of kind {kind!r} failed',
        RunState.UNKNOWN,
    )
