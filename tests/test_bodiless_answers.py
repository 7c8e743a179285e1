"""Answers without a body: those to HEAD, and statuses that have none."""

from __future__ import annotations

import asyncio

import pytest

from boragespool.http import HttpLimits, HttpResponse, HttpServer
from tests.platform_standins.cluster import route, run, send

BODY = b'{"error":"late"}'


async def exchange_raw(reader, writer, method, path='/x'):
    """Send a request on a kept connection; return the head of the answer."""
    writer.write(f'{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n'.encode())
    async with asyncio.timeout(2):
        head = await reader.readuntil(b'\r\n\r\n')
    return head.decode('latin-1')


@pytest.mark.parametrize(
    'status', [200, 204, 304, 400, 404, 408, 413, 421, 429, 500, 502, 503, 504]
)
def test_head_requests_are_answered_on_a_kept_connection(status):
    """HEAD must get each answer, with its length and without its body.

    The daemon's own answers have a body whatever the method; callers got a
    closed connection, though their request may have run.
    """

    async def scenario():
        async def handle(request):
            is_bodiless = status in {204, 304}
            return HttpResponse(status, b'' if is_bodiless else BODY)

        async with HttpServer('127.0.0.1:0', HttpLimits(), handle) as server:
            host, port = server.address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            for method in ('HEAD', 'HEAD', 'GET'):
                head = await exchange_raw(reader, writer, method)
                assert head.startswith(f'HTTP/1.1 {status} ')
                assert 'connection: close' not in head.lower()
            if status not in {204, 304}:
                assert f'content-length: {len(BODY)}' in head.lower()
                assert await reader.readexactly(len(BODY)) == BODY
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize('status', [204, 304])
def test_status_without_a_body_is_answered_without_one(status):
    """A body that a handler adds to such a status must not be sent.

    It would be taken for the next answer.
    """

    async def scenario():
        async def handle(request):
            return HttpResponse(status, BODY)

        async with HttpServer('127.0.0.1:0', HttpLimits(), handle) as server:
            host, port = server.address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            for _ in range(2):
                head = await exchange_raw(reader, writer, 'GET')
                assert head.startswith(f'HTTP/1.1 {status} ')
            writer.close()

    asyncio.run(scenario())


def test_response_that_cannot_be_encoded_becomes_500():
    """A request must be answered even if its answer cannot be encoded."""

    async def scenario():
        async def handle(request):
            return HttpResponse(200, BODY, fields=(('x', 'line\nbreak'),))

        async with HttpServer('127.0.0.1:0', HttpLimits(), handle) as server:
            host, port = server.address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            head = await exchange_raw(reader, writer, 'GET')
            assert head.startswith('HTTP/1.1 500 ')
            assert 'connection: close' in head.lower()
            writer.close()

    asyncio.run(scenario())


def test_malformed_request_after_head_gets_400():
    """A refusal must have its body although the request before was HEAD.

    The method of the earlier request took the body from it, so that the
    connection was closed without an answer.
    """

    async def scenario():
        async def handle(request):
            return HttpResponse(200, BODY)

        async with HttpServer('127.0.0.1:0', HttpLimits(), handle) as server:
            host, port = server.address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            await exchange_raw(reader, writer, 'HEAD')
            head = await exchange_raw(reader, writer, 'GET', '/x y')
            assert head.startswith('HTTP/1.1 400 ')
            async with asyncio.timeout(2):
                assert b'malformed_http' in await reader.read()
            writer.close()

    asyncio.run(scenario())


def test_head_request_that_times_out_gets_504():
    """HEAD at a silent server must get 504 at the timeout of its route."""

    async def scenario(cluster):
        server = await cluster.serve('one', 'i-a')
        server.modes = ['silent']
        cluster.configure(route(service='one', timeout_ms=400, attempts=1))
        daemon = await cluster.start()
        answer = await send(daemon, method='HEAD', request_id='q1')
        assert answer.status == 504
        assert not answer.body

    run(scenario)
