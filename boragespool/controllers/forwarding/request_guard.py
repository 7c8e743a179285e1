"""The crash guard as one request to one service uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.forwarding.crash_guard import CrashGuard
    from boragespool.controllers.forwarding.server import Server
    from boragespool.forwarding import RequestIdentity
    from boragespool.types import RequestId, ServerName

#: Retry-After value of a blocked request, in seconds; blocks last for minutes.
_BLOCKED_RETRY_AFTER_S: Final = 60


class RequestGuard:
    """Asks the crash guard before attempts, and tells it their results.

    Parameters
    ----------
    guard : CrashGuard
        Suspect and blocked requests of this daemon.
    request_id : str or None
        Id of the request, for the log.
    identity : RequestIdentity
        Identity of the request.
    """

    def __init__(
        self,
        guard: CrashGuard,
        request_id: RequestId | None,
        identity: RequestIdentity,
    ) -> None:
        """Set up the view of one request, which does not wait."""
        self._guard = guard
        self._request_id = request_id
        self._identity = identity
        self._wait_number: int | None = None

    @property
    def is_blocked(self) -> bool:
        """Whether the request must not be sent."""
        return self._guard.is_blocked(self._identity)

    @property
    def is_suspect(self) -> bool:
        """Whether the request may have crashed a server."""
        return self._guard.is_suspect(self._identity)

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent now."""
        return not self.is_blocked and self._guard.may_send(self._identity)

    def wait(self, number: int, resume: Callable[[], None]) -> None:
        """Call `resume` when the trial of an equal request has ended.

        Parameters
        ----------
        number : int
            Number that no other attempt or wait uses.
        """
        self._wait_number = number
        self._guard.turns.wait(number, self._identity.base, resume)

    def stop_waiting(self) -> None:
        """End a wait, if there is one, without a call."""
        if self._wait_number is not None:
            self._guard.turns.stop_waiting(self._wait_number)
            self._wait_number = None

    def start_attempt(self, number: int, server: ServerName) -> None:
        """Record that an attempt is sent to a server."""
        self._guard.start_attempt(number, self._identity, server)

    def end_attempt(self, number: int) -> None:
        """Record the end of an attempt, whatever its result."""
        self._guard.end_attempt(number, self._identity)

    def record_interruption(self, number: int, server: Server) -> None:
        """Record that a server closed the connection without a response."""
        self._guard.record_interruption(
            server, self._request_id, number, self._identity
        )

    def record_answer(self) -> None:
        """Record that a server answered the request with success."""
        self._guard.record_answer(self._request_id, self._identity)


def blocked_failure(
    identity: RequestIdentity, run_state: RunState = RunState.NOT_RUN
) -> Failure:
    """Return the failure of a request that crashes backend servers.

    Parameters
    ----------
    identity : RequestIdentity
        Identity of the request.
    run_state : RunState
        Whether this request may have run.
    """
    return Failure(
        ResultCode.REQUEST_BLOCKED,
        f'requests like {hex(identity.fingerprint)} with base '
        f'{hex(identity.base)} crashed backend servers',
        run_state,
        retry_after_s=_BLOCKED_RETRY_AFTER_S,
    )
