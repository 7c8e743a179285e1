"""HTTP requests of a client to daemons.

The response to a query or a claim is accepted only if it carries the id of the
request. A refusal may carry none.
"""

from __future__ import annotations

import asyncio
import uuid
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, Self

import msgspec

from boragespool.http import (
    ConnectionPool,
    ExchangeFailure,
    HttpRequest,
    HttpResponse,
)
from boragespool.http.failures import FailureKind
from boragespool.results import Failure, ResultCode
from boragespool.types import RequestId, RunState

if TYPE_CHECKING:
    from boragespool.client.options import ClientOptions
    from boragespool.types import Address, Seconds

_MS_PER_S: Final = 1_000
_MIN_DEADLINE_MS: Final = 1
_FIRST_ERROR_STATUS: Final = 400


@dataclass(frozen=True, slots=True)
class _Head:
    """Fields that results and refusals have in common."""

    code: int = 0
    reason: str = ''
    run: RunState = RunState.RUN
    retry_after_s: float = 0
    request_id: RequestId = ''


@dataclass(frozen=True, slots=True)
class Reply:
    """Complete response of a daemon.

    Attributes
    ----------
    body : bytes
        JSON document.
    refusal : Failure or None
        Decoded body if the HTTP status is an error, else None.
    """

    body: bytes
    refusal: Failure | None


class Channel:
    """HTTP connections of one client to daemons, an async context manager.

    Parameters
    ----------
    options : ClientOptions
        Name of the caller, timeouts and limits.

    Attributes
    ----------
    in_flight_by_address : Counter of str
        Requests without a response yet.
    failures_after_send_by_kind : Counter of FailureKind
        Requests that failed after a byte was sent.
    """

    def __init__(self, options: ClientOptions) -> None:
        """Set up an empty connection pool."""
        self.in_flight_by_address: Counter[Address] = Counter()
        self.failures_after_send_by_kind: Counter[FailureKind] = Counter()
        self._options = options
        self._client_id = uuid.uuid4().hex
        self._request_count = 0
        self._pool = ConnectionPool(
            options.connection_count,
            options.connect_timeout_s,
        )

    async def __aenter__(self) -> Self:
        """Return the channel."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the idle connections."""
        await self._pool.__aexit__(*exc_info)

    async def get(
        self,
        address: Address,
        target: str,
        timeout_s: Seconds,
    ) -> Reply | ExchangeFailure:
        """Send a GET request.

        Parameters
        ----------
        address : str
            ``ip:port`` of the daemon.
        target : str
            Path with query string.
        timeout_s : float
            Longest time for the request, in seconds.
        """
        request = HttpRequest('GET', target)
        return await self._exchange(address, request, '', timeout_s)

    async def post(
        self,
        address: Address,
        target: str,
        fields: dict[str, Any],
        timeout_s: Seconds,
    ) -> Reply | ExchangeFailure:
        """Send a query or a claim with a new request id.

        Parameters
        ----------
        address : str
            ``ip:port`` of the daemon.
        target : str
            Path.
        fields : dict
            Body; ``caller``, ``request_id`` and ``deadline_ms`` are added.
        timeout_s : float
            Longest time for the request, in seconds.

        Returns
        -------
        Reply or ExchangeFailure
            A response that is not valid or carries the id of another request
            is a ``MALFORMED`` failure.
        """
        self._request_count += 1
        request_id = f'{self._client_id}.{self._request_count}'
        left_s = timeout_s - self._options.network_margin_s
        body = fields | {
            'caller': self._options.caller,
            'request_id': request_id,
            'deadline_ms': max(_MIN_DEADLINE_MS, left_s * _MS_PER_S),
        }
        request = HttpRequest('POST', target, msgspec.json.encode(body))
        return await self._exchange(address, request, request_id, timeout_s)

    async def _exchange(
        self,
        address: Address,
        request: HttpRequest,
        request_id: RequestId,
        timeout_s: Seconds,
    ) -> Reply | ExchangeFailure:
        self.in_flight_by_address[address] += 1
        try:
            response = await self._pool.exchange(address, request, timeout_s)
        finally:
            self.in_flight_by_address[address] -= 1
        if isinstance(response, ExchangeFailure):
            if response.sent:
                self.failures_after_send_by_kind[response.kind] += 1
            return response
        reply = _decode_response(response, request_id)
        if isinstance(reply, ExchangeFailure):
            # Responses may be out of step on other connections too.
            self._pool.close_idle(address)
        return reply


def time_left_s(deadline_s: Seconds) -> Seconds:
    """Return the time left until a time of the event loop's clock."""
    return deadline_s - asyncio.get_running_loop().time()


def _decode_response(
    response: HttpResponse,
    request_id: RequestId,
) -> Reply | ExchangeFailure:
    try:
        head = msgspec.json.decode(response.body, type=_Head)
    except msgspec.MsgspecError as error:
        return _malformed_failure(f'the response is not valid: {error}')
    is_refusal = response.status >= _FIRST_ERROR_STATUS
    # A daemon that could not decode the request refuses it without its id.
    if head.request_id != request_id and (head.request_id or not is_refusal):
        if request_id:
            return _malformed_failure('the response belongs to another request')
    if not is_refusal:
        return Reply(response.body, None)
    is_known_code = head.code in set(ResultCode)
    failure = Failure(
        ResultCode(head.code) if is_known_code else ResultCode.INTERNAL_ERROR,
        head.reason,
        head.run,
        head.retry_after_s,
    )
    return Reply(response.body, failure)


def _malformed_failure(reason: str) -> ExchangeFailure:
    return ExchangeFailure(FailureKind.MALFORMED, sent=True, reason=reason)
