"""The part of the platform client that the configuration controller calls.

`boragespool.store.StoreClient` has these methods; tests use a fake.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, runtime_checkable

if TYPE_CHECKING:
    from boragespool.results import Failure
    from boragespool.types import HostName, Seconds


class VersionedAnswer(Protocol):
    """Answer to a watch that ended without news."""

    @property
    def version(self) -> int:
        """Version of the key in the store; 0 for none."""
        ...


@runtime_checkable
class StoredAnswer(VersionedAnswer, Protocol):
    """Answer with a value."""

    @property
    def value(self) -> str:
        """Text of the value."""
        ...


class ListedHost(Protocol):
    """One host of the platform's list."""

    @property
    def host(self) -> HostName:
        """Name of the host."""
        ...

    @property
    def state(self) -> str:
        """Either ``live`` or ``leaving``."""
        ...


class HostListSource(Protocol):
    """What reads the platform's host list."""

    async def hosts(self) -> tuple[ListedHost, ...] | Failure:
        """Return the platform's host list."""
        ...


class ValueSource(Protocol):
    """What reads values of the store."""

    async def get(self, key: str) -> StoredAnswer | object:
        """Return the value of a key, or anything else if there is none."""
        ...


class ConfigurationStore(HostListSource, ValueSource, Protocol):
    """What watches the store."""

    async def watch(
        self,
        key: str,
        after_version: int,
        wait_s: Seconds,
    ) -> StoredAnswer | VersionedAnswer | Failure:
        """Wait for a newer version of a key."""
        ...
