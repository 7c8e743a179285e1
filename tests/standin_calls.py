"""Calls of tests to the stand-ins and to the caller API."""

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
    """Exchange once on a new connection; bytes are sent as they are."""
    connection = await open_connection(address, 1)
    if isinstance(connection, ExchangeFailure):
        return connection
    async with connection:
        response = await connection.exchange(
            HttpRequest(method, target, encoded(body)),
            timeout_s,
        )
    return decoded(response)


def encoded(body: Any) -> bytes:
    """Encode a body as JSON, unless it is absent or bytes."""
    if body is None or isinstance(body, bytes):
        return body or b''
    return msgspec.json.encode(body)


def decoded(
    response: HttpResponse | ExchangeFailure,
) -> tuple[int, Any] | ExchangeFailure:
    """Return status and JSON value of a response."""
    if isinstance(response, ExchangeFailure):
        return response
    return response.status, msgspec.json.decode(response.body)


def work(**fields: Any) -> dict[str, Any]:
    """Return the body of a query over the whole key space."""
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
