"""Detection of backend servers that ended with requests in flight.

A connection that closes without a response does not tell whether the server
has ended: servers also reset single connections. A server that then refuses
new connections has ended.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.events import Event, log_event
from boragespool.http import FailureKind
from boragespool.metrics import SERVER_CHECKS

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.controllers.forwarding.server import Server
    from boragespool.forwarding import RequestIdentity
    from boragespool.http import ExchangeFailure
    from boragespool.timers import TimerService
    from boragespool.types import HostName, RequestId, ServerName

#: Delay of the second check of a server that still accepted a connection, in
#: seconds: a process that ends closes its sockets one after the other.
_SECOND_CHECK_DELAY_S: Final = 0.1
#: Maximum number of requests that one log line names.
_MAX_LOGGED_REQUESTS: Final = 16


@dataclass(frozen=True, slots=True)
class InterruptedAttempt:
    """An attempt whose connection closed without a response.

    Attributes
    ----------
    number : int
        Number of the attempt, unique in this daemon.
    identity : RequestIdentity
        Identity of the request.
    is_trial : bool
        Whether the request was a suspect and the only one with its base that
        this daemon had sent.
    """

    request_id: RequestId | None
    number: int
    identity: RequestIdentity
    is_trial: bool


@dataclass(frozen=True, slots=True)
class ServerCheck:
    """Result of the check of a server that interrupted attempts.

    Attributes
    ----------
    loss_id : str
        Identifies the loss, see `LossNotice`.
    is_lost : bool
        Whether the server has ended unexpectedly.
    attempts : tuple of InterruptedAttempt
        Attempts that were in flight.
    """

    server: ServerName
    loss_id: str
    is_lost: bool
    attempts: tuple[InterruptedAttempt, ...]


class LossDetector:
    """Checks servers that close connections without a response.

    Parameters
    ----------
    timers : TimerService
        Clock and timers.
    host : str
        Name of this daemon's host.
    is_in_use : callable
        Whether a server is registered and not draining. The end of any other
        server is expected.
    on_checked : callable
        Called with the result of each check.
    """

    def __init__(
        self,
        timers: TimerService,
        host: HostName,
        is_in_use: Callable[[Server], bool],
        on_checked: Callable[[ServerCheck], None],
    ) -> None:
        """Set up a detector without checks in progress."""
        self._timers = timers
        self._host = host
        self._is_in_use = is_in_use
        self._on_checked = on_checked
        self._loss_count = 0
        self._attempts_by_server: dict[ServerName, list[InterruptedAttempt]]
        self._attempts_by_server = {}

    def record(self, server: Server, attempt: InterruptedAttempt) -> None:
        """Check the server, unless a check is in progress."""
        name = server.registration.server
        attempts = self._attempts_by_server.get(name)
        if attempts is not None:
            attempts.append(attempt)
            return
        self._attempts_by_server[name] = [attempt]
        server.connections.probe(
            lambda failure: self._handle_first_probe(server, failure)
        )

    def _handle_first_probe(
        self, server: Server, failure: ExchangeFailure | None
    ) -> None:
        if failure is not None:
            self._finish(server, failure)
            return
        self._timers.after(
            _SECOND_CHECK_DELAY_S,
            lambda: server.connections.probe(
                lambda result: self._finish(server, result)
            ),
        )

    def _finish(self, server: Server, failure: ExchangeFailure | None) -> None:
        registration = server.registration
        attempts = self._attempts_by_server.pop(registration.server, [])
        has_ended = failure is not None and failure.kind is FailureKind.REFUSED
        is_lost = has_ended and self._is_in_use(server)
        SERVER_CHECKS.labels('lost' if is_lost else 'in_use').inc()
        self._loss_count += 1
        start = registration.started_at_ms or f'{self._host}-{self._loss_count}'
        loss_id = f'{registration.server}@{start}'
        log_event(
            Event.SERVER_CHECKED,
            f'{registration.server!r} closed {len(attempts)} connections '
            'without a response',
            level=logging.WARNING if is_lost else logging.INFO,
            server=registration.server,
            service=registration.service,
            address=registration.address,
            lost=is_lost,
            ended=has_ended,
            loss_id=loss_id,
            in_flight=[
                {
                    'request': attempt.request_id,
                    'fingerprint': hex(attempt.identity.fingerprint),
                    'base': hex(attempt.identity.base),
                }
                for attempt in attempts[:_MAX_LOGGED_REQUESTS]
            ],
        )
        self._on_checked(
            ServerCheck(registration.server, loss_id, is_lost, tuple(attempts))
        )
