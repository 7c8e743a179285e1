"""Peers whose bytes take much processor time for the little they carry."""

from __future__ import annotations

import asyncio
from unittest import mock

import h11
import pytest

from boragespool.http import (
    ExchangeFailure,
    FailureKind,
    HttpConnection,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    ResponseBuffers,
)

#: 5 ms of processor time at 20 us for each event.
MAX_EVENTS_PER_TURN = 250
RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
REQUEST_HEAD = (
    b'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
)
LAST_CHUNK = b'0\r\n\r\n'


def chunks(size_bytes, count):
    """Return encoded chunks of one size."""
    return (b'%x\r\n' % size_bytes + b'x' * size_bytes + b'\r\n') * count


class EventCounter:
    """Counts the events that h11 parses in each turn of the event loop."""

    def __init__(self):
        self.counts = [0]
        self.next_event = h11.Connection.next_event

    def patch(self):
        """Return a context manager that counts."""
        counter = self

        def next_event(protocol):
            counter.counts[-1] += 1
            return counter.next_event(protocol)

        return mock.patch.object(h11.Connection, 'next_event', next_event)

    async def count_turns(self):
        """Start a new count in each turn."""
        while True:
            await asyncio.sleep(0)
            self.counts.append(0)


class FakeTransport:
    """Transport of a client connection that records its state."""

    def __init__(self):
        self.is_aborted = self.is_paused = False

    def write(self, data):
        """Discard what the connection sends."""

    def abort(self):
        """Record that the connection was aborted."""
        self.is_aborted = True

    def pause_reading(self):
        """Record that no bytes are to be delivered."""
        self.is_paused = True

    def resume_reading(self):
        """Record that bytes may be delivered again."""
        self.is_paused = False


async def receive(received, counter, *, ends=False):
    """Deliver a response in reads of 256 kB; return transport and result."""
    transport = FakeTransport()
    connection = HttpConnection('127.0.0.1:1', ResponseBuffers())
    connection.connection_made(transport)
    result = connection.start_exchange(HttpRequest('GET', '/x'), 5)
    turns = asyncio.ensure_future(counter.count_turns())
    with counter.patch():
        for start in range(0, len(received), 262_144):
            while transport.is_paused:
                await asyncio.sleep(0)
            if result.done():
                break
            connection.data_received(received[start : start + 262_144])
        while transport.is_paused:
            await asyncio.sleep(0)
        if ends and not result.done():
            connection.eof_received()
        async with asyncio.timeout(5):
            response = await result
    turns.cancel()
    return transport, connection, response


def test_response_of_tiny_chunks_fails_early():
    """Endless chunks of one byte must fail after a few of them.

    Each chunk takes as much processor time as a large one; thousands of them
    delay all other callers, and each attempt begins anew.
    """

    async def scenario():
        counter = EventCounter()
        received = RESPONSE_HEAD + chunks(1, 40_000)
        transport, _, response = await receive(received, counter)
        assert isinstance(response, ExchangeFailure)
        assert response.kind is FailureKind.TOO_LARGE
        assert transport.is_aborted
        assert sum(counter.counts) <= MAX_EVENTS_PER_TURN
        assert max(counter.counts) <= MAX_EVENTS_PER_TURN

    asyncio.run(scenario())


@pytest.mark.parametrize('framing', ['chunked', 'until-close'])
def test_response_of_small_chunks_is_parsed_in_turns(framing):
    """A body in small chunks must be complete and let others run meanwhile.

    Parsed in one go it takes the event loop for a tenth of a second.
    """

    async def scenario():
        counter = EventCounter()
        received = RESPONSE_HEAD + chunks(40, 8_000) + LAST_CHUNK
        if framing == 'until-close':
            received = received.replace(
                b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n', 1
            )
        transport, connection, response = await receive(received, counter)
        assert isinstance(response, HttpResponse)
        assert response.body == b'x' * 320_000
        assert connection.usable == (framing == 'chunked')
        assert not transport.is_paused
        assert max(counter.counts) <= MAX_EVENTS_PER_TURN

    asyncio.run(scenario())


def test_bytes_after_a_response_in_turns_close_the_connection():
    """Bytes behind a response must not be taken for the next response."""

    async def scenario():
        received = RESPONSE_HEAD + chunks(40, 500) + LAST_CHUNK + b'x'
        _, connection, response = await receive(received, EventCounter())
        assert isinstance(response, HttpResponse)
        assert not connection.usable

    asyncio.run(scenario())


def test_response_head_of_many_fields_is_bounded():
    """A head must be refused by its size also if it comes in one read.

    50,000 fields take a tenth of a second and 15 MB.
    """

    async def scenario():
        counter = EventCounter()
        received = b'HTTP/1.1 200 OK\r\n' + b'a:b\r\n' * 50_000 + b'\r\n'
        transport, _, response = await receive(received, counter)
        assert isinstance(response, ExchangeFailure)
        assert response.kind is FailureKind.MALFORMED
        assert transport.is_aborted

    asyncio.run(scenario())


def test_exchange_that_times_out_while_parsing_in_turns_ends():
    """A timeout between two turns must not leave a task that parses on."""

    async def scenario():
        transport = FakeTransport()
        connection = HttpConnection('127.0.0.1:1', ResponseBuffers())
        connection.connection_made(transport)
        result = connection.start_exchange(HttpRequest('GET', '/x'), 5)
        connection.data_received(RESPONSE_HEAD + chunks(40, 5_000))
        connection._fail_with_timeout(5)
        counter = EventCounter()
        with counter.patch():
            for _ in range(5):
                await asyncio.sleep(0)
        assert result.result().kind is FailureKind.TIMEOUT
        assert counter.counts == [0]

    asyncio.run(scenario())


async def exchange_with_server(received, counter):
    """Send bytes to a server; return its response and the bodies it got."""
    bodies = []

    async def handle(request):
        bodies.append(request.body)
        return HttpResponse(200, b'answer')

    limits = HttpLimits(body_size_bytes=1_000_000)
    async with HttpServer('127.0.0.1:0', limits, handle) as server:
        host, port = server.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        turns = asyncio.ensure_future(counter.count_turns())
        with counter.patch():
            writer.write(received)
            async with asyncio.timeout(5):
                response = await reader.readuntil(b'\r\n\r\n')
        turns.cancel()
        writer.transport.abort()
    return response, bodies


def test_request_of_tiny_chunks_is_refused_early():
    """A caller that sends chunks of one byte must be refused after a few.

    One such caller delayed the requests of all others by seconds.
    """

    async def scenario():
        counter = EventCounter()
        response, bodies = await exchange_with_server(
            REQUEST_HEAD + chunks(1, 40_000), counter
        )
        assert response.startswith(b'HTTP/1.1 400 ')
        assert b'connection: close' in response.lower()
        assert not bodies
        assert sum(counter.counts) <= MAX_EVENTS_PER_TURN

    asyncio.run(scenario())


def test_request_of_small_chunks_is_read_in_turns():
    """A body in small chunks must be read whole and let others run.

    Callers may send what they read from a device as it comes.
    """

    async def scenario():
        counter = EventCounter()
        response, bodies = await exchange_with_server(
            REQUEST_HEAD + chunks(40, 8_000) + LAST_CHUNK, counter
        )
        assert response.startswith(b'HTTP/1.1 200 ')
        assert bodies == [b'x' * 320_000]
        assert max(counter.counts) <= MAX_EVENTS_PER_TURN

    asyncio.run(scenario())


def test_request_head_of_many_fields_is_bounded():
    """A head over the limit must be refused before all of it is parsed."""

    async def scenario():
        received = b'GET /x HTTP/1.1\r\nHost: a\r\n' + b'a:b\r\n' * 12_000
        parsed = []
        receive_data = h11.Connection.receive_data

        def count(protocol, data):
            parsed.append(len(data))
            return receive_data(protocol, data)

        with mock.patch.object(h11.Connection, 'receive_data', count):
            response, _ = await exchange_with_server(
                received + b'\r\n', EventCounter()
            )
        assert response.startswith(b'HTTP/1.1 431 ')
        assert sum(parsed) <= 2 * HttpLimits().header_size_bytes

    asyncio.run(scenario())
