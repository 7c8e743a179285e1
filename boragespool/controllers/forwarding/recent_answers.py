"""Requests that were answered recently."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragespool.forwarding import RequestIdentity


class RecentAnswers:
    """Answered requests, each kept for one to two periods.

    A period ends with each call of `expire`.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._current: set[int] = set()
        self._previous: set[int] = set()
        # Parts of the latest answered request with each base.
        self._current_parts_by_base: dict[int, frozenset[int]] = {}
        self._previous_parts_by_base: dict[int, frozenset[int]] = {}

    def __contains__(self, fingerprint: int) -> bool:
        """Return whether a request with the fingerprint was answered."""
        return fingerprint in self._current or fingerprint in self._previous

    def add(self, identity: RequestIdentity) -> None:
        """Add a request that was answered."""
        if identity.fingerprint not in self._current:
            self._current.add(identity.fingerprint)
            self._current_parts_by_base[identity.base] = identity.parts

    def parts_of(self, base: int) -> Iterator[frozenset[int]]:
        """Return the parts of answered requests with a base."""
        for parts_by_base in (
            self._previous_parts_by_base,
            self._current_parts_by_base,
        ):
            parts = parts_by_base.get(base)
            if parts is not None:
                yield parts

    def expire(self) -> None:
        """Drop the requests that were not added in the last period."""
        self._previous = self._current
        self._current = set()
        self._previous_parts_by_base = self._current_parts_by_base
        self._current_parts_by_base = {}
