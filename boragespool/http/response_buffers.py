"""Memory that incomplete responses may use.

A server in trouble may send bytes without end. Each response has a limit of
its own, and all responses that a process is receiving share another one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Protocol

#: Maximum number of pieces in which one body is parsed. It bounds the
#: processor time that a body of many tiny chunks takes.
_MAX_PIECE_COUNT: Final = 10_000
#: Maximum number of informational (1xx) responses before the final one, and
#: of stale responses before the expected one.
_MAX_SKIPPED_RESPONSES: Final = 16


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits of the responses that a process receives.

    Attributes
    ----------
    body_size_bytes : int
        Maximum size of the body of one response.
    total_size_bytes : int
        Maximum size of all incomplete bodies together.
    piece_count : int
        Maximum number of chunks, or of reads without chunks, of one body.
    skipped_count : int
        Maximum number of responses that one request may skip: informational
        ones and those that belong to an earlier request.
    """

    body_size_bytes: int = 16_777_216
    total_size_bytes: int = 67_108_864
    piece_count: int = _MAX_PIECE_COUNT
    skipped_count: int = _MAX_SKIPPED_RESPONSES


class Receiver(Protocol):
    """Connection that receives a response."""

    def abort_response(self, reason: str) -> None:
        """Fail the exchange because its response is too large."""


class ResponseBuffers:
    """Sizes of the incomplete bodies that the connections of a process hold.

    Parameters
    ----------
    limits : ResponseLimits
        Limits of each body and of all bodies together.
    """

    def __init__(self, limits: ResponseLimits | None = None) -> None:
        """Start without any incomplete body."""
        self.limits = limits or ResponseLimits()
        self._size_bytes_by_receiver: dict[Receiver, int] = {}
        self._used_bytes: int = 0

    @property
    def used_bytes(self) -> int:
        """Size of all incomplete bodies together."""
        return self._used_bytes

    def add(self, receiver: Receiver, size_bytes: int) -> bool:
        """Count further bytes of the body that a connection receives.

        If all bodies together exceed their limit, the exchanges with the
        largest ones are aborted until the rest fits, so that one endless body
        does not take the memory of sound ones.

        Returns
        -------
        bool
            False if the exchange of this connection has to be aborted.
        """
        sizes = self._size_bytes_by_receiver
        sizes[receiver] = sizes.get(receiver, 0) + size_bytes
        self._used_bytes += size_bytes
        if sizes[receiver] > self.limits.body_size_bytes:
            return False
        while self._used_bytes > self.limits.total_size_bytes:
            largest = max(sizes, key=sizes.__getitem__)
            if largest is receiver:
                return False
            self.release(largest)
            largest.abort_response(
                f'incomplete responses together exceed {self.limits!r}'
            )
        return True

    def release(self, receiver: Receiver) -> None:
        """Forget the body of a connection whose exchange has ended."""
        self._used_bytes -= self._size_bytes_by_receiver.pop(receiver, 0)
