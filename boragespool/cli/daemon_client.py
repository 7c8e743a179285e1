"""HTTP calls to daemons."""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

import msgspec

from boragespool.http import ExchangeFailure, HttpRequest, open_connection
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from boragespool.types import Address, Seconds

_JSON_HEADERS: Final = MappingProxyType(
    {'content-type': 'application/json'},
)


@dataclass(frozen=True, slots=True)
class Reply:
    """A JSON answer of a daemon.

    Attributes
    ----------
    body : Any
        Decoded JSON.
    """

    entry: Address
    status: int
    body: Any


async def call_entry(
    entry: Address,
    target: str,
    timeout_s: Seconds,
    content: Any = None,
) -> Reply | Failure:
    """Exchange one request with a daemon.

    Parameters
    ----------
    entry : str
        ``ip:port`` of the daemon.
    target : str
        Path with query string.
    timeout_s : float
        Longest time for connecting and for the exchange, in seconds.
    content : Any, optional
        JSON body of a POST; a GET is sent without it.

    Returns
    -------
    Reply or Failure
        ``PEER_UNREACHABLE``, with run state ``UNKNOWN`` if bytes were sent.
    """
    connection = await open_connection(entry, timeout_s)
    if isinstance(connection, ExchangeFailure):
        return _unreachable(entry, connection)
    async with connection:
        response = await connection.exchange(
            _request(target, content),
            timeout_s,
        )
    if isinstance(response, ExchangeFailure):
        return _unreachable(entry, response)
    try:
        body = msgspec.json.decode(response.body)
    except msgspec.DecodeError as error:
        return Failure(
            ResultCode.PEER_UNREACHABLE,
            f'{entry!r} answered {target!r} without JSON: {error}',
            RunState.UNKNOWN,
        )
    return Reply(entry, response.status, body)


async def call_first(
    entries: tuple[Address, ...],
    target: str,
    timeout_s: Seconds,
    content: Any = None,
) -> Reply | Failure:
    """Ask entries in order until one answers; for idempotent requests.

    Returns
    -------
    Reply or Failure
        The failure has run state ``UNKNOWN`` if any entry may have got the
        request.
    """
    failure = Failure(
        ResultCode.PEER_UNREACHABLE,
        'no daemon is named; --entry takes one or more ip:port',
    )
    for entry in entries:
        reply = await call_entry(entry, target, timeout_s, content)
        if isinstance(reply, Reply):
            return reply
        if failure.run is not RunState.UNKNOWN:
            failure = reply
    return failure


def _request(target: str, content: Any) -> HttpRequest:
    if content is None:
        return HttpRequest('GET', target)
    encoded = msgspec.json.encode(content)
    return HttpRequest('POST', target, encoded, _JSON_HEADERS)


def _unreachable(entry: Address, failure: ExchangeFailure) -> Failure:
    run = RunState.UNKNOWN if failure.sent else RunState.NOT_RUN
    return Failure(
        ResultCode.PEER_UNREACHABLE,
        f'daemon {entry!r} did not answer: {failure.reason}',
        run,
    )
