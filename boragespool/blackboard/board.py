"""Typed blackboard: holds the latest value of each topic for subscribers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

_ValueT = TypeVar('_ValueT')


@dataclass(frozen=True, slots=True)
class Topic(Generic[_ValueT]):
    """Key of a value on the blackboard.

    Attributes
    ----------
    name : str
        Unique name.
    default : object
        Value until the first post.
    """

    name: str
    default: _ValueT


class Blackboard:
    """Holds one value per topic and calls subscribers when it changes.

    It must be used in the thread of the event loop only. Values must not be
    modified after they are posted.
    """

    def __init__(self) -> None:
        """Create a blackboard on which every topic has its default."""
        self._values_by_topic: dict[str, Any] = {}
        self._callbacks_by_topic: dict[str, list[Callable[[Any], None]]] = {}

    def read(self, topic: Topic[_ValueT]) -> _ValueT:
        """Return the latest value of a topic."""
        latest: _ValueT = self._values_by_topic.get(topic.name, topic.default)
        return latest

    def post(self, topic: Topic[_ValueT], value: _ValueT) -> None:
        """Replace the value of a topic and call its subscribers if it differs."""
        if self.read(topic) == value:
            return
        self._values_by_topic[topic.name] = value
        for callback in tuple(self._callbacks_by_topic.get(topic.name, ())):
            callback(value)

    def subscribe(
        self,
        topic: Topic[_ValueT],
        callback: Callable[[_ValueT], None],
    ) -> Callable[[], None]:
        """Call a function with each changed value from now on.

        Returns
        -------
        callable
            Ends the subscription.
        """
        callbacks = self._callbacks_by_topic.setdefault(topic.name, [])
        callbacks.append(callback)

        def unsubscribe() -> None:
            if callback in callbacks:
                callbacks.remove(callback)

        return unsubscribe
