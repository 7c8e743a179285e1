"""Configuration in force: follows the operators' newest version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.blackboard.forwarding_topics import ROUTES
from boragespool.controllers.forwarding.feed import ChangeFeed
from boragespool.events import Event, log_event
from boragespool.forwarding import index_routes
from boragespool.metrics import REVISION
from boragespool.results import Failure

if TYPE_CHECKING:
    from boragespool.blackboard import Blackboard
    from boragespool.controllers.forwarding.codec import MessageCodec
    from boragespool.controllers.forwarding.mirror import MirrorState
    from boragespool.item_store import Item
    from boragespool.timers import TimerService


class ConfigurationFollower:
    """Takes over each newer version and never goes back.

    Parameters
    ----------
    board : Blackboard
        Gets the routes of each newer version.
    timers : TimerService
        Clock.
    dialect : Dialect
        Decodes the configuration.
    """

    def __init__(
        self,
        board: Blackboard,
        timers: TimerService,
        dialect: MessageCodec,
    ) -> None:
        """Start without a configuration."""
        self.version: int | None = None
        self.feed = ChangeFeed(timers)
        self._dialect = dialect
        self._board = board

    def apply_state(self, state: MirrorState) -> None:
        """Take over the configuration if it changed."""
        changes_by_key = state.changes_by_key
        self.feed.publish(changes_by_key, state)
        for item in changes_by_key.values():
            if item is not None:
                self._take(item)

    def _take(self, item: Item) -> None:
        configuration = self._dialect.read_configuration(item)
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
            f'configuration {configuration.version} is in force',
            version=configuration.version,
            previous=self.version,
            revision=item.revision,
            routes=len(configuration.routes),
        )
        self.version = configuration.version
        REVISION.set(configuration.version)
        self._board.post(ROUTES, index_routes(configuration))
