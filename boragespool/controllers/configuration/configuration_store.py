"""Protocols of the platform client, as the configuration controller uses it.

`boragespool.store.StoreClient` implements them; the tests have a fake.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, runtime_checkable

if TYPE_CHECKING:
    from boragespool.results import Failure
    from boragespool.types import HostName, Seconds


class VersionedAnswer(Protocol):
    """Answer with a version; without a value if a watch found no newer one."""

    @property
    def version(self) -> int:
        """Version of the key in the store; 0 if it was never written."""
        ...


@runtime_checkable
class StoredAnswer(VersionedAnswer, Protocol):
    """Answer that contains a value."""

    @property
    def value(self) -> str:
        """Text of the value."""
        ...


class ListedHost(Protocol):
    """One entry of the platform's host list."""

    @property
    def host(self) -> HostName:
        """Name of the host."""
        ...

    @property
    def state(self) -> str:
        """Either ``live`` or ``leaving``."""
        ...


class HostListSource(Protocol):
    """Client that reads the platform's host list."""

    async def hosts(self) -> tuple[ListedHost, ...] | Failure:
        """Return the platform's host list."""
        ...


class ValueSource(Protocol):
    """Client that reads values from the store."""

    async def get(self, key: str) -> StoredAnswer | object:
        """Return the value of a key; an object of another type if none."""
        ...


class ConfigurationStore(HostListSource, ValueSource, Protocol):
    """Client that also watches keys of the store."""

    async def watch(
        self,
        key: str,
        after_version: int,
        wait_s: Seconds,
    ) -> StoredAnswer | VersionedAnswer | Failure:
        """Wait up to `wait_s` for a version later than `after_version`."""
        ...
