"""Responses without end, and responses that break off."""

from __future__ import annotations

import asyncio
import contextlib
from unittest import mock

import pytest
from boragespool_platform.store import KeyValueStore

from boragespool.controllers.forwarding.feed_http import FeedClient
from boragespool.http import (
    ExchangeFailure,
    FailureKind,
    HttpConnection,
    HttpRequest,
    HttpResponse,
    ResponseBuffers,
    ResponseLimits,
)
from boragespool.results import Failure

LIMITS = ResponseLimits(
    body_size_bytes=10_000,
    total_size_bytes=25_000,
    piece_count=100,
    skipped_count=4,
)
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: i-a.q1\r\n'
RESPONSE_BY_FRAMING = {
    'length': HEAD + b'Content-Length: 12\r\n\r\ntwelve bytes',
    'empty': HEAD + b'Content-Length: 0\r\n\r\n',
    'chunked': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n'
    b'0\r\n\r\n',
    'until-close': HEAD + b'\r\ntwelve bytes',
}
#: Bytes that never complete a response, as a start and a part that recurs.
ENDLESS_BY_NAME = {
    'body': (HEAD + b'\r\n', b'x' * 1_000),
    'long body': (HEAD + b'Content-Length: 9999999\r\n\r\n', b'x' * 1_000),
    'chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'3e8\r\n' + b'x' * 1_000 + b'\r\n',
    ),
    'tiny chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n' * 20,
    ),
    'chunk extension': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n1;',
        b'x' * 1_000,
    ),
    'trailers': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'A: ' + b'x' * 1_000 + b'\r\n',
    ),
    'status line': (b'HTTP/1.1 200 ', b'x' * 1_000),
    'fields': (HEAD, b'A: ' + b'x' * 1_000 + b'\r\n'),
    'informational': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'stale responses': (
        b'',
        b'HTTP/1.1 200 OK\r\nRequest-Id: q0\r\nContent-Length: 0\r\n\r\n',
    ),
    'no protocol': (b'', b'\x00' * 1_000),
}
#: Most bytes that a connection reads of a response without end: the head and
#: chunk headers are bounded by h11, the body by `LIMITS`.
MAX_READ_BYTES = 40_000


class FakeTransport:
    """Transport that only remembers whether it was aborted."""

    def __init__(self):
        self.is_aborted = False

    def write(self, data):
        """Discard what the connection sends."""

    def abort(self):
        """Record that the connection was aborted."""
        self.is_aborted = True


def start_exchange(buffers=None):
    """Return a connection with a request in progress, and its result."""
    connection = HttpConnection('127.0.0.1:1', buffers or buffers_of(LIMITS))
    connection.connection_made(FakeTransport())
    request = HttpRequest('GET', '/find/x', fields=(('host', 'shop'),))
    result = connection.start_exchange(request, 5, ('request-id', 'q1'))
    return connection, result


def buffers_of(limits):
    """Return empty buffers with these limits."""
    return ResponseBuffers(limits)


def receive_endless(connection, result, name):
    """Send a response without end; return the number of bytes taken."""
    start, part = ENDLESS_BY_NAME[name]
    connection.data_received(start or part)
    taken_bytes = len(start)
    while not result.done() and taken_bytes <= MAX_READ_BYTES:
        connection.data_received(part)
        taken_bytes += len(part)
    return taken_bytes


def run_in_loop(scenario):
    """Run a function with an event loop; exchanges need its clock."""

    async def main():
        scenario()

    asyncio.run(main())


@pytest.mark.parametrize('name', ENDLESS_BY_NAME)
def test_endless_response_fails_within_the_limits(name):
    """A response without end must fail after a bounded number of bytes.

    Otherwise it fills the memory of the daemon until the request times out.
    """

    def scenario():
        buffers = ResponseBuffers(LIMITS)
        connection, result = start_exchange(buffers)
        taken_bytes = receive_endless(connection, result, name)
        assert taken_bytes <= MAX_READ_BYTES
        assert isinstance(result.result(), ExchangeFailure)
        assert result.result().sent
        assert connection._transport.is_aborted
        assert buffers.used_bytes == 0

    run_in_loop(scenario)


@pytest.mark.parametrize('part', ['stale responses', 'informational'])
def test_many_skipped_responses_in_one_read_fail(part):
    """Thousands of responses in one read must not exhaust the stack."""

    def scenario():
        connection, result = start_exchange()
        connection.data_received(ENDLESS_BY_NAME[part][1] * 5_000)
        assert result.result().kind is FailureKind.TOO_LARGE

    run_in_loop(scenario)


def test_endless_bodies_leave_memory_for_sound_ones():
    """The largest bodies must give way when the total is used up.

    Otherwise a few endless bodies make sound responses fail.
    """

    def scenario():
        buffers = ResponseBuffers(LIMITS)
        sound, sound_result = start_exchange(buffers)
        head = HEAD + b'Content-Length: 3000\r\n\r\n'
        sound.data_received(head + b'x' * 1_500)
        endless = [start_exchange(buffers) for _ in range(3)]
        for (connection, _), size_bytes in zip(
            endless, (9_900, 7_000, 6_000), strict=True
        ):
            connection.data_received(HEAD + b'\r\n' + b'x' * size_bytes)
        assert buffers.used_bytes == 1_500 + 9_900 + 7_000 + 6_000
        endless[2][0].data_received(b'x' * 800)
        assert endless[0][1].result().kind is FailureKind.TOO_LARGE
        assert not endless[1][1].done()
        assert not endless[2][1].done()
        sound.data_received(b'x' * 1_500)
        assert sound_result.result().status == 200
        assert buffers.used_bytes == 7_000 + 6_800

    run_in_loop(scenario)


@pytest.mark.parametrize('ending', ['close', 'reset'])
@pytest.mark.parametrize('framing', RESPONSE_BY_FRAMING)
def test_response_that_breaks_off_is_no_success(framing, ending):
    """A response that breaks off at any byte must not be returned.

    A caller would get a success with an empty or short body that looks
    complete. Only a body that ends with its connection may end anywhere.
    """
    raw = RESPONSE_BY_FRAMING[framing]
    head_size_bytes = raw.index(b'\r\n\r\n') + 4

    def scenario():
        for size_bytes in range(len(raw)):
            connection, result = start_exchange()
            if size_bytes:
                connection.data_received(raw[:size_bytes])
            if ending == 'close':
                connection.eof_received()
            connection.connection_lost(
                ConnectionResetError() if ending == 'reset' else None
            )
            is_unframed = framing == 'until-close' and ending == 'close'
            if is_unframed and size_bytes >= head_size_bytes:
                assert isinstance(result.result(), HttpResponse)
                continue
            assert isinstance(result.result(), ExchangeFailure), size_bytes
            assert result.result().sent
            assert result.result().kind is FailureKind.CLOSED

    run_in_loop(scenario)


async def send_endlessly(reader, writer):
    """Answer with a body without end."""
    with contextlib.suppress(OSError):
        writer.write(HEAD + b'\r\n')
        while True:
            writer.write(b'x' * 65_536)
            await writer.drain()


class BodyMeter:
    """Records the most bytes of bodies that connections held at a time."""

    def __init__(self):
        self.peak_bytes = 0
        self.connections = set()

    def patch(self):
        """Return a context manager that records."""
        receive = HttpConnection.data_received

        def data_received(connection, received):
            receive(connection, received)
            self.connections.add(connection)
            held_bytes = sum(
                len(each._parser._body) for each in self.connections
            )
            self.peak_bytes = max(self.peak_bytes, held_bytes)

        return mock.patch.object(HttpConnection, 'data_received', data_received)


async def read_all_from(store):
    """Send as many calls and watches at once as the client has connections."""
    async with store:
        return await asyncio.gather(
            *(store.read_page('p/') for _ in range(4)),
            *(store.watch('p/', 1, 1) for _ in range(4)),
        )


async def read_feeds_from(address, limits):
    """Read from another daemon on all connections of the client."""
    client = FeedClient(1, limits)
    results = await asyncio.gather(
        *(client.read(address, 'p/') for _ in range(8))
    )
    await client.__aexit__()
    return results


@pytest.mark.parametrize('peer_kind', ['store', 'daemon'])
def test_endless_responses_of_store_and_daemons_are_bounded(peer_kind):
    """Records read without end must not fill the memory of the process.

    Each of the connections had a limit of its own, 16 of them 268 MB together.
    """

    async def scenario():
        limits = ResponseLimits(2_097_152, 2_097_152)
        meter = BodyMeter()
        server = await asyncio.start_server(send_endlessly, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        address = f'{host}:{port}'
        with meter.patch():
            if peer_kind == 'store':
                results = await read_all_from(KeyValueStore(address, limits))
            else:
                results = await read_feeds_from(address, limits)
        server.close()
        assert all(isinstance(each, (Failure, str)) for each in results)
        assert 0 < meter.peak_bytes <= limits.total_size_bytes

    asyncio.run(scenario())
