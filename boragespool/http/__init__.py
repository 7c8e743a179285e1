"""HTTP/1.1 server and client, based on h11 and asyncio."""

from __future__ import annotations

from boragespool.http.client import HttpConnection, open_connection
from boragespool.http.failures import ExchangeFailure, FailureKind
from boragespool.http.limits import HttpLimits
from boragespool.http.messages import (
    HttpRequest,
    HttpResponse,
    failure_response,
    json_response,
)
from boragespool.http.pool import ConnectionPool
from boragespool.http.response_buffers import ResponseBuffers, ResponseLimits
from boragespool.http.server import HttpServer

__all__ = (
    'ConnectionPool',
    'ExchangeFailure',
    'FailureKind',
    'HttpConnection',
    'HttpLimits',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'ResponseBuffers',
    'ResponseLimits',
    'failure_response',
    'json_response',
    'open_connection',
)
