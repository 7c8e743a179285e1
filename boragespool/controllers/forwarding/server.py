"""One backend server as a daemon uses it: link, load and window."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.backends.limit import LimitState, after_reply, after_shed
from boragespool.forwarding import ServerLoad

if TYPE_CHECKING:
    from boragespool.controllers.forwarding.links import ServerLink
    from boragespool.forwarding import Registration
    from boragespool.types import Seconds

#: Service time, as a multiple of that without load, from which a server gets
#: less at the same time: its slots are in use, and what is sent waits there in
#: order of arrival. Single slow requests take up to five times as long.
_STRETCH: Final = 6


class Server:
    """One backend server with its link, load and window.

    The window is how many requests this daemon sends at the same time. It
    shrinks while answers take long, so that calls wait in the daemon, by
    rank, rather than in the queue of the server.

    Attributes
    ----------
    least_window : int
        Requests that are sent at the same time however slow the server is.
    """

    def __init__(self, registration: Registration, link: ServerLink) -> None:
        """Start with a window as large as the link."""
        self.registration = registration
        self.link = link
        self.load = ServerLoad(registration.slots)
        self.least_window = 1
        self._window = LimitState(link.limit, link.limit)

    @property
    def has_room(self) -> bool:
        """Whether another request can be sent now."""
        window = max(self.least_window, self._window.limit)
        return self.link.has_room and self.load.in_flight < window

    def share(self, limit: int, least_window: int) -> None:
        """Take this daemon's part of the connections and slots."""
        self.link.limit = limit
        self.least_window = least_window
        window = self._window
        if window.slots != limit:
            is_full = window.limit >= window.slots
            fractional_limit = (
                limit if is_full else min(limit, window.fractional_limit)
            )
            self._window = LimitState(
                limit, fractional_limit, window.reduced_at_s
            )

    def note_answer(
        self,
        service_s: Seconds,
        unloaded_s: Seconds,
        now_s: Seconds,
    ) -> None:
        """Adapt the window to an answer.

        Parameters
        ----------
        service_s : float
            Time that the answer took, without the distance, in seconds.
        unloaded_s : float
            Time that such a request takes without a queue, in seconds.
        """
        if service_s > _STRETCH * unloaded_s:
            self.note_refusal(now_s)
        else:
            in_flight = self.load.in_flight + 1
            self._window = after_reply(self._window, in_flight)

    def note_abandoned(
        self,
        waited_s: Seconds,
        unloaded_s: Seconds,
        now_s: Seconds,
    ) -> None:
        """Shrink the window if a request was given up after a long time."""
        if waited_s > _STRETCH * unloaded_s:
            self.note_refusal(now_s)

    def note_refusal(self, now_s: Seconds) -> None:
        """Shrink the window, as the server refused or broke a connection."""
        self._window = after_shed(self._window, now_s)
