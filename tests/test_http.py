"""HTTP server and client connection: limits, drain and failures."""

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
    """Return the body of the request; `/raise` fails, `/slow` takes 0.3 s."""
    if request.path == '/raise':
        raise ValueError('unexpected')
    if request.path == '/slow':
        await asyncio.sleep(0.3)
    return HttpResponse(200, request.body)


@asynccontextmanager
async def run_echo_server():
    """Run an HTTP server with `echo` as its handler."""
    async with HttpServer('127.0.0.1:0', LIMITS, echo) as server:
        yield server


async def send_raw(address: str, raw: bytes) -> bytes:
    """Send bytes; return all that the server sends until it closes."""
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
    b'GET / HTTP/1.1\r\nHost: x\r\nA: ' + b'a' * 3_000 + b'\r\n\r\n': (
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
    """Malformed or too large requests must get their code as `not_run`.

    Without an answer the caller waits for its timeout, and cannot know
    whether the request was run.
    """

    async def run() -> None:
        async with run_echo_server() as server:
            received = await send_raw(server.address, raw)
        body = msgspec.json.decode(received.split(b'\r\n\r\n', 1)[1])
        assert body['code'] == MALFORMED[raw]
        assert body['run'] == 'not_run'

    asyncio.run(run())


def test_refusal_reaches_a_caller_that_keeps_sending():
    """A refusal must arrive though the caller is still sending.

    If the server closes while bytes are unread, TCP resets the connection
    and the caller loses the response.
    """

    async def run() -> None:
        async with run_echo_server() as server:
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


def test_handler_exception_is_not_exposed():
    """An exception in the handler must not be sent to the caller.

    The response must not state `not_run` either, as the request may have
    been run in part.
    """

    async def run() -> None:
        async with run_echo_server() as server:
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
    """A graceful stop must answer the requests that have arrived."""

    async def run() -> None:
        async with run_echo_server() as server:
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


def test_failure_states_whether_a_byte_was_sent():
    """A failure must state whether a byte of the request was sent.

    Only if none was may a claim be attempted again.
    """

    async def run() -> None:
        async with run_echo_server() as server:
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
    """Connections beyond the limit must be refused while all have requests.

    Otherwise callers exhaust the file descriptors of the daemon. A
    connection with a request must never give way to another one.
    """

    async def run() -> None:
        async with run_echo_server() as server:
            connections = [
                await open_connection(server.address, 1) for _ in '123'
            ]
            running = [
                asyncio.create_task(
                    connection.exchange(HttpRequest('GET', '/slow'), 2)
                )
                for connection in connections
            ]
            await asyncio.sleep(0.1)
            received = await send_raw(server.address, b'')
            answers = await asyncio.gather(*running)
        assert str(int(ResultCode.TOO_MANY_CONNECTIONS)).encode() in received
        assert [answer.status for answer in answers] == [200] * 3

    asyncio.run(run())


def test_longest_idle_connection_gives_way():
    """A new caller must be served though idle connections use up the limit.

    Callers keep connections for many requests; if all of them are kept, new
    callers get no service at all.
    """

    async def run() -> None:
        async with run_echo_server() as server:
            idle = [await open_connection(server.address, 1) for _ in '123']
            for connection in (idle[1], idle[0], idle[2]):
                await connection.exchange(HttpRequest('GET', '/'), 1)
            async with await open_connection(server.address, 1) as newcomer:
                answer = await newcomer.exchange(HttpRequest('GET', '/'), 1)
                assert answer.status == 200
            assert [connection.usable for connection in idle] == [
                True,
                False,
                True,
            ]
            for connection in (idle[0], idle[2]):
                answer = await connection.exchange(HttpRequest('GET', '/'), 1)
                assert answer.status == 200

    asyncio.run(run())


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (b'', 'closed'),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab', 'closed'),
        (b'nonsense\r\n\r\n', 'malformed'),
    ],
)
def test_closed_and_malformed_responses_are_distinguished(answer, kind):
    """A closed connection must be distinguished from malformed HTTP.

    A server that was lost would be reported as one with a protocol error.
    """

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
