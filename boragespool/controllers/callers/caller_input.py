"""Checks of the path, parameters and body of requests of callers."""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import msgspec

from boragespool.controllers.callers.strict_json import decode_object
from boragespool.results import Failure, ResultCode
from boragespool.types import (
    CallerName,
    Rank,
    RequestId,
    RouteName,
    Seconds,
    WorkKind,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.http import HttpRequest
    from boragespool.settings import RouteSettings, Settings

CLAIM_PREFIX: Final = '/v1/claim/'
#: Maximum length in characters of caller names and request IDs, and of values
#: that are quoted in an error message.
MAX_NAME_LENGTH: Final = 128
#: Maximum length of a path that is quoted in an error message, in characters.
_MAX_SHOWN_LENGTH: Final = 64
#: Maximum length of a ticket, in characters.
MAX_TICKET_LENGTH: Final = 512
_MS_PER_S: Final = 1_000
_RANKS: Final = tuple(Rank)
_METHODS_BY_PATH: Final = MappingProxyType(
    {
        '/v1/addresses': 'GET',
        '/v1/query': 'POST',
        '/v1/claim': 'POST',
        CLAIM_PREFIX: 'GET',
        '/v1/health': 'GET',
        '/v1/ready': 'GET',
        '/v1/status': 'GET',
        '/metrics': 'GET',
    },
)
_ALLOWED_FIELDS: Final = frozenset(
    ('route', 'caller', 'body', 'deadline_ms', 'rank', 'request_id', 'ticket'),
)

NO_CONFIGURATION: Final = Failure(
    ResultCode.NOT_READY,
    'the daemon has no configuration yet',
    retry_after_s=1,
)


@dataclass(frozen=True, slots=True)
class CallerBody:
    """Body of ``POST /v1/query`` and ``POST /v1/claim``; see docs/api.md."""

    route: RouteName
    caller: CallerName
    body: msgspec.Raw
    deadline_ms: float | None = None
    rank: str | None = None
    request_id: RequestId = ''
    ticket: str = ''


@dataclass(frozen=True, slots=True)
class CheckedBody:
    """A body that is valid under the settings in force.

    Attributes
    ----------
    given : CallerBody
        Body as the caller sent it.
    rank : Rank
        Rank of the request, never above the rank of its route.
    lowered : Rank or None
        `rank` if the caller asked for a lower one than that of the route,
        else None.
    deadline_s : float
        Time left for the answer, in seconds.
    """

    given: CallerBody
    rank: Rank
    lowered: Rank | None
    deadline_s: Seconds


def check_body(
    raw: bytes,
    form: WorkKind,
    settings: Settings,
) -> CheckedBody | Failure:
    """Decode a query or a claim and check it against the settings.

    Parameters
    ----------
    raw : bytes
        Body of the HTTP request.
    form : WorkKind
        Kind of request that the path accepts.
    settings : Settings
        Settings in force.

    Returns
    -------
    CheckedBody or Failure
        A failure names the field, its value and what is allowed.
    """
    given = _decode(raw)
    if isinstance(given, Failure):
        return given
    route = _find_route(given.route, form, settings.routes)
    if isinstance(route, Failure):
        return route
    rank = _effective_rank(given.rank, route.rank)
    if isinstance(rank, Failure):
        return rank
    deadline_s = _deadline_s(given.deadline_ms, route)
    if isinstance(deadline_s, Failure):
        return deadline_s
    failure = check_ticket(given.ticket) if form is WorkKind.CLAIM else None
    if failure is not None:
        return failure
    lowered = None if rank is route.rank else rank
    return CheckedBody(given, rank, lowered, deadline_s)


def check_method(path: str, request: HttpRequest) -> Failure | None:
    """Return a failure unless the API has this path with the request's method.

    All paths of outcomes are passed as `CLAIM_PREFIX`.
    """
    method = _METHODS_BY_PATH.get(path)
    if method is None:
        shown = path[:_MAX_SHOWN_LENGTH]
        allowed = sorted(_METHODS_BY_PATH)
        return Failure(
            ResultCode.UNKNOWN_PATH,
            f'path {shown!r} does not exist; allowed are {allowed!r}',
        )
    if method != request.method:
        return Failure(
            ResultCode.WRONG_METHOD,
            f'method {request.method!r} is not allowed at {path!r}; '
            f'allowed is {method!r}',
        )
    return None


def check_ticket(ticket: str) -> Failure | None:
    """Return a failure unless the ticket has a form that a daemon can issue.

    It has 1 to `MAX_TICKET_LENGTH` printable ASCII characters, and no spaces.
    """
    is_plain = ticket.isascii() and ticket.isprintable() and ' ' not in ticket
    if ticket and is_plain and len(ticket) <= MAX_TICKET_LENGTH:
        return None
    shown = ticket[:MAX_NAME_LENGTH]
    return Failure(
        ResultCode.BAD_TICKET,
        f'ticket {shown!r} is not one that GET /v1/addresses issues',
    )


def check_parameter(
    name: str,
    text: str | None,
    default: int,
    highest: int,
) -> int | Failure:
    """Parse a parameter of the query string as a whole number.

    Parameters
    ----------
    name : str
        Name of the parameter, for the error message.
    text : str or None
        Value as sent; None if the parameter is missing.
    default : int
        Number to return if the parameter is missing.
    highest : int
        Highest number that is allowed.

    Returns
    -------
    int or Failure
        ``MALFORMED_PARAMETER`` unless it is between 0 and `highest`.
    """
    if text is None:
        return default
    # The limit of the length avoids calling int() with thousands of digits.
    is_number = (
        text.isascii() and text.isdigit() and len(text) < MAX_NAME_LENGTH
    )
    if is_number and int(text) <= highest:
        return int(text)
    shown = text[:MAX_NAME_LENGTH]
    return Failure(
        ResultCode.MALFORMED_PARAMETER,
        f'parameter {name!r} is {shown!r}; allowed are whole numbers from 0 '
        f'to {highest}',
    )


def _decode(raw: bytes) -> CallerBody | Failure:
    members = decode_object(raw)
    if isinstance(members, Failure):
        return members
    unknown = sorted(members.keys() - _ALLOWED_FIELDS)
    if unknown:
        shown = unknown[0][:MAX_NAME_LENGTH]
        allowed = sorted(_ALLOWED_FIELDS)
        return _malformed(f'unknown field {shown!r}; allowed are {allowed!r}')
    try:
        given = msgspec.json.decode(raw, type=CallerBody)
    except msgspec.ValidationError as error:
        return _malformed(f'a field is missing or has a wrong type: {error}')
    if not 0 < len(given.caller) <= MAX_NAME_LENGTH:
        return _malformed(
            f'field caller must have 1 to {MAX_NAME_LENGTH} characters',
        )
    if len(given.request_id) > MAX_NAME_LENGTH:
        return _malformed(
            f'field request_id must have at most {MAX_NAME_LENGTH} characters',
        )
    return given


def _find_route(
    name: RouteName,
    form: WorkKind,
    routes: Mapping[RouteName, RouteSettings],
) -> RouteSettings | Failure:
    route = routes.get(name)
    if route is None:
        shown = name[:MAX_NAME_LENGTH]
        allowed = sorted(routes)
        return Failure(
            ResultCode.UNKNOWN_ROUTE,
            f'route {shown!r} does not exist; allowed are {allowed!r}',
        )
    if route.form is not form:
        return Failure(
            ResultCode.WRONG_FORM,
            f'route {name!r} takes a {route.form}; send it to /v1/{route.form}',
        )
    return route


def _effective_rank(text: str | None, highest: Rank) -> Rank | Failure:
    if text is None:
        return highest
    if text not in _RANKS:
        shown = text[:MAX_NAME_LENGTH]
        allowed = [rank.value for rank in _RANKS]
        return Failure(
            ResultCode.UNKNOWN_RANK,
            f'rank {shown!r} does not exist; allowed are {allowed!r}',
        )
    return max(Rank(text), highest, key=_RANKS.index)


def _deadline_s(
    deadline_ms: float | None,
    route: RouteSettings,
) -> Seconds | Failure:
    if deadline_ms is None:
        return route.deadline_ms / _MS_PER_S
    if deadline_ms <= 0:
        return Failure(
            ResultCode.DEADLINE_PASSED,
            f'deadline_ms is {deadline_ms!r}; it is the time left in '
            f'milliseconds, above 0 and at most {route.deadline_ms!r}',
        )
    return min(deadline_ms, route.deadline_ms) / _MS_PER_S


def _malformed(reason: str) -> Failure:
    return Failure(ResultCode.MALFORMED_BODY, reason)
