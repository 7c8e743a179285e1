"""One exchange with one daemon, checked against crossed answers."""

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
from boragespool.http.client import FailureKind
from boragespool.results import Failure, ResultCode
from boragespool.types import RequestId, RunState

if TYPE_CHECKING:
    from boragespool.client.options import ClientOptions
    from boragespool.types import Address, Seconds

_MS_PER_S: Final = 1_000
_SHORTEST_DEADLINE_MS: Final = 1
_FIRST_ERROR_STATUS: Final = 400


@dataclass(frozen=True, slots=True)
class _Head:
    """Fields that a refusal and an answer share."""

    code: int = 0
    reason: str = ''
    run: RunState = RunState.RUN
    retry_after_s: float = 0
    request_id: RequestId = ''


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer of a daemon; `body` is its JSON.

    Attributes
    ----------
    refusal : Failure or None
        The refusal if it is one.
    """

    body: bytes
    refusal: Failure | None


class Channel:
    """Connections of one client, an async context manager.

    Attributes
    ----------
    in_flight_by_address : Counter of str
        Requests that wait for an answer.
    failures_after_send_by_kind : Counter of FailureKind
        Exchanges that failed after a byte was sent.
    """

    def __init__(self, options: ClientOptions) -> None:
        """Start without connections."""
        self.in_flight_by_address: Counter[Address] = Counter()
        self.failures_after_send_by_kind: Counter[FailureKind] = Counter()
        self._options = options
        self._name = uuid.uuid4().hex
        self._sent_count = 0
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
        """Send a request without a body."""
        request = HttpRequest('GET', target)
        return await self._exchange(address, request, '', timeout_s)

    async def post(
        self,
        address: Address,
        target: str,
        fields: dict[str, Any],
        timeout_s: Seconds,
    ) -> Reply | ExchangeFailure:
        """Send a query or a claim under a request id of its own.

        Parameters
        ----------
        address : str
            ``ip:port`` of the daemon.
        target : str
            Path.
        fields : dict
            Body; ``caller``, ``request_id`` and ``deadline_ms`` are added.
        timeout_s : float
            Longest time for the exchange, in seconds.

        Returns
        -------
        Reply or ExchangeFailure
            The answer to another request is a ``MALFORMED`` failure.
        """
        self._sent_count += 1
        request_id = f'{self._name}.{self._sent_count}'
        left_s = timeout_s - self._options.network_margin_s
        body = fields | {
            'caller': self._options.caller,
            'request_id': request_id,
            'deadline_ms': max(_SHORTEST_DEADLINE_MS, left_s * _MS_PER_S),
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
        reply = _decode(response, request_id)
        if isinstance(reply, ExchangeFailure):
            # Bytes on these connections can no longer be trusted.
            self._pool.close_idle(address)
        return reply


def time_left_s(deadline_s: Seconds) -> Seconds:
    """Return the time until a deadline on the clock of the event loop."""
    return deadline_s - asyncio.get_running_loop().time()


def _decode(
    response: HttpResponse,
    request_id: RequestId,
) -> Reply | ExchangeFailure:
    try:
        head = msgspec.json.decode(response.body, type=_Head)
    except msgspec.MsgspecError as error:
        return _malformed(f'the answer is not valid: {error}')
    is_refusal = response.status >= _FIRST_ERROR_STATUS
    # Refusals of input that was not decoded carry no request id.
    if head.request_id != request_id and (head.request_id or not is_refusal):
        if request_id:
            return _malformed('the answer belongs to another request')
    if not is_refusal:
        return Reply(response.body, None)
    is_known = head.code in set(ResultCode)
    failure = Failure(
        ResultCode(head.code) if is_known else ResultCode.INTERNAL_ERROR,
        head.reason,
        head.run,
        head.retry_after_s,
    )
    return Reply(response.body, failure)


def _malformed(reason: str) -> ExchangeFailure:
    return ExchangeFailure(FailureKind.MALFORMED, sent=True, reason=reason)
