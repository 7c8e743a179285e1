"""Everything that a forwarding daemon reads from the store.

Mirrors the records of the daemons, the configuration and the registrations of
backend servers, and offers their changes to other daemons.
"""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Final, Self

from boragespool.controllers.forwarding.configuration_follower import (
    ConfigurationFollower,
)
from boragespool.controllers.forwarding.hosts import HostRegistry
from boragespool.controllers.forwarding.load_monitor import LoadMonitor
from boragespool.controllers.forwarding.loss_reports import LossReports
from boragespool.controllers.forwarding.mirror import (
    MirrorState,
    MirrorOptions,
    PrefixMirror,
)
from boragespool.controllers.forwarding.registry import ServerRegistry
from boragespool.controllers.forwarding.relay import (
    RelayedSource,
    RelayOptions,
)

if TYPE_CHECKING:
    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.codec import MessageCodec
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.forwarding import ReadPlan
    from boragespool.item_store import ItemStore
    from boragespool.timers import TimerService
    from boragespool.types import Address

#: Time that a watch may take beyond its wait, in seconds. Daemons that read
#: through another one fall back to the store if the data is older than the
#: wait plus this margin.
_READ_MARGIN_S: Final = 0.6


class StoreMirrors:
    """Mirrors of the store and their registries; an async context manager.

    Parameters
    ----------
    board : Blackboard
        Receives the daemons, routes and registrations.
    timers : TimerService
        Clock and timers.
    options : ForwardingOptions
        Prefixes, and timing of the reads.
    codec : MessageCodec
        Decodes items.
    store : ItemStore
        Client of the platform's store.

    Attributes
    ----------
    hosts : HostRegistry
        Registry of the daemons, which also publishes this one.
    feeds_by_prefix : dict of str to ChangeFeed
        Change feeds for other daemons.
    """

    def __init__(
        self,
        board: Blackboard,
        timers: TimerService,
        options: ForwardingOptions,
        codec: MessageCodec,
        store: ItemStore,
    ) -> None:
        """Set up the registries and mirrors; entering starts the reads."""
        self._stack = AsyncExitStack()
        self._source = RelayedSource(
            store,
            RelayOptions(
                self._read_plan,
                self._other_addresses,
                options.host_prefix,
                options.relay_wait_s + _READ_MARGIN_S,
                options.watch_wait_s + _READ_MARGIN_S,
                options.relay_wait_s,
                options.record_response_limits,
            ),
        )
        self.hosts = HostRegistry(
            board,
            store,
            timers,
            options,
            self._on_lease_renewed,
        )
        self._loss_reports = LossReports(board, store, options)
        self._load_monitor = LoadMonitor(timers, self.hosts.set_busy)
        server_registry = ServerRegistry(board, timers, options, codec)
        configuration = ConfigurationFollower(board, timers, codec)
        self.feeds_by_prefix = {
            options.host_prefix: self.hosts.feed,
            options.configuration_prefix: configuration.feed,
            options.registration_prefix: server_registry.feed,
        }
        apply_state_by_prefix = {
            options.host_prefix: self._apply_hosts,
            options.configuration_prefix: configuration.apply_state,
            options.registration_prefix: server_registry.apply_state,
        }
        self._mirrors_by_prefix = {
            prefix: PrefixMirror(
                self._source,
                timers,
                MirrorOptions(
                    prefix,
                    options.min_read_interval_s(prefix),
                    options.watch_wait_s,
                ),
                apply_state,
            )
            for prefix, apply_state in apply_state_by_prefix.items()
        }

    async def __aenter__(self) -> Self:
        """Start the mirrors, the publication of this daemon and its load."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._source)
            for mirror in self._mirrors_by_prefix.values():
                await stack.enter_async_context(mirror)
            await stack.enter_async_context(self.hosts)
            await stack.enter_async_context(self._loss_reports)
            stack.enter_context(self._load_monitor)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop reading and publishing."""
        await self._stack.aclose()

    def _apply_hosts(self, state: MirrorState) -> None:
        self.hosts.apply_state(state)
        self._loss_reports.apply_state(state)

    def _read_plan(self) -> ReadPlan:
        return self.hosts.read_plan()

    def _other_addresses(self) -> tuple[Address, ...]:
        return self.hosts.other_addresses()

    def _on_lease_renewed(self, had_failed: bool) -> None:
        """Use the renewal of the lease as proof that the store responds.

        Parameters
        ----------
        had_failed : bool
            Whether the previous renewal failed. Watches in progress may then
            have been lost and are sent again.
        """
        if had_failed:
            for mirror in self._mirrors_by_prefix.values():
                mirror.restart()
        elif self.hosts.is_reader:
            for prefix, mirror in self._mirrors_by_prefix.items():
                if not mirror.is_failing:
                    self.feeds_by_prefix[prefix].mark_read()
