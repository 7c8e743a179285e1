"""Requests to peers whose reply is outstanding, and their failures."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

from boragespool.peers.frames import Refusal
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.types import HostName, Seconds


class PendingRequests:
    """Matches replies to the requests of this daemon by exchange number."""

    def __init__(self) -> None:
        """Create an empty set of requests."""
        self._exchange_counter = itertools.count(1)
        self._on_result_by_exchange: dict[int, Callable[[Any], None]] = {}

    def add(self, on_result: Callable[[Any], None]) -> int:
        """Register a request and return its exchange number.

        Parameters
        ----------
        on_result : callable
            Called at most once, with the reply or a failure.
        """
        exchange = next(self._exchange_counter)
        self._on_result_by_exchange[exchange] = on_result
        return exchange

    def remove(self, exchange: int) -> None:
        """Stop waiting for a reply; a late one is dropped."""
        self._on_result_by_exchange.pop(exchange, None)

    def resolve(self, exchange: int, message: object) -> None:
        """Pass a reply to its request, if that is still registered.

        A `Refusal` is passed on as a `Failure`. A code of a newer release is
        reported as `ResultCode.PEER_REFUSED`, with its number in the reason.
        """
        on_result = self._on_result_by_exchange.pop(exchange, None)
        if on_result is None:
            return
        if isinstance(message, Refusal):
            message = _refusal_failure(message)
        on_result(message)


def no_reply_failure(host: HostName, timeout_s: Seconds) -> Failure:
    """Return the failure of a request that timed out and may have run."""
    return Failure(
        ResultCode.PEER_UNREACHABLE,
        f'peer {host!r} did not reply within {timeout_s!r} s',
        RunState.UNKNOWN,
    )


def not_sent_failure(host: HostName) -> Failure:
    """Return the failure of a request that was not sent."""
    return Failure(
        ResultCode.PEER_UNREACHABLE,
        f'request not sent: the address of peer {host!r} is unknown, its send '
        'queue is full or this daemon is stopping',
    )


def no_handler_failure(kind: str) -> Failure:
    """Return the failure of a request of a kind that has no handler."""
    return Failure(
        ResultCode.PEER_REFUSED,
        f'requests of kind {kind!r} have no handler at this daemon',
    )


def handler_failure(kind: str) -> Failure:
    """Return the failure of a request whose handler raised an exception."""
    return Failure(
        ResultCode.PEER_UNREACHABLE,
        f'the handler of requests of kind {kind!r} raised an exception',
        RunState.UNKNOWN,
    )


def _refusal_failure(refusal: Refusal) -> Failure:
    try:
        code = ResultCode(refusal.code)
    except ValueError:
        return Failure(
            ResultCode.PEER_REFUSED,
            f'{refusal.reason} (unknown result code {refusal.code!r})',
            refusal.run,
        )
    return Failure(code, refusal.reason, refusal.run)
