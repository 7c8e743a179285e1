"""Platform stand-in and fake daemons in a thread, for synchronous tests."""

from __future__ import annotations

import asyncio
import contextlib
import threading

from boragespool.http import HttpLimits, HttpServer, json_response
from boragespool.standins.platform import Platform


@contextlib.contextmanager
def run_in_thread(factory):
    """Hold an async context manager open in a thread with its own loop."""
    opened = []
    ready = threading.Event()
    loop = asyncio.new_event_loop()
    stop = asyncio.Event()

    async def serve():
        async with factory() as entered:
            opened.append(entered)
            ready.set()
            await stop.wait()

    thread = threading.Thread(target=loop.run_until_complete, args=(serve(),))
    thread.start()
    assert ready.wait(10)
    try:
        yield opened[0]
    finally:
        loop.call_soon_threadsafe(stop.set)
        thread.join(10)
        loop.close()


def platform():
    """Run the platform stand-in."""
    return run_in_thread(Platform)


def fake_daemon(answer):
    """Run an HTTP server that responds with ``answer(request)`` as JSON.

    The key ``http_status`` of the result sets the status of the response.
    """

    async def handle(request):
        body = answer(request)
        return json_response(body, body.pop('http_status', 200))

    return run_in_thread(
        lambda: HttpServer('127.0.0.1:0', HttpLimits(), handle)
    )


@contextlib.asynccontextmanager
async def _closing_listener():
    async def close(reader, writer):
        await reader.read(1)
        writer.close()

    server = await asyncio.start_server(close, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        yield f'127.0.0.1:{port}'


def closing_daemon():
    """Run a listener that closes each connection after the first byte."""
    return run_in_thread(_closing_listener)
