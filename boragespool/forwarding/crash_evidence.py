"""Evidence for and against requests that may crash backend servers."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.backends import CrashTracker
from boragespool.forwarding.crash_patterns import (
    BlockingLimits,
    SuspectRequest,
    find_crash_patterns,
    is_refuted,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.forwarding.fingerprints import RequestIdentity
    from boragespool.forwarding.loss_notices import LossNotice
    from boragespool.types import Seconds

#: Time for which losses count, in seconds. Those of single requests must last
#: as long as a block of several requests, which rests on them.
_LOSS_AGE_S: Final = 900
#: Number of answered requests that are kept for each base.
_MAX_ANSWERED_COUNT: Final = 16


@dataclass(frozen=True, slots=True)
class BlockedRequests:
    """Requests that must not be sent.

    Attributes
    ----------
    fingerprint : int
        Fingerprint of a single request, or base of several.
    parts : frozenset of int or None
        Parts that several requests with the base have in common; None for a
        single request.
    """

    fingerprint: int
    parts: frozenset[int] | None = None


class CrashEvidence:
    """Losses and answers of requests that may crash backend servers.

    A request is judged by its own losses, and by those of requests with the
    same base with which it shares parts that no answered request has.

    Parameters
    ----------
    limits : BlockingLimits
        Losses from which a request is blocked.
    """

    def __init__(self, limits: BlockingLimits) -> None:
        """Start without losses."""
        self._limits = limits
        self._tracker = CrashTracker(
            suspect_age_s=_LOSS_AGE_S,
            block_age_s=_LOSS_AGE_S,
            blocking_loss_count=limits.loss_count,
            blocking_alone_count=limits.trial_count,
        )
        # Parts by fingerprint of the requests with losses, by base.
        self._parts_by_base: defaultdict[int, dict[int, frozenset[int]]]
        self._parts_by_base = defaultdict(dict)
        self._answered_by_base: defaultdict[int, dict[frozenset[int], None]]
        self._answered_by_base = defaultdict(dict)
        self._blocked_single: frozenset[int] = frozenset()
        self._patterns_by_base: dict[int, frozenset[frozenset[int]]] = {}
        # Bases whose patterns are to be found anew.
        self._changed_bases: set[int] = set()

    @property
    def blocked(self) -> frozenset[BlockedRequests]:
        """Requests that must not be sent, as of the latest `update`."""
        several = frozenset(
            BlockedRequests(base, parts)
            for base, patterns in self._patterns_by_base.items()
            for parts in patterns
        )
        return several.union(map(BlockedRequests, self._blocked_single))

    def is_blocked(self, identity: RequestIdentity) -> bool:
        """Whether a request must not be sent."""
        if identity.fingerprint in self._blocked_single:
            return True
        patterns = self._patterns_by_base.get(identity.base)
        if not patterns:
            return False
        return any(pattern <= identity.parts for pattern in patterns)

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Whether a request may have crashed a server."""
        return bool(self._related(identity))

    def is_related(
        self, identity: RequestIdentity, other: RequestIdentity
    ) -> bool:
        """Whether two requests may be repeats of the same one."""
        if identity.base != other.base:
            return False
        answered = self._answered_by_base.get(identity.base, {})
        return not is_refuted(identity.parts & other.parts, answered)

    def loss_count(self, identity: RequestIdentity) -> int:
        """Return the number of losses that a request may have caused."""
        losses = map(self._tracker.losses_of, self._related(identity))
        return len(frozenset[str]().union(*losses))

    def has_losses(self, fingerprint: int) -> bool:
        """Whether losses count against the request with a fingerprint."""
        return self._tracker.loss_count(fingerprint) > 0

    def record_loss(self, notice: LossNotice, now_s: Seconds) -> bool:
        """Record a loss; return whether it is new and counts."""
        is_new = self._tracker.record_loss(
            notice.fingerprint, notice.loss_id, now_s, alone=notice.alone
        )
        if notice.base and self.has_losses(notice.fingerprint):
            self._changed_bases.add(notice.base)
            parts_by_fingerprint = self._parts_by_base[notice.base]
            parts_by_fingerprint[notice.fingerprint] = frozenset(notice.parts)
        return is_new

    def has_base(self, base: int) -> bool:
        """Whether losses count against requests with a base."""
        return base in self._parts_by_base

    def record_answer(
        self, base: int, parts: frozenset[int], now_s: Seconds
    ) -> bool:
        """Record that a server answered a request with success.

        Parameters
        ----------
        base : int
            Base of the request; ignored unless losses count against it.
        parts : frozenset of int
            Parts of the request.

        Returns
        -------
        bool
            Whether a verdict may have changed.
        """
        parts_by_fingerprint = self._parts_by_base.get(base)
        if not parts_by_fingerprint:
            return False
        # Parts that no suspect has tell nothing, and may differ in each answer.
        relevant = parts.intersection(
            frozenset().union(*parts_by_fingerprint.values())
        )
        answered = self._answered_by_base[base]
        is_new = relevant not in answered
        answered.pop(relevant, None)
        answered[relevant] = None
        if len(answered) > _MAX_ANSWERED_COUNT:
            answered.pop(next(iter(answered)))
        cleared = [
            fingerprint
            for fingerprint, suspected in parts_by_fingerprint.items()
            if suspected <= parts
        ]
        for fingerprint in cleared:
            self._tracker.clear(fingerprint, now_s)
        if is_new or cleared:
            self._changed_bases.add(base)
        return base in self._changed_bases

    def expire(self, now_s: Seconds) -> None:
        """Drop the losses that have expired."""
        self._changed_bases.update(self._parts_by_base)
        self.update(now_s)

    def update(self, now_s: Seconds) -> None:
        """Judge the requests with new losses or answers."""
        self._blocked_single = self._tracker.blocked(now_s)
        for changed in self._changed_bases:
            self._drop_uncounted(changed)
            patterns = self._find_patterns(changed)
            if patterns:
                self._patterns_by_base[changed] = patterns
            else:
                self._patterns_by_base.pop(changed, None)
        self._changed_bases.clear()

    def _related(self, identity: RequestIdentity) -> Iterable[int]:
        """Return the fingerprints of losses that a request may have caused."""
        parts_by_fingerprint = self._parts_by_base.get(identity.base)
        if not parts_by_fingerprint:
            return ()
        parts = identity.parts
        answered = self._answered_by_base.get(identity.base, {})
        return [
            fingerprint
            for fingerprint, suspected in parts_by_fingerprint.items()
            if not is_refuted(parts & suspected, answered)
        ]

    def _drop_uncounted(self, base: int) -> None:
        kept = {
            fingerprint: parts
            for fingerprint, parts in self._parts_by_base.pop(base, {}).items()
            if self.has_losses(fingerprint)
        }
        if kept:
            self._parts_by_base[base] = kept
        else:
            self._answered_by_base.pop(base, None)

    def _find_patterns(self, base: int) -> frozenset[frozenset[int]]:
        suspects = [
            SuspectRequest(
                parts,
                self._tracker.losses_of(fingerprint),
                self._tracker.trials_of(fingerprint),
            )
            for fingerprint, parts in self._parts_by_base.get(base, {}).items()
        ]
        return find_crash_patterns(
            suspects, self._answered_by_base.get(base, {}), self._limits
        )
