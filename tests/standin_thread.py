"""The stand-in platform and fake daemons beside a synchronous test."""

from __future__ import annotations

import asyncio
import contextlib
import threading

from boragespool.http import HttpLimits, HttpServer, json_response
from boragespool.standins.platform import Platform


@contextlib.contextmanager
def in_thread(opener):
    """Keep an async context manager open in a thread with its own loop."""
    opened = []
    ready = threading.Event()
    loop = asyncio.new_event_loop()
    stop = asyncio.Event()

    async def serve():
        async with opener() as entered:
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
    """Run the stand-in platform."""
    return in_thread(Platform)


def fake_daemon(answer):
    """Run a listener that answers ``answer(request)`` as JSON.

    The key ``http_status`` of an answer sets its status.
    """

    async def handle(request):
        body = answer(request)
        return json_response(body, body.pop('http_status', 200))

    return in_thread(lambda: HttpServer('127.0.0.1:0', HttpLimits(), handle))


@contextlib.asynccontextmanager
async def _swallowing():
    async def close(reader, writer):
        await reader.read(1)
        writer.close()

    server = await asyncio.start_server(close, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        yield f'127.0.0.1:{port}'


def closing_daemon():
    """Run a listener that closes each connection after the first byte."""
    return in_thread(_swallowing)
