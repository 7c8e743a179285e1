"""Interface to a revisioned key-value store with prefix watches and leases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from boragespool.results import Failure
    from boragespool.types import Seconds

LeaseId: TypeAlias = int


@dataclass(frozen=True, slots=True)
class Item:
    """Key of the store with its value.

    Attributes
    ----------
    revision : int
        Revision of the store in which the key was last written.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """Removal of a key.

    Attributes
    ----------
    revision : int
        Revision of the store in which the key was removed.
    """

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class ItemPage:
    """Page of the items whose keys have one prefix.

    Attributes
    ----------
    items : tuple of Item
        Items, in the order of their keys if the page is truncated.
    revision : int
        Revision of the store when the page was read.
    truncated : bool
        Whether more keys follow the last one.
    returned_ago_s : float or None
        If another daemon read the store: time since the latest outage of the
        store ended, in seconds. None if there was no outage.
    age_s : float
        Time since the page was read from the store, in seconds.
    """

    items: tuple[Item, ...]
    revision: int
    truncated: bool
    returned_ago_s: Seconds | None = None
    age_s: Seconds = 0


@dataclass(frozen=True, slots=True)
class ItemEvents:
    """Changes of the items whose keys have one prefix.

    Attributes
    ----------
    events : tuple of Item or Removal
        Written items and removals.
    revision : int
        Revision of the store up to which the changes are complete.
    returned_ago_s, age_s : float
        As in `ItemPage`.
    is_coalesced : bool
        Whether only the last change of each key is listed.
    """

    events: tuple[Item | Removal, ...]
    revision: int
    returned_ago_s: Seconds | None = None
    age_s: Seconds = 0
    is_coalesced: bool = False


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """Result of a watch from a revision that the store no longer keeps."""


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """Result of using a lease that the store does not know, as after expiry."""


@dataclass(frozen=True, slots=True)
class GrantedLease:
    """Lease with its time to live.

    Attributes
    ----------
    ttl_s : float
        Time until it expires unless renewed, in seconds.
    """

    lease: LeaseId
    ttl_s: Seconds


class ItemSource(Protocol):
    """Interface for reading items."""

    async def read_page(
        self,
        prefix: str,
        after: str = '',
        *,
        may_be_stale: bool = False,
    ) -> ItemPage | Failure:
        """Read a page of the items whose keys have a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : str, optional
            Key after which the page begins.
        may_be_stale : bool, optional
            Whether a page that is some seconds old is accepted. It costs the
            store less, and a watch from its revision returns the changes
            since.
        """
        ...

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: Seconds,
    ) -> ItemEvents | HistoryLost | Failure:
        """Wait for changes after a revision, at most `wait_s` seconds."""
        ...


class ItemStore(ItemSource, Protocol):
    """Interface for reading and writing items and for holding leases.

    The run state of a `Failure` tells whether a write took effect.
    """

    async def put(
        self,
        key: str,
        value: bytes,
        lease: LeaseId,
    ) -> int | LeaseEnded | Failure:
        """Write a key under a lease; return the new revision of the store."""
        ...

    async def grant(self, ttl_s: Seconds) -> GrantedLease | Failure:
        """Create a lease that expires after `ttl_s` seconds."""
        ...

    async def renew(self, lease: LeaseId) -> Seconds | LeaseEnded | Failure:
        """Renew a lease; return its time to live, in seconds."""
        ...

    async def end(self, lease: LeaseId) -> None:
        """End a lease; the store removes its keys."""
        ...
