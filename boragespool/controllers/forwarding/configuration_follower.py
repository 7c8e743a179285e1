"""Follows the operators' configuration and posts the routes in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.blackboard.forwarding_topics import ROUTES
from boragespool.controllers.forwarding.feed import ChangeFeed
from boragespool.events import Event, log_event
from boragespool.forwarding import index_routes
from boragespool.metrics import CONFIGURATION_REVISION
from boragespool.results import Failure

if TYPE_CHECKING:
    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.codec import MessageCodec
    from boragespool.controllers.forwarding.mirror import MirrorState
    from boragespool.item_store import Item
    from boragespool.timers import TimerService


class ConfigurationFollower:
    """Applies each newer version of the configuration, and no older one.

    Parameters
    ----------
    board : Blackboard
        Receives the routes of each version applied.
    timers : TimerService
        Clock.
    codec : MessageCodec
        Decodes the configuration.

    Attributes
    ----------
    version : int or None
        Version in force; None before the first one.
    feed : ChangeFeed
        Changes of the configuration, served to other daemons.
    """

    def __init__(
        self,
        board: Blackboard,
        timers: TimerService,
        codec: MessageCodec,
    ) -> None:
        """Set up a follower without a configuration in force."""
        self.version: int | None = None
        self.feed = ChangeFeed(timers)
        self._codec = codec
        self._board = board

    def apply_state(self, state: MirrorState) -> None:
        """Apply the configuration of a state of the mirror if it is newer."""
        changes_by_key = state.changes_by_key
        self.feed.publish(changes_by_key, state)
        for item in changes_by_key.values():
            if item is not None:
                self._apply_item(item)

    def _apply_item(self, item: Item) -> None:
        configuration = self._codec.read_configuration(item)
        if isinstance(configuration, Failure):
            log_event(
                Event.REVISION_REJECTED,
                configuration.reason,
                key=item.key,
                revision=item.revision,
            )
            return
        if self.version is not None and configuration.version <= self.version:
            return
        log_event(
            Event.REVISION_IN_FORCE,
            f'configuration version {configuration.version} is in force',
            version=configuration.version,
            previous=self.version,
            revision=item.revision,
            routes=len(configuration.routes),
        )
        self.version = configuration.version
        CONFIGURATION_REVISION.set(configuration.version)
        self._board.post(ROUTES, index_routes(configuration))
