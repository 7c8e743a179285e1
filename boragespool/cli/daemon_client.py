"""HTTP requests of the command line to daemons."""

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
    """JSON response of a daemon.

    Attributes
    ----------
    address : str
        ``ip:port`` of the daemon.
    status : int
        HTTP status.
    body : Any
        Decoded JSON.
    """

    address: Address
    status: int
    body: Any


async def request_daemon(
    address: Address,
    target: str,
    timeout_s: Seconds,
    json_body: Any = None,
) -> Reply | Failure:
    """Send one request to a daemon and return its response.

    Parameters
    ----------
    address : str
        ``ip:port`` of the daemon.
    target : str
        Path with query string.
    timeout_s : float
        Longest time for connecting, and again for the exchange, in seconds.
    json_body : Any, optional
        Body of a POST request; without it a GET request is sent.

    Returns
    -------
    Reply or Failure
        ``PEER_UNREACHABLE``, with run state ``UNKNOWN`` if bytes were sent.
    """
    connection = await open_connection(address, timeout_s)
    if isinstance(connection, ExchangeFailure):
        return _unreachable_failure(address, connection)
    async with connection:
        response = await connection.exchange(
            _build_request(target, json_body),
            timeout_s,
        )
    if isinstance(response, ExchangeFailure):
        return _unreachable_failure(address, response)
    try:
        body = msgspec.json.decode(response.body)
    except msgspec.DecodeError as error:
        return Failure(
            ResultCode.PEER_UNREACHABLE,
            f'{address!r} did not respond to {target!r} with JSON: {error}',
            RunState.UNKNOWN,
        )
    return Reply(address, response.status, body)


async def request_first_available(
    addresses: tuple[Address, ...],
    target: str,
    timeout_s: Seconds,
    json_body: Any = None,
) -> Reply | Failure:
    """Send an idempotent request to daemons in order until one responds.

    Returns
    -------
    Reply or Failure
        The failure has run state ``UNKNOWN`` if any daemon may have received
        the request.
    """
    failure = Failure(
        ResultCode.PEER_UNREACHABLE,
        'no daemon is given; --entry takes one or more ip:port',
    )
    for address in addresses:
        reply = await request_daemon(address, target, timeout_s, json_body)
        if isinstance(reply, Reply):
            return reply
        if failure.run is not RunState.UNKNOWN:
            failure = reply
    return failure


def _build_request(target: str, json_body: Any) -> HttpRequest:
    if json_body is None:
        return HttpRequest('GET', target)
    encoded = msgspec.json.encode(json_body)
    return HttpRequest('POST', target, encoded, _JSON_HEADERS)


def _unreachable_failure(address: Address, failure: ExchangeFailure) -> Failure:
    run = RunState.UNKNOWN if failure.sent else RunState.NOT_RUN
    return Failure(
        ResultCode.PEER_UNREACHABLE,
        f'daemon {address!r} did not answer: {failure.reason}',
        run,
    )
