"""HTTP listener and client connection."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest

from boragespool.http import (
    ExchangeFailure,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    open_connection,
)
from boragespool.results import ResultCode

LIMITS = HttpLimits(
    header_size_bytes=2_000,
    body_size_bytes=1_000,
    connection_count=3,
    read_timeout_s=0.3,
    idle_timeout_s=5,
)


async def echo(request: HttpRequest) -> HttpResponse:
    """Answer with the request's body; some paths misbehave."""
    if request.path == '/raise':
        raise ValueError('unexpected')
    if request.path == '/slow':
        await asyncio.sleep(0.3)
    return HttpResponse(200, request.body)


@asynccontextmanager
async def listening():
    """Run the echo server."""
    async with HttpServer('127.0.0.1:0', LIMITS, echo) as server:
        yield server


async def send_raw(address: str, raw: bytes) -> bytes:
    """Send bytes and read until the server closes."""
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw)
    received = await asyncio.wait_for(reader.read(), 3)
    writer.close()
    return received


MALFORMED = {
    b'nonsense\r\n\r\n': ResultCode.MALFORMED_HTTP,
    b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n': (
        ResultCode.AMBIGUOUS_LENGTH
    ),
    b'GET / HTTP/1.1\r\nHost: x\r\nA: ' + b'a' * 3_000: (
        ResultCode.HEADERS_TOO_LARGE
    ),
    b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n': (
        ResultCode.BODY_TOO_LARGE
    ),
    b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab': (
        ResultCode.REQUEST_TIMEOUT
    ),
}


@pytest.mark.parametrize('raw', MALFORMED)
def test_bad_input_gets_a_code(raw):
    """Bad input must not hang the connection or show a traceback."""

    async def run() -> None:
        async with listening() as server:
            received = await send_raw(server.address, raw)
        body = msgspec.json.decode(received.split(b'\r\n\r\n', 1)[1])
        assert body['code'] == MALFORMED[raw]
        assert body['run'] == 'not_run'

    asyncio.run(run())


def test_refusal_reaches_a_sender_that_goes_on():
    """A reset of the connection must not destroy the refusal."""

    async def run() -> None:
        async with listening() as server:
            host, port = server.address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'nonsense\r\n\r\n')
            for _ in range(10):
                writer.write(b'x' * 100)
                await asyncio.sleep(0.01)
            received = await asyncio.wait_for(reader.read(), 3)
            writer.close()
        assert b' 400 ' in received

    asyncio.run(run())


def test_handler_exception_is_hidden():
    """A fault inside must not leak its traceback or promise `not_run`."""

    async def run() -> None:
        async with listening() as server:
            async with await open_connection(server.address, 1) as connection:
                response = await connection.exchange(
                    HttpRequest('GET', '/raise'),
                    1,
                )
        assert response.status == 500
        assert b'ValueError' not in response.body
        assert msgspec.json.decode(response.body)['run'] == 'unknown'

    asyncio.run(run())


def test_drain_finishes_requests_in_flight():
    """A graceful stop must not cut a request that has arrived."""

    async def run() -> None:
        async with listening() as server:
            connection = await open_connection(server.address, 1)
            idle = await open_connection(server.address, 1)
            running = asyncio.create_task(
                connection.exchange(HttpRequest('GET', '/slow'), 2),
            )
            await asyncio.sleep(0.1)
            assert await server.drain(2)
            assert (await running).status == 200
            late = await idle.exchange(HttpRequest('GET', '/'), 1)
            assert isinstance(late, ExchangeFailure)
            refused = await open_connection(server.address, 1)
            assert not refused.sent

    asyncio.run(run())


def test_failure_tells_whether_a_byte_was_sent():
    """A claim may be attempted again only if no byte was sent."""

    async def run() -> None:
        async with listening() as server:
            connection = await open_connection(server.address, 1)
            timed_out = await connection.exchange(
                HttpRequest('GET', '/slow'),
                0.05,
            )
            assert timed_out.sent
            assert not connection.usable
            unsent = await connection.exchange(HttpRequest('GET', '/'), 1)
            assert not unsent.sent

    asyncio.run(run())


def test_connection_count_is_bounded():
    """Callers must not exhaust the daemon's file descriptors."""

    async def run() -> None:
        async with listening() as server:
            held = [await open_connection(server.address, 1) for _ in '123']
            assert held
            received = await send_raw(server.address, b'')
        assert str(int(ResultCode.TOO_MANY_CONNECTIONS)).encode() in received

    asyncio.run(run())


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (b'', 'closed'),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab', 'closed'),
        (b'nonsense\r\n\r\n', 'malformed'),
    ],
)
def test_close_before_the_response_is_told_from_noise(answer, kind):
    """A lost server must not look like one that writes bad HTTP."""

    async def reply(reader, writer):
        await reader.read(1_000)
        writer.write(answer)
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(reply, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        async with server, await open_connection(f'{host}:{port}', 1) as client:
            failure = await client.exchange(HttpRequest('GET', '/'), 1)
        assert failure.kind == kind
        assert failure.sent

    asyncio.run(run())
