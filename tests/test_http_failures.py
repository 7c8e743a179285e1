"""HTTP server, connection and pool when the peer fails."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.client import ClaimResult, Client, ClientOptions
from boragespool.http import (
    ConnectionPool,
    ExchangeFailure,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    open_connection,
)
from boragespool.types import RunState
from tests.faulty_fleet import FaultyFleet
from tests.relay import Relay

LIMITS = HttpLimits(
    connection_count=64,
    read_timeout_s=0.3,
    write_timeout_s=0.3,
    idle_timeout_s=0.5,
)
LARGE_BYTES = 20_000_000
RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n'


async def echo(request: HttpRequest) -> HttpResponse:
    """Return the body after the delay in the path, in milliseconds.

    The path `/large` returns `LARGE_BYTES` at once.
    """
    if request.path == '/large':
        return HttpResponse(200, b'x' * LARGE_BYTES)
    await asyncio.sleep(float(request.path[1:] or 0) / 1_000)
    return HttpResponse(200, request.body)


def with_server(scenario):
    """Run a coroutine function with an HTTP server."""

    async def run():
        async with HttpServer('127.0.0.1:0', LIMITS, echo) as server:
            return await scenario(server)

    return asyncio.run(run())


@asynccontextmanager
async def raw_server(*answers: bytes, close=True):
    """Respond to each received chunk with the next raw bytes, then close."""

    async def serve(reader, writer):
        for raw in answers:
            if not await reader.read(65_536):
                break
            writer.write(raw)
            await writer.drain()
        if close:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield f'{host}:{port}'


EXCHANGES = st.lists(
    st.tuples(
        st.sampled_from([0, 5, 30]),
        st.sampled_from([0.015, 1]),
        st.booleans(),
    ),
    min_size=1,
    max_size=12,
)


@settings(derandomize=True, deadline=None, max_examples=25)
@given(plans=EXCHANGES, seed=st.integers(0, 9))
def test_late_and_cancelled_exchanges_are_not_mixed_up(plans, seed):
    """A reused connection must not return the answer to another request.

    After a timeout or a cancellation the late answer is still on its way on
    the connection.
    """

    async def scenario(server):
        draw = random.Random(seed)

        async def exchange(pool, number, delay_ms, timeout_s, is_cancelled):
            request = HttpRequest('POST', f'/{delay_ms}', b'%d' % number)
            task = asyncio.create_task(
                pool.exchange(server.address, request, timeout_s),
            )
            await asyncio.sleep(draw.random() * 0.01)
            if is_cancelled:
                task.cancel()
            (response,) = await asyncio.gather(task, return_exceptions=True)
            if isinstance(response, HttpResponse):
                assert response.body == request.body
            elif timeout_s == 1 and not is_cancelled:
                raise AssertionError(response)

        async with ConnectionPool(3) as pool:
            await asyncio.gather(
                *(
                    exchange(pool, number, *plan)
                    for number, plan in enumerate(plans)
                ),
            )

    with_server(scenario)


@pytest.mark.parametrize(
    ('raw', 'kind'),
    [
        (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf', 'closed'),
        (b'HTTP/1.1 200', 'closed'),
        (b'nonsense\r\n\r\n', 'malformed'),
        (b'', 'closed'),
    ],
)
def test_truncated_responses_count_as_sent(raw, kind):
    """A failure with a truncated response must count as sent.

    The request may have been run, and must not be sent again as new.
    """

    async def run():
        async with (
            raw_server(raw) as address,
            await open_connection(address, 1) as connection,
        ):
            failure = await connection.exchange(HttpRequest('GET', '/'), 1)
            assert isinstance(failure, ExchangeFailure)
            assert failure.sent
            assert failure.kind == kind
            assert not connection.usable

    asyncio.run(run())


def test_bytes_between_exchanges_end_the_connection():
    """Bytes received between two exchanges must end the connection.

    A second response to the first request would be read as the response to
    the next one.
    """

    async def run():
        async def serve(reader, writer):
            await reader.read(65_536)
            writer.write(RESPONSE_HEAD + b'a1')
            await asyncio.sleep(0.05)
            writer.write(RESPONSE_HEAD + b'a2')
            await reader.read(65_536)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        async with server:
            connection = await open_connection(f'{host}:{port}', 1)
            first = await connection.exchange(HttpRequest('GET', '/'), 1)
            assert first.body == b'a1'
            await asyncio.sleep(0.1)
            second = await connection.exchange(HttpRequest('GET', '/'), 1)
            assert isinstance(second, ExchangeFailure)
            assert not second.sent

    asyncio.run(run())


def test_second_answer_is_not_taken_for_the_next_request():
    """A second response must not be returned for the next request.

    It would shift all later responses on the connection by one.
    """

    async def run():
        two_responses = RESPONSE_HEAD + b'a1' + RESPONSE_HEAD + b'a2'
        async with (
            raw_server(
                two_responses, RESPONSE_HEAD + b'b1', close=False
            ) as address,
            ConnectionPool(1) as pool,
        ):
            first = await pool.exchange(address, HttpRequest('GET', '/a'), 1)
            second = await pool.exchange(address, HttpRequest('GET', '/b'), 1)
            assert first.body == b'a1'
            assert not isinstance(second, HttpResponse) or (
                second.body != b'a2'
            )

    asyncio.run(run())


def test_idle_connection_closed_by_the_server_is_replaced():
    """A connection that the server closed while idle must be replaced.

    A claim sent on it would be lost.
    """

    async def scenario(server):
        async with ConnectionPool(1) as pool:
            for body in (b'1', b'2'):
                response = await pool.exchange(
                    server.address,
                    HttpRequest('POST', '/', body),
                    1,
                )
                assert response.body == body
                await asyncio.sleep(0.8)
            assert server.connection_count == 0

    with_server(scenario)


def test_slow_sender_is_disconnected_and_does_not_delay_others():
    """A caller that sends single bytes must be disconnected.

    It would hold a connection for ever. Others must not be delayed.
    """

    async def scenario(server):
        host, port = server.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))

        async def send_slowly():
            for byte in b'POST / HTTP/1.1\r\nhost: x\r\n' * 9:
                writer.write(bytes([byte]))
                await asyncio.sleep(0.02)

        sending = asyncio.create_task(send_slowly())
        async with ConnectionPool(1) as pool:
            response = await pool.exchange(
                server.address,
                HttpRequest('POST', '/', b'quick'),
                0.2,
            )
            assert response.body == b'quick'
        received = await asyncio.wait_for(reader.read(), 2)
        sending.cancel()
        writer.close()
        assert b' 408 ' in received

    with_server(scenario)


def test_slow_reader_is_disconnected():
    """A caller that does not read its response must be disconnected.

    A graceful stop would wait for it until its timeout.
    """

    async def scenario(server):
        host, port = server.address.split(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET /large HTTP/1.1\r\nhost: x\r\n\r\n')
        await asyncio.sleep(0.1)
        assert server.in_flight == 1
        assert await server.drain(2)
        assert server.in_flight == 0
        writer.close()

    with_server(scenario)


def test_pipelined_requests_are_answered_in_order():
    """Pipelined requests must each get their own response, in order."""

    async def scenario(server):
        host, port = server.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        for body in (b'a1', b'b2'):
            head = b'POST /5 HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n'
            writer.write(head + body)
        received = await asyncio.wait_for(reader.read(), 2)
        writer.close()
        assert 0 < received.index(b'a1') < received.index(b'b2')
        assert received.count(b'HTTP/1.1 200') == 2

    with_server(scenario)


def test_cancelled_exchange_closes_its_connection():
    """A cancelled exchange must close its connection.

    Its late response would be read as the response to the next request.
    """

    async def scenario(server):
        connection = await open_connection(server.address, 1)
        exchange = connection.exchange(HttpRequest('GET', '/50'), 1)
        running = asyncio.create_task(exchange)
        await asyncio.sleep(0.02)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert not connection.usable
        late = await connection.exchange(HttpRequest('GET', '/'), 1)
        assert not late.sent

    with_server(scenario)


def test_pool_limits_exchanges_and_states_that_nothing_was_sent():
    """A request that timed out waiting for a connection must be unsent.

    Counted as sent, it could not be attempted at another server.
    """

    async def scenario(server):
        async with ConnectionPool(1) as pool:
            running = asyncio.create_task(
                pool.exchange(server.address, HttpRequest('GET', '/200'), 1),
            )
            await asyncio.sleep(0.05)
            late = await pool.exchange(
                server.address,
                HttpRequest('GET', '/0'),
                0.05,
            )
            assert not late.sent
            assert (await running).status == 200

    with_server(scenario)


@pytest.mark.parametrize('fault', ['silence', 'cut'])
def test_claim_is_resent_after_its_connection_fails(fault):
    """A claim must be resent with its ticket when its connection fails.

    The connection is reset or loses all data after the claim was sent. With
    a new ticket the claim could run twice.
    """

    async def run():
        async with FaultyFleet(2) as world:
            # The first daemon is reachable only through the relay.
            direct = world.daemons[1].server.address
            async with Relay(world.daemons[0].server.address) as relay:
                world.daemons[0].addresses = lambda *_: (relay.address, direct)
                options = ClientOptions('till', (relay.address,))
                async with Client(options, lambda: 0.0) as client:
                    await client.query('lookup', {}, 1)
                    getattr(relay, fault)()
                    result = await client.claim('unlock', {'name': 'a'}, 1)
                    assert isinstance(result, ClaimResult)
        assert result.run is RunState.RUN
        assert world.runs_by_name == {'a': 1}
        assert len(world.sent_tickets) == 1

    asyncio.run(run())
