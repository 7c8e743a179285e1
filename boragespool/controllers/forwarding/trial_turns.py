"""Turns of requests with the same base, of which one at a time is sent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from boragespool.types import ServerName


@dataclass(frozen=True, slots=True)
class _Turn:
    """Turn of the attempt with a number, which was sent to a server."""

    number: int
    server: ServerName


class TrialTurns:
    """Attempts that have the turn of their base, and waiting calls."""

    def __init__(self) -> None:
        """Start without turns and waiting calls."""
        self._turns_by_base: dict[int, _Turn] = {}
        self._waiting_by_number: dict[int, tuple[int, Callable[[], None]]] = {}

    def is_free(self, base: int) -> bool:
        """Whether no attempt has the turn of a base."""
        return base not in self._turns_by_base

    @property
    def servers(self) -> frozenset[ServerName]:
        """Servers that attempts with a turn were sent to."""
        return frozenset(turn.server for turn in self._turns_by_base.values())

    def take(self, number: int, base: int, server: ServerName) -> None:
        """Give the turn to an attempt at a server."""
        self._turns_by_base[base] = _Turn(number, server)

    def has_turn(self, number: int, base: int) -> bool:
        """Whether an attempt has the turn of a base."""
        turn = self._turns_by_base.get(base)
        return turn is not None and turn.number == number

    def release(self, base: int) -> None:
        """End the turn of a base."""
        self._turns_by_base.pop(base, None)

    def wait(self, number: int, base: int, resume: Callable[[], None]) -> None:
        """Call `resume` once when the turn has ended or a verdict has changed.

        Parameters
        ----------
        number : int
            Identifies the wait, see `stop_waiting`.
        base : int
            Base of the request, see `RequestIdentity`.
        resume : callable
            Called without arguments; it may wait again.
        """
        self._waiting_by_number[number] = (base, resume)

    def stop_waiting(self, number: int) -> None:
        """End a wait without a call; unknown numbers are ignored."""
        self._waiting_by_number.pop(number, None)

    def resume(self, base: int) -> None:
        """Resume the calls that wait for a base."""
        self._resume(
            [
                number
                for number, (waiting, _) in self._waiting_by_number.items()
                if waiting == base
            ]
        )

    def resume_all(self) -> None:
        """Resume all calls that wait."""
        self._resume(tuple(self._waiting_by_number))

    def _resume(self, numbers: Collection[int]) -> None:
        for number in numbers:
            entry = self._waiting_by_number.pop(number, None)
            if entry is not None:
                entry[1]()
