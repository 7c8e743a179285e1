"""Header fields with bytes outside ASCII, which HTTP/1.1 allows."""

from __future__ import annotations

import asyncio

from boragespool.controllers.forwarding.server_connections import (
    OutgoingRequest,
    ServerConnections,
)
from boragespool.http import (
    ConnectionPool,
    ExchangeFailure,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    ResponseBuffers,
)
from boragespool.timers import LoopTimers
from tests.platform_standins.cluster import route, run, send

#: Each character stands for one byte of the name in UTF-8.
NAME = 'Jürgen'.encode().decode('latin-1')


def test_field_value_outside_ascii_reaches_the_server():
    """Requests with such a value must be served and cost no connection.

    Each of them took a connection of a server for good, until its service was
    refused to all callers.
    """

    async def scenario(cluster):
        server = await cluster.serve('one', 'i-a', body=b'answer')
        cluster.configure(route(service='one'))
        daemon = await cluster.start()
        for number in range(60):
            answer = await send(daemon, request_id=f'q{number}', x_member=NAME)
            assert (answer.status, answer.body) == (200, b'answer')
        assert server.requests[-1][2]['x-member'] == 'Jürgen'

    run(scenario)


def test_field_value_outside_ascii_is_returned():
    """An answer with such a value must reach the caller unchanged.

    Its claim has run; the caller got a closed connection.
    """

    async def scenario():
        fields = (('x-member', NAME),)

        async def handle(request):
            assert request.fields[-1] == fields[0]
            return HttpResponse(200, b'answer', fields=fields)

        async with HttpServer('127.0.0.1:0', HttpLimits(), handle) as server:
            async with ConnectionPool(1) as pool:
                for _ in range(2):
                    request = HttpRequest(
                        'GET', '/x', fields=(('host', 'a'), *fields)
                    )
                    response = await pool.exchange(server.address, request, 2)
                    assert isinstance(response, HttpResponse)
                    assert response.field('x-member') == NAME

    asyncio.run(scenario())


def test_request_that_cannot_be_sent_gives_its_connection_back():
    """A request that cannot be encoded must fail and use no connection."""

    async def scenario():
        results = []

        async def handle(request):
            return HttpResponse(200)

        async with HttpServer('127.0.0.1:0', HttpLimits(), handle) as server:
            connections = ServerConnections(
                server.address, LoopTimers(), ResponseBuffers(), lambda: None
            )
            for target in ('/a b', '/x', '/a b'):
                request = HttpRequest('GET', target, fields=(('host', 'a'),))
                connections.send(
                    OutgoingRequest(request, 2, None, False),
                    results.append,
                )
                async with asyncio.timeout(2):
                    while not connections.has_capacity:
                        await asyncio.sleep(0.01)
            connections.close()
        first, second, third = results
        assert isinstance(first, ExchangeFailure)
        assert not first.sent
        assert second.status == 200
        assert isinstance(third, ExchangeFailure)
        assert not third.sent

    asyncio.run(scenario())
