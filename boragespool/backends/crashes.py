"""Requests that crash the backend servers which run them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.types import Seconds

_BLOCKING_LOSSES: Final = 2
#: Bounds the memory; a loss names at most the slots of one server.
_CAPACITY: Final = 10_000


class CrashTracker:
    """Losses of backend servers by the fingerprints that were in flight.

    A fingerprint in a loss is a suspect. It is blocked after a second loss
    if it ran alone in one of them. Servers that fail together, as in a rack,
    would otherwise block every request that was in flight on two of them.

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
        self._lost_alone: set[int] = set()

    def record_loss(
        self,
        fingerprint: int,
        loss_id: str,
        now_s: Seconds,
        *,
        alone: bool = False,
    ) -> bool:
        """Record that a fingerprint was in flight when a server was lost.

        Parameters
        ----------
        fingerprint : int
            xxhash of route and body.
        loss_id : str
            Names the loss.
        now_s : float
            Monotonic time, in seconds.
        alone : bool
            Whether it was known as a suspect and ran alone on the server.

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
        if alone:
            self._lost_alone.add(fingerprint)
        if len(self._losses_by_fingerprint) > _CAPACITY:
            oldest = next(iter(self._losses_by_fingerprint))
            self._forget(oldest)
        return is_new

    def clear(self, fingerprint: int, now_s: Seconds) -> bool:
        """End a suspicion or a block; its losses do not count again.

        Returns
        -------
        bool
            Whether the fingerprint was a suspect or blocked.
        """
        self._expire(now_s)
        losses = self._forget(fingerprint)
        if losses:
            known = self._cleared_by_fingerprint.get(fingerprint, {})
            cleared = dict.fromkeys((*known, *losses), now_s)
            self._cleared_by_fingerprint[fingerprint] = cleared
        return bool(losses)

    def suspects(self, now_s: Seconds) -> frozenset[int]:
        """Return the fingerprints in a loss that are not blocked."""
        self._expire(now_s)
        return frozenset(
            fingerprint
            for fingerprint in self._losses_by_fingerprint
            if not self._is_blocked(fingerprint)
        )

    def blocked(self, now_s: Seconds) -> frozenset[int]:
        """Return the fingerprints that must not run."""
        suspects = self.suspects(now_s)
        return frozenset(self._losses_by_fingerprint) - suspects

    def losses(self) -> Iterable[tuple[int, str]]:
        """Return all pairs of fingerprint and loss that count."""
        return tuple(
            (fingerprint, loss_id)
            for fingerprint, losses in self._losses_by_fingerprint.items()
            for loss_id in losses
        )

    def _is_blocked(self, fingerprint: int) -> bool:
        losses = self._losses_by_fingerprint[fingerprint]
        was_alone = fingerprint in self._lost_alone
        return was_alone and len(losses) >= _BLOCKING_LOSSES

    def _forget(self, fingerprint: int) -> dict[str, Seconds]:
        self._lost_alone.discard(fingerprint)
        return self._losses_by_fingerprint.pop(fingerprint, {})

    def _expire(self, now_s: Seconds) -> None:
        for fingerprint, losses in tuple(self._losses_by_fingerprint.items()):
            is_blocked = self._is_blocked(fingerprint)
            age_s = self._block_age_s if is_blocked else self._suspect_age_s
            if now_s - max(losses.values()) >= age_s:
                self._forget(fingerprint)
        for cleared, losses in tuple(self._cleared_by_fingerprint.items()):
            if now_s - max(losses.values()) >= self._block_age_s:
                self._cleared_by_fingerprint.pop(cleared)
