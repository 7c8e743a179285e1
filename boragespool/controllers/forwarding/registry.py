"""Registrations of backend servers: from the store to those that use them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.blackboard.forwarding_topics import REGISTERED
from boragespool.controllers.forwarding.feed import ChangeFeed
from boragespool.events import Event, log_event
from boragespool.forwarding import RegistrationTable
from boragespool.results import Failure

if TYPE_CHECKING:
    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.dialect import Dialect
    from boragespool.controllers.forwarding.mirror import MirrorState
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.forwarding import Registration
    from boragespool.item_store import Item
    from boragespool.timers import TimerService


class ServerRegistry:
    """Keeps the registrations in force and tells what changes.

    Parameters
    ----------
    board : Blackboard
        Gets the registrations in force.
    timers : TimerService
        Clock.
    options : ForwardingOptions
        Times.
    dialect : Dialect
        Decodes registrations.

    Attributes
    ----------
    feed : ChangeFeed
        Changes for other daemons; it leaves out mere heartbeats.
    """

    def __init__(
        self,
        board: Blackboard,
        timers: TimerService,
        options: ForwardingOptions,
        dialect: Dialect,
    ) -> None:
        """Start without registrations."""
        self.feed = ChangeFeed(timers)
        self._board = board
        self._timers = timers
        self._dialect = dialect
        self._grace_s = options.return_grace_s
        self._state: MirrorState | None = None
        self._table = RegistrationTable(options.return_grace_s)
        self._listed_by_key: dict[str, Registration] = {}
        self._told_by_key: dict[str, Registration] = {}

    def take_state(self, state: MirrorState) -> None:
        """Take over what the store lists."""
        for key, item in state.changes_by_key.items():
            self._read(key, item)
        self._state = state
        self._update(state)
        self._publish(state)
        grace_left_s = self._grace_s - (
            self._timers.now_s() - state.returned_at_s
        )
        if grace_left_s > 0:
            # A watch may stay silent for longer than the grace lasts.
            self._timers.after(grace_left_s, self._update_again)

    def _update_again(self) -> None:
        if self._state is not None:
            self._update(self._state)

    def _update(self, state: MirrorState) -> None:
        """Bring the table up to date."""
        self._table.update(
            {entry.server: entry for entry in self._listed_by_key.values()},
            self._timers.now_s(),
            state.returned_at_s,
        )
        self._board.post(REGISTERED, dict(self._table.registrations_by_server))

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

    def _publish(self, state: MirrorState) -> None:
        """Tell other daemons what is listed, but not each heartbeat.

        Entries that lapse are told at once: others wait for their return
        themselves, from the time at which the store came back.
        """
        changes_by_key: dict[str, Item | None] = {}
        for key, listed in self._listed_by_key.items():
            is_accepted = (
                self._table.registrations_by_server.get(listed.server) == listed
            )
            told = listed.without_heartbeat_fields
            if is_accepted and self._told_by_key.get(key) != told:
                self._told_by_key[key] = told
                changes_by_key[key] = state.items_by_key[key]
        for gone_key in self._told_by_key.keys() - self._listed_by_key.keys():
            del self._told_by_key[gone_key]
            changes_by_key[gone_key] = None
        self.feed.publish(
            changes_by_key,
            state,
        )
