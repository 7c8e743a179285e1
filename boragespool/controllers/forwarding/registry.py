"""Registrations of backend servers: from the store to those that use them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.controllers.forwarding.feed import ChangeFeed
from boragespool.events import Event, log_event
from boragespool.forwarding import RegistrationTable
from boragespool.results import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.forwarding.dialect import Dialect
    from boragespool.controllers.forwarding.mirror import MirrorState
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.forwarding import Registration, RegistryChange
    from boragespool.store import Item
    from boragespool.timers import TimerService


class ServerRegistry:
    """Keeps the registrations in force and tells what changes.

    Parameters
    ----------
    timers : TimerService
        Clock.
    options : ForwardingOptions
        Times.
    dialect : Dialect
        Decodes registrations.
    on_change : callable
        Called with each difference and the revision of the store.

    Attributes
    ----------
    feed : ChangeFeed
        Changes for other daemons; it leaves out mere heartbeats.
    is_known : bool
        Whether the store was read at least once.
    """

    def __init__(
        self,
        timers: TimerService,
        options: ForwardingOptions,
        dialect: Dialect,
        on_change: Callable[[RegistryChange, int], None],
    ) -> None:
        """Start without registrations."""
        self.feed = ChangeFeed(timers)
        self.is_known = False
        self._timers = timers
        self._dialect = dialect
        self._on_change = on_change
        self._table = RegistrationTable(options.return_grace_s)
        self._listed_by_key: dict[str, Registration] = {}
        self._told_by_key: dict[str, Registration] = {}

    def take_state(self, state: MirrorState) -> None:
        """Take over what the store lists."""
        for key in state.changed_keys:
            self._read(key, state.items_by_key.get(key))
        change = self._table.update(
            {entry.server: entry for entry in self._listed_by_key.values()},
            self._timers.now_s(),
            state.returned_at_s,
        )
        self.is_known = True
        self._publish(change, state)
        self._on_change(change, state.revision)

    def _read(self, key: str, item: Item | None) -> None:
        """Keep a readable registration; others name no server."""
        self._listed_by_key.pop(key, None)
        if item is None:
            return
        registration = self._dialect.read_registration(item)
        if not isinstance(registration, Failure):
            self._listed_by_key[key] = registration
            return
        log_event(
            Event.REGISTRATION_REJECTED,
            registration.reason,
            key=key,
            revision=item.revision,
        )

    def _publish(self, change: RegistryChange, state: MirrorState) -> None:
        """Tell other daemons what changed, but not each heartbeat."""
        keys_by_server = {
            entry.server: key for key, entry in self._listed_by_key.items()
        }
        changes_by_key: dict[str, Item | None] = {}
        for registration in change.added + change.changed:
            key = keys_by_server[registration.server]
            if self._told_by_key.get(key) != registration.without_sequence:
                self._told_by_key[key] = registration.without_sequence
                changes_by_key[key] = state.items_by_key[key]
        for told_key, told in tuple(self._told_by_key.items()):
            if told.server not in self._table.by_server:
                del self._told_by_key[told_key]
                changes_by_key[told_key] = None
        self.feed.publish(
            changes_by_key,
            state,
        )
