"""What requests that crashed backend servers have in common.

The repeats of such a request may differ in parts, such as the query or a field
for tracing. What all of them share is found by intersection, as in Find-S
(T. Mitchell, Machine Learning, 1997, section 2.4); requests that were answered
are the counterexamples.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection

#: Number of different requests that a pattern must cover. Fewer would make
#: requests with the same path share the blame for one of them.
_MIN_REQUEST_COUNT: Final = 3
#: Maximum number of different requests that are compared.
_MAX_COMPARED_COUNT: Final = 16


@dataclass(frozen=True, slots=True)
class SuspectRequest:
    """A request that was in flight when servers were lost.

    Attributes
    ----------
    parts : frozenset of int
        See `RequestIdentity`.
    losses : frozenset of str
        Identifiers of the losses.
    trials : frozenset of str
        Those in which it was a suspect already and ran alone.
    """

    parts: frozenset[int]
    losses: frozenset[str]
    trials: frozenset[str]


@dataclass(frozen=True, slots=True)
class BlockingLimits:
    """Losses from which a request is blocked.

    Attributes
    ----------
    loss_count : int
        Number of lost servers.
    trial_count : int
        Number of these that must have been lost in trials.
    """

    loss_count: int = 3
    trial_count: int = 2


def is_refuted(
    parts: frozenset[int], answered: Collection[frozenset[int]]
) -> bool:
    """Whether a request that has all these parts was answered."""
    return any(parts <= other for other in answered)


def find_crash_patterns(
    suspects: Collection[SuspectRequest],
    answered: Collection[frozenset[int]],
    limits: BlockingLimits,
) -> frozenset[frozenset[int]]:
    """Return the sets of parts whose requests must not be sent.

    Each is shared by several different requests with enough losses, and no
    answered request has it. A request that was lost only beside others does
    not widen it. The losses that a set explains do not count for another one.

    Parameters
    ----------
    suspects : collection of SuspectRequest
        Requests with the same base, oldest first; the latest ones with trials
        are compared.
    answered : collection of frozenset of int
        Parts of requests with this base that were answered.
    limits : BlockingLimits
        Losses from which a request is blocked.
    """
    by_weight = sorted(suspects, key=lambda one: bool(one.trials))
    compared = by_weight[-_MAX_COMPARED_COUNT:]
    remaining = [
        one
        for one in compared
        if not any(_explains(other, one) for other in compared)
    ]
    patterns: set[frozenset[int]] = set()
    while True:
        grown = (_grow(one, remaining, answered) for one in remaining)
        supported = [one for one in grown if one.is_supported(limits)]
        if not supported:
            return frozenset(patterns)
        best = max(supported, key=_by_support)
        patterns.add(best.parts)
        remaining = [one for one in remaining if not one.losses <= best.losses]


@dataclass(frozen=True, slots=True)
class _Pattern:
    """Parts that a number of different requests share, and their losses."""

    parts: frozenset[int]
    losses: frozenset[str]
    trials: frozenset[str]
    request_count: int

    def is_supported(self, limits: BlockingLimits) -> bool:
        """Whether the requests with these parts are to be blocked."""
        return (
            self.request_count >= _MIN_REQUEST_COUNT
            and len(self.losses) >= limits.loss_count
            and len(self.trials) >= limits.trial_count
        )


def _explains(other: SuspectRequest, one: SuspectRequest) -> bool:
    """Whether one request was probably lost only beside another one."""
    if (one.losses, one.trials) == (other.losses, other.trials):
        return False
    return one.losses <= other.losses and one.trials <= other.trials


def _by_support(pattern: _Pattern) -> tuple[int, int, int]:
    return len(pattern.trials), len(pattern.losses), len(pattern.parts)


def _cover(
    parts: frozenset[int], suspects: Collection[SuspectRequest]
) -> _Pattern:
    """Return the pattern of the requests that have all these parts."""
    covered = [one for one in suspects if parts <= one.parts]
    return _Pattern(
        parts,
        frozenset[str]().union(*(one.losses for one in covered)),
        frozenset[str]().union(*(one.trials for one in covered)),
        len(covered),
    )


def _grow(
    first: SuspectRequest,
    suspects: Collection[SuspectRequest],
    answered: Collection[frozenset[int]],
) -> _Pattern:
    """Widen the pattern of one request, by the most similar one each time.

    Only a request that was lost in a trial, and not beside those that the
    pattern covers already, may widen it.
    """
    pattern = _cover(first.parts, suspects)
    while True:
        shared = (
            pattern.parts & other.parts
            for other in suspects
            if other.trials - pattern.losses
        )
        consistent = [
            parts for parts in shared if not is_refuted(parts, answered)
        ]
        if not consistent:
            return pattern
        pattern = _cover(max(consistent, key=len), suspects)
