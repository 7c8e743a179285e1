"""Rate limit that one backend server names in its answers.

The limit holds for all daemons together, and each of them sends a share.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from boragespool.events import Event, log_event
from boragespool.forwarding import AllowanceShare, RateShare
from boragespool.metrics import LIMITED_ATTEMPTS
from boragespool.timers import RestartableTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.timers import TimerService
    from boragespool.types import Seconds, ServerName

#: Time in which a share that grows reaches its new value, in seconds: the
#: other daemons may have used the difference in the last seconds.
_RATIO_WINDOW_S: Final = 4
#: Longest wait after which queued calls are tried again, in seconds.
_MAX_WAIT_S: Final = 60


class ServerRate:
    """Limit of a server, and the share of it that this daemon may send.

    Parameters
    ----------
    server : str
        Name of the server.
    timers : TimerService
        Clock and timers.
    on_available : callable
        Called without arguments when another request may be sent.

    Attributes
    ----------
    limit_per_s : float or None
        Requests a second that the server takes from all daemons together;
        None if it names no limit.
    """

    def __init__(
        self,
        server: ServerName,
        timers: TimerService,
        on_available: Callable[[], None],
    ) -> None:
        """Start without a limit."""
        self.limit_per_s: float | None = None
        self._server = server
        self._timers = timers
        self._changed_at_s: Seconds = timers.now_s()
        self._sent_count = 0
        self._on_available = on_available
        self._timer = RestartableTimer(timers)
        self._ratio = AllowanceShare()
        self._share = RateShare()

    @property
    def may_send(self) -> bool:
        """Whether the limit allows another request now."""
        return not self._share.wait_s(self._timers.now_s())

    @property
    def rate_per_s(self) -> float:
        """Requests a second that this daemon may send; infinite if any."""
        return self._share.rate_per_s

    def apply_ratio(self, ratio: float) -> None:
        """Use another fraction of the limit from now on."""
        now_s = self._timers.now_s()
        self._ratio = self._ratio.changed(ratio, now_s, _RATIO_WINDOW_S)
        self._update_share()

    def record_sent(self) -> None:
        """Count a request that is sent to the server."""
        if self.limit_per_s is None:
            return
        self._sent_count += 1
        LIMITED_ATTEMPTS.inc()
        # The ratio may have grown since the last request.
        self._update_share()
        self._share = self._share.after_send(self._timers.now_s())
        self._call_when_available()

    def observe(self, limit_per_s: float | None, sent_at_s: Seconds) -> None:
        """Apply the limit that an answer names, or its absence.

        Parameters
        ----------
        limit_per_s : float or None
            Limit in the answer; None if it names none.
        sent_at_s : float
            Time at which the request was sent. An answer without a limit to a
            request from before the limit does not lift it.
        """
        known = self.limit_per_s
        if known == limit_per_s:
            return
        if limit_per_s is None and sent_at_s < self._changed_at_s:
            return
        self.limit_per_s = limit_per_s
        if known is None or limit_per_s is None:
            self._log_change(limit_per_s)
        self._update_share()
        self._call_when_available()

    def _update_share(self) -> None:
        now_s = self._timers.now_s()
        rate_per_s = math.inf
        if self.limit_per_s is not None:
            ratio = self._ratio.at(now_s, _RATIO_WINDOW_S)
            rate_per_s = self.limit_per_s * ratio
        if rate_per_s != self._share.rate_per_s:
            self._share = self._share.with_rate(rate_per_s, now_s)

    def _call_when_available(self) -> None:
        wait_s = self._share.wait_s(self._timers.now_s())
        if wait_s < _MAX_WAIT_S:
            self._timer.restart(wait_s, self._on_available)

    def _log_change(self, limit_per_s: float | None) -> None:
        state = 'lifts its limit' if limit_per_s is None else 'names a limit'
        now_s = self._timers.now_s()
        log_event(
            Event.SERVER_RATE_LIMIT,
            f'{self._server!r} {state}',
            server=self._server,
            limit_per_s=limit_per_s,
            sent=self._sent_count,
            after_s=round(now_s - self._changed_at_s, 3),
        )
        self._changed_at_s = now_s
        self._sent_count = 0
