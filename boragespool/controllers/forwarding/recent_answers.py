"""Requests that were answered recently."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragespool.forwarding import RequestIdentity


class RecentAnswers:
    """Fingerprints, bases and parts, each kept for one to two periods.

    A period ends with each call of `expire`.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._current: dict[int, tuple[int, frozenset[int]]] = {}
        self._previous: dict[int, tuple[int, frozenset[int]]] = {}

    def __contains__(self, fingerprint: int) -> bool:
        """Return whether a request with the fingerprint was answered."""
        return fingerprint in self._current or fingerprint in self._previous

    def add(self, identity: RequestIdentity) -> None:
        """Add a request that was answered."""
        if identity.fingerprint not in self._current:
            self._current[identity.fingerprint] = (
                identity.base,
                identity.parts,
            )

    def parts_of(self, base: int) -> Iterator[frozenset[int]]:
        """Return the parts of the answered requests with a base."""
        for period in (self._previous, self._current):
            for other_base, parts in period.values():
                if other_base == base:
                    yield parts

    def expire(self) -> None:
        """Drop the requests that were not added in the last period."""
        self._previous = self._current
        self._current = {}
