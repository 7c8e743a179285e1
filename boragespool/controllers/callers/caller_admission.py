"""Refuses requests of callers before the full check of their bodies.

Only the fields that decide about admission are decoded, so that a refusal
costs little under overload.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

import msgspec

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE
from boragespool.controllers.callers.caller_input import (
    NO_CONFIGURATION,
    CheckedBody,
    check_body,
)
from boragespool.http import failure_response
from boragespool.metrics import REQUESTS
from boragespool.results import Failure, ResultCode
from boragespool.types import Rank, RouteName, WorkKind

if TYPE_CHECKING:
    from boragespool.blackboard import Blackboard
    from boragespool.controllers.callers.caller_controllers import (
        CallerControllers,
    )
    from boragespool.http import HttpRequest, HttpResponse
    from boragespool.settings import Settings

_MS_PER_S: Final = 1_000
_RANKS: Final = tuple(Rank)


@dataclass(frozen=True, slots=True)
class _Head:
    """Fields of the body that are needed to decide about admission."""

    route: RouteName = ''
    rank: str | None = None
    deadline_ms: float | None = None
    ticket: str = ''


_DECODER: Final = msgspec.json.Decoder(_Head)
_UNREADABLE: Final = _Head()


class CallerAdmission:
    """Admits or refuses requests of callers, and checks the admitted ones.

    Parameters
    ----------
    board : Blackboard
        Blackboard from which the settings in force are read.
    controllers : CallerControllers
        The overload controller decides by rank. The claim controller seals
        the ticket of a refused claim if this daemon issued it, so that the
        claim cannot run after the caller was told that it did not
        (``NOT_RUN``).
    """

    def __init__(
        self, board: Blackboard, controllers: CallerControllers
    ) -> None:
        """Set up the admission check."""
        self._board = board
        self._controllers = controllers

    def check(
        self,
        request: HttpRequest,
        form: WorkKind,
    ) -> CheckedBody | HttpResponse:
        """Return a checked body, or the response that refuses the request.

        Parameters
        ----------
        request : HttpRequest
            HTTP request, with the time that it waited in this daemon.
        form : WorkKind
            Kind of request that the path accepts.
        """
        document = self._board.read(DOCUMENT_IN_FORCE)
        if document is None:
            return failure_response(NO_CONFIGURATION)
        settings = document.settings
        refused = self._refuse(request, form, settings)
        if refused is not None:
            return refused
        checked = check_body(request.body, form, settings)
        if isinstance(checked, Failure):
            return failure_response(checked)
        remaining_s = max(0, checked.deadline_s - request.waited_s)
        return replace(checked, deadline_s=remaining_s)

    def _refuse(
        self,
        request: HttpRequest,
        form: WorkKind,
        settings: Settings,
    ) -> HttpResponse | None:
        """Return a refusal, or None if the request is admitted."""
        head = _decode_head(request.body)
        rank = _admission_rank(head, settings)
        if not request.deferred:
            self._controllers.overload.record_wait(request.waited_s)
        failure = _check_deadline(head, request, settings)
        failure = failure or self._controllers.overload.refuse(rank)
        if failure is not None and form is WorkKind.CLAIM:
            failure = self._controllers.claims.refuse(head.ticket, failure)
        if failure is None:
            return None
        REQUESTS.labels(form.value, rank.value, int(failure.code)).inc()
        return replace(failure_response(failure), defer_next=True)


def _decode_head(raw: bytes) -> _Head:
    """Decode the fields for admission; use defaults for an invalid body."""
    try:
        return _DECODER.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return _UNREADABLE


def _admission_rank(head: _Head, settings: Settings) -> Rank:
    """Return the rank that decides about admission.

    It is the lowest one if the route does not exist, and that of the route if
    the caller's is missing, unknown or higher.
    """
    route = settings.routes.get(head.route)
    if route is None:
        return Rank.DEFERRABLE
    if head.rank in _RANKS:
        return max(route.rank, Rank(head.rank), key=_RANKS.index)
    return route.rank


def _check_deadline(
    head: _Head,
    request: HttpRequest,
    settings: Settings,
) -> Failure | None:
    """Return a failure if the deadline passed while the request waited."""
    route = settings.routes.get(head.route)
    if route is None:
        return None
    deadline_ms = route.deadline_ms
    if head.deadline_ms is not None:
        deadline_ms = min(deadline_ms, head.deadline_ms)
    # A deadline of zero or less is an error of the caller, which the check
    # of the body reports.
    if deadline_ms <= 0 or request.waited_s * _MS_PER_S < deadline_ms:
        return None
    return Failure(
        ResultCode.OVERLOADED,
        f'the request waited {request.waited_s:.3f} s in the daemon and its '
        f'deadline was {deadline_ms!r} ms',
        retry_after_s=1,
    )
