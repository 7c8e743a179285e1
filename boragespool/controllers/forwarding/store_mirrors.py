"""Everything that one daemon reads from the store, and tells others."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Final, Self

from boragespool.controllers.forwarding.hosts import HostRegistry
from boragespool.controllers.forwarding.mirror import (
    MirrorOptions,
    PrefixMirror,
)
from boragespool.controllers.forwarding.registry import ServerRegistry
from boragespool.controllers.forwarding.relay import (
    RelayedSource,
    RelayOptions,
)
from boragespool.controllers.forwarding.configuration_follower import (
    ConfigurationFollower,
)

if TYPE_CHECKING:
    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.codec import MessageCodec
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.item_store import ItemStore
    from boragespool.timers import TimerService
    from boragespool.types import Address

#: Time that a watch may take beyond its wait before those that read through
#: this daemon turn to the store, in seconds.
_READ_S: Final = 0.6


class StoreMirrors:
    """Registries that follow the store, an async context manager.

    Parameters
    ----------
    board : Blackboard
        Gets what is read.
    timers : TimerService
        Clock.
    options : ForwardingOptions
        Prefixes and times.
    dialect : Dialect
        Decodes items.
    store : ItemStore
        The platform's store.

    Attributes
    ----------
    hosts : HostRegistry
        Daemons that serve.
    feeds_by_prefix : dict of str to ChangeFeed
        Changes for other daemons.
    """

    def __init__(
        self,
        board: Blackboard,
        timers: TimerService,
        options: ForwardingOptions,
        dialect: MessageCodec,
        store: ItemStore,
    ) -> None:
        """Read nothing yet."""
        self._stack = AsyncExitStack()
        self._source = RelayedSource(
            store,
            RelayOptions(
                self._reader,
                self._others,
                options.relay_wait_s + _READ_S,
                options.watch_wait_s + _READ_S,
                options.relay_wait_s,
            ),
        )
        self.hosts = HostRegistry(
            board,
            store,
            timers,
            options,
            self._note_contact,
        )
        servers = ServerRegistry(board, timers, options, dialect)
        versions = ConfigurationFollower(board, timers, dialect)
        self.feeds_by_prefix = {
            options.host_prefix: self.hosts.feed,
            options.configuration_prefix: versions.feed,
            options.registration_prefix: servers.feed,
        }
        take_state_by_prefix = {
            options.host_prefix: self.hosts.apply_state,
            options.configuration_prefix: versions.apply_state,
            options.registration_prefix: servers.apply_state,
        }
        self._mirrors_by_prefix = {
            prefix: PrefixMirror(
                self._source,
                timers,
                MirrorOptions(
                    prefix,
                    options.pace_s_of(prefix),
                    options.watch_wait_s,
                ),
                apply_state,
            )
            for prefix, apply_state in take_state_by_prefix.items()
        }

    async def __aenter__(self) -> Self:
        """Begin to read, and to publish this daemon once it serves."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._source)
            for mirror in self._mirrors_by_prefix.values():
                await stack.enter_async_context(mirror)
            await stack.enter_async_context(self.hosts)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop reading."""
        await self._stack.aclose()

    def _reader(self) -> Address | None:
        return self.hosts.reader()

    def _others(self) -> tuple[Address, ...]:
        return self.hosts.others()

    def _note_contact(self, has_returned: bool) -> None:
        """Take the renewal of the lease as proof that the store answers.

        Parameters
        ----------
        has_returned : bool
            Whether a renewal failed before; watches that wait then may have
            been lost.
        """
        if has_returned:
            for waiting in self._mirrors_by_prefix.values():
                waiting.restart()
        elif self.hosts.is_reader:
            for prefix, mirror in self._mirrors_by_prefix.items():
                if not mirror.is_failing:
                    self.feeds_by_prefix[prefix].mark_read()
