"""Registry of backend servers.

Posts the current registrations to the blackboard and offers their changes to
other daemons.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.blackboard.forwarding_topics import REGISTRATIONS
from boragespool.controllers.forwarding.feed import ChangeFeed
from boragespool.events import Event, log_event
from boragespool.forwarding import RegistrationTable
from boragespool.results import Failure

if TYPE_CHECKING:
    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.codec import MessageCodec
    from boragespool.controllers.forwarding.mirror import MirrorState
    from boragespool.controllers.forwarding.options import ForwardingOptions
    from boragespool.forwarding import Registration
    from boragespool.item_store import Item
    from boragespool.timers import TimerService


class ServerRegistry:
    """Follows the registrations of backend servers.

    Parameters
    ----------
    board : Blackboard
        Receives the current registrations.
    timers : TimerService
        Clock and timers.
    options : ForwardingOptions
        Grace period after an outage of the store.
    codec : MessageCodec
        Decodes registrations.

    Attributes
    ----------
    feed : ChangeFeed
        Changes of the registrations, served to other daemons; it omits
        heartbeats, which change only the sequence number and the remaining
        warm-up time.
    """

    def __init__(
        self,
        board: Blackboard,
        timers: TimerService,
        options: ForwardingOptions,
        codec: MessageCodec,
    ) -> None:
        """Set up an empty registry."""
        self.feed = ChangeFeed(timers)
        self._board = board
        self._timers = timers
        self._codec = codec
        self._grace_s = options.return_grace_s
        self._last_state: MirrorState | None = None
        self._table = RegistrationTable(options.return_grace_s)
        self._listed_by_key: dict[str, Registration] = {}
        self._published_by_key: dict[str, Registration] = {}

    def apply_state(self, state: MirrorState) -> None:
        """Apply the registrations of a state of the mirror."""
        for key, item in state.changes_by_key.items():
            self._apply_item(key, item)
        self._last_state = state
        self._update_table(state)
        self._publish(state)
        grace_left_s = self._grace_s - (
            self._timers.now_s() - state.returned_at_s
        )
        if grace_left_s > 0:
            # The next state may come only after the grace period has ended.
            self._timers.after(grace_left_s, self._refresh)

    def _refresh(self) -> None:
        if self._last_state is not None:
            self._update_table(self._last_state)

    def _update_table(self, state: MirrorState) -> None:
        """Update the current registrations and post them."""
        self._table.update(
            {entry.server: entry for entry in self._listed_by_key.values()},
            self._timers.now_s(),
            state.returned_at_s,
        )
        self._board.post(
            REGISTRATIONS, dict(self._table.registrations_by_server)
        )

    def _apply_item(self, key: str, item: Item | None) -> None:
        """Store a registration that can be decoded, and drop any other."""
        self._listed_by_key.pop(key, None)
        if item is None:
            return
        registration = self._codec.read_registration(item)
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
        """Publish changed and removed registrations, but no heartbeats.

        Removals are published at once, because other daemons apply the grace
        period themselves.
        """
        changes_by_key: dict[str, Item | None] = {}
        for key, listed in self._listed_by_key.items():
            is_accepted = (
                self._table.registrations_by_server.get(listed.server) == listed
            )
            published = listed.without_heartbeat_fields
            is_changed = (
                key in state.rewritten_keys
                or self._published_by_key.get(key) != published
            )
            if is_accepted and is_changed:
                self._published_by_key[key] = published
                changes_by_key[key] = state.items_by_key[key]
        # Also keys that this daemon does not know: another one may, if they
        # were removed while all keys were read page by page.
        for removed_key in state.changed_keys - self._listed_by_key.keys():
            self._published_by_key.pop(removed_key, None)
            changes_by_key[removed_key] = None
        self.feed.publish(
            changes_by_key,
            state,
        )
