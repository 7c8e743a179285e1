"""HTTP calls to the stand-ins and to the caller API."""

from __future__ import annotations

from typing import Any

import msgspec

from boragespool.http import (
    ExchangeFailure,
    HttpRequest,
    HttpResponse,
    open_connection,
)


async def call(
    address: str,
    method: str,
    target: str,
    body: Any = None,
    timeout_s: float = 2,
) -> tuple[int, Any] | ExchangeFailure:
    """Send one request on a new connection; return status and JSON body.

    A body that is not bytes is sent as JSON.
    """
    connection = await open_connection(address, 1)
    if isinstance(connection, ExchangeFailure):
        return connection
    async with connection:
        response = await connection.exchange(
            HttpRequest(method, target, encode_body(body)),
            timeout_s,
        )
    return decode_response(response)


def encode_body(body: Any) -> bytes:
    """Encode a body as JSON, unless it is None or bytes."""
    if body is None or isinstance(body, bytes):
        return body or b''
    return msgspec.json.encode(body)


def decode_response(
    response: HttpResponse | ExchangeFailure,
) -> tuple[int, Any] | ExchangeFailure:
    """Return the status and the JSON body of a response, or its failure."""
    if isinstance(response, ExchangeFailure):
        return response
    return response.status, msgspec.json.decode(response.body)


def work_body(**fields: Any) -> dict[str, Any]:
    """Return the body of a work request, by default a query of all keys."""
    return {
        'attempt_id': 'a1',
        'request_id': 'r1',
        'kind': 'query',
        'version': 1,
        'start': 0,
        'end': 2**32,
        'body': {},
        'rank': 'routine',
        'deadline_s': 2,
    } | fields
