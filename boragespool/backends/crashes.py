"""Requests that crash the backend servers which run them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.types import Seconds

_BLOCKING_LOSSES: Final = 2
#: Bounds the memory; a loss names at most the slots of one server.
_CAPACITY: Final = 10_000


class CrashLedger:
    """Losses of backend servers by the fingerprints that were in flight.

    A fingerprint in one loss is a suspect, in two losses it is blocked.

    Parameters
    ----------
    suspect_age_s, block_age_s : float
        Time after the latest loss at which a suspicion and a block end.
    """

    def __init__(
        self,
        suspect_age_s: Seconds = 300,
        block_age_s: Seconds = 900,
    ) -> None:
        """Start without suspects."""
        self._suspect_age_s = suspect_age_s
        self._block_age_s = block_age_s
        self._losses_by_fingerprint: dict[int, dict[str, Seconds]] = {}
        self._cleared_by_fingerprint: dict[int, dict[str, Seconds]] = {}

    def note(self, fingerprint: int, loss_id: str, now_s: Seconds) -> bool:
        """Record that a fingerprint was in flight when a server was lost.

        Returns
        -------
        bool
            False if the loss was known, or was cleared by an operator.
        """
        self._expire(now_s)
        if loss_id in self._cleared_by_fingerprint.get(fingerprint, ()):
            return False
        losses = self._losses_by_fingerprint.pop(fingerprint, {})
        is_new = loss_id not in losses
        losses.setdefault(loss_id, now_s)
        self._losses_by_fingerprint[fingerprint] = losses
        if len(self._losses_by_fingerprint) > _CAPACITY:
            oldest = next(iter(self._losses_by_fingerprint))
            self._losses_by_fingerprint.pop(oldest)
        return is_new

    def clear(self, fingerprint: int, now_s: Seconds) -> bool:
        """End a suspicion or a block; its losses do not count again.

        Returns
        -------
        bool
            Whether the fingerprint was a suspect or blocked.
        """
        self._expire(now_s)
        losses = self._losses_by_fingerprint.pop(fingerprint, {})
        if losses:
            known = self._cleared_by_fingerprint.get(fingerprint, {})
            cleared = dict.fromkeys((*known, *losses), now_s)
            self._cleared_by_fingerprint[fingerprint] = cleared
        return bool(losses)

    def suspects(self, now_s: Seconds) -> frozenset[int]:
        """Return the fingerprints of exactly one loss."""
        self._expire(now_s)
        return frozenset(
            fingerprint
            for fingerprint, losses in self._losses_by_fingerprint.items()
            if len(losses) < _BLOCKING_LOSSES
        )

    def blocked(self, now_s: Seconds) -> frozenset[int]:
        """Return the fingerprints of two or more losses."""
        suspects = self.suspects(now_s)
        return frozenset(self._losses_by_fingerprint) - suspects

    def losses(self) -> Iterable[tuple[int, str]]:
        """Return all pairs of fingerprint and loss that count."""
        return tuple(
            (fingerprint, loss_id)
            for fingerprint, losses in self._losses_by_fingerprint.items()
            for loss_id in losses
        )

    def _expire(self, now_s: Seconds) -> None:
        for fingerprint, losses in tuple(self._losses_by_fingerprint.items()):
            is_blocked = len(losses) >= _BLOCKING_LOSSES
            age_s = self._block_age_s if is_blocked else self._suspect_age_s
            if now_s - max(losses.values()) >= age_s:
                self._losses_by_fingerprint.pop(fingerprint)
        for cleared, losses in tuple(self._cleared_by_fingerprint.items()):
            if now_s - max(losses.values()) >= self._block_age_s:
                self._cleared_by_fingerprint.pop(cleared)
