"""Interface to a key-value store with prefixes, revisions and leases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from boragespool.results import Failure
    from boragespool.types import Seconds

LeaseId: TypeAlias = int


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value.

    Attributes
    ----------
    revision : int
        Revision of the store at the last write of the key.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """A key that was removed at a revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class ItemPage:
    """A page of the keys with one prefix.

    Attributes
    ----------
    revision : int
        Revision of the store when it was read.
    truncated : bool
        Whether more keys follow the last one.
    returned_ago_s : float or None
        Time since the store returned from an outage, in seconds, if somebody
        else read it; None if it did not fail.
    age_s : float
        Time since it was read from the store, in seconds.
    """

    items: tuple[Item, ...]
    revision: int
    truncated: bool
    returned_ago_s: Seconds | None = None
    age_s: Seconds = 0


@dataclass(frozen=True, slots=True)
class ItemEvents:
    """Changes of the keys with one prefix.

    Attributes
    ----------
    revision : int
        Revision up to which the changes are complete.
    returned_ago_s, age_s : float
        As in `ItemPage`.
    """

    events: tuple[Item | Removal, ...]
    revision: int
    returned_ago_s: Seconds | None = None
    age_s: Seconds = 0


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """Sentinel for a watch whose changes the store no longer keeps."""


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """Sentinel for a lease that the store does not know."""


@dataclass(frozen=True, slots=True)
class GrantedLease:
    """A lease with the time for which it holds."""

    lease: LeaseId
    ttl_s: Seconds


class ItemSource(Protocol):
    """Reads of the store."""

    async def read_page(
        self,
        prefix: str,
        after: str = '',
        *,
        may_be_stale: bool = False,
    ) -> ItemPage | Failure:
        """Read the keys with a prefix that follow a key.

        A stale page is seconds old and costs less; a watch from its revision
        brings what is missing.
        """
        ...

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: Seconds,
    ) -> ItemEvents | HistoryLost | Failure:
        """Wait until there is a change after a revision, or `wait_s` passed."""
        ...


class ItemStore(ItemSource, Protocol):
    """Calls to the store; a `Failure` has the run state of a write."""

    async def put(
        self,
        key: str,
        value: bytes,
        lease: LeaseId,
    ) -> int | LeaseEnded | Failure:
        """Write a key under a lease; return the revision."""
        ...

    async def grant(self, ttl_s: Seconds) -> GrantedLease | Failure:
        """Begin a lease."""
        ...

    async def renew(self, lease: LeaseId) -> Seconds | LeaseEnded | Failure:
        """Renew a lease; return the time for which it holds."""
        ...

    async def end(self, lease: LeaseId) -> None:
        """End a lease; its keys are removed."""
        ...
