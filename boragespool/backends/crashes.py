"""Detection of requests that crash the backend servers which run them."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.types import Seconds

#: Number of fingerprints that are kept, which bounds the memory. One loss adds
#: at most as many as a server has slots.
_CAPACITY: Final = 10_000


class CrashTracker:
    """Losses of backend servers by the fingerprints of requests in flight.

    A fingerprint that was in flight when a server was lost is a suspect. It is
    blocked after `blocking_loss_count` losses, of which it ran alone in
    `blocking_alone_count`. Without this condition, servers that fail together,
    as in a rack, would block every request that was in flight on two of them.

    Parameters
    ----------
    suspect_age_s, block_age_s : float
        Time after the latest loss at which a suspicion and a block end, in
        seconds.
    blocking_loss_count : int
        Number of losses from which a fingerprint is blocked.
    blocking_alone_count : int
        Number of these losses in which it must have run alone.
    """

    def __init__(
        self,
        suspect_age_s: Seconds = 300,
        block_age_s: Seconds = 900,
        blocking_loss_count: int = 2,
        blocking_alone_count: int = 1,
    ) -> None:
        """Set up a tracker without losses."""
        self._suspect_age_s = suspect_age_s
        self._block_age_s = block_age_s
        self._blocking_loss_count = blocking_loss_count
        self._blocking_alone_count = blocking_alone_count
        self._losses_by_fingerprint: dict[int, dict[str, Seconds]] = {}
        self._cleared_by_fingerprint: dict[int, dict[str, Seconds]] = {}
        # No loss and no cleared loss expires before this time.
        self._next_expiry_s: Seconds = math.inf
        self._alone_by_fingerprint: defaultdict[int, set[str]]
        self._alone_by_fingerprint = defaultdict(set)

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
            Fingerprint of the request: the xxhash of route and body.
        loss_id : str
            Identifier of the loss.
        now_s : float
            Monotonic time, in seconds.
        alone : bool
            Whether the request was a suspect already and ran alone, so that
            another request is an unlikely cause.

        Returns
        -------
        bool
            Whether the loss is new; False if it was recorded before or was
            cleared by an operator.
        """
        self._expire(now_s)
        self._expire_not_before(now_s)
        if loss_id in self._cleared_by_fingerprint.get(fingerprint, ()):
            return False
        losses = self._losses_by_fingerprint.pop(fingerprint, {})
        is_new = loss_id not in losses
        losses.setdefault(loss_id, now_s)
        self._losses_by_fingerprint[fingerprint] = losses
        if alone:
            self._alone_by_fingerprint[fingerprint].add(loss_id)
        if len(self._losses_by_fingerprint) > _CAPACITY:
            oldest = next(iter(self._losses_by_fingerprint))
            self._remove(oldest)
        return is_new

    def clear(self, fingerprint: int, now_s: Seconds) -> bool:
        """End a suspicion or a block; the losses until now do not count again.

        Returns
        -------
        bool
            Whether the fingerprint was a suspect or blocked.
        """
        self._expire(now_s)
        self._expire_not_before(now_s)
        losses = self._remove(fingerprint)
        if losses:
            known = self._cleared_by_fingerprint.get(fingerprint, {})
            cleared = dict.fromkeys((*known, *losses), now_s)
            self._cleared_by_fingerprint[fingerprint] = cleared
        return bool(losses)

    def suspects(self, now_s: Seconds) -> frozenset[int]:
        """Return the fingerprints that are suspect and not blocked."""
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

    def loss_count(self, fingerprint: int) -> int:
        """Return the number of losses with a fingerprint in flight."""
        return len(self._losses_by_fingerprint.get(fingerprint, ()))

    def losses_of(self, fingerprint: int) -> frozenset[str]:
        """Return the identifiers of the losses of a fingerprint."""
        return frozenset(self._losses_by_fingerprint.get(fingerprint, ()))

    def trials_of(self, fingerprint: int) -> frozenset[str]:
        """Return those of its losses in which a fingerprint ran alone."""
        return frozenset(self._alone_by_fingerprint.get(fingerprint, ()))

    def losses(self) -> Iterable[tuple[int, str]]:
        """Return all recorded pairs of fingerprint and loss identifier."""
        return tuple(
            (fingerprint, loss_id)
            for fingerprint, losses in self._losses_by_fingerprint.items()
            for loss_id in losses
        )

    def _is_blocked(self, fingerprint: int) -> bool:
        losses = self._losses_by_fingerprint[fingerprint]
        alone_count = len(self._alone_by_fingerprint.get(fingerprint, ()))
        if alone_count < self._blocking_alone_count:
            return False
        return len(losses) >= self._blocking_loss_count

    def _remove(self, fingerprint: int) -> dict[str, Seconds]:
        self._alone_by_fingerprint.pop(fingerprint, None)
        return self._losses_by_fingerprint.pop(fingerprint, {})

    def _expire_not_before(self, now_s: Seconds) -> None:
        """Note that what is recorded now may be the first to expire."""
        due_s = now_s + min(self._suspect_age_s, self._block_age_s)
        self._next_expiry_s = min(self._next_expiry_s, due_s)

    def _expire(self, now_s: Seconds) -> None:
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = math.inf
        for fingerprint, losses in tuple(self._losses_by_fingerprint.items()):
            is_blocked = self._is_blocked(fingerprint)
            age_s = self._block_age_s if is_blocked else self._suspect_age_s
            if self._is_due(max(losses.values()) + age_s, now_s):
                self._remove(fingerprint)
        for fingerprint, cleared in tuple(self._cleared_by_fingerprint.items()):
            if self._is_due(max(cleared.values()) + self._block_age_s, now_s):
                self._cleared_by_fingerprint.pop(fingerprint)

    def _is_due(self, expiry_s: Seconds, now_s: Seconds) -> bool:
        if now_s >= expiry_s:
            return True
        self._next_expiry_s = min(self._next_expiry_s, expiry_s)
        return False
