"""Latency of sound requests beside peers that send tiny chunks without end.

``python -m boragespool.bench.tiny_chunks``. One process serves sound requests
and passes others on to faulty servers; the baseline is the same process with
the bounds on chunks and on the work of one turn lifted.
"""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
from typing import TYPE_CHECKING, Final
from unittest import mock

from boragespool.http import (
    ConnectionPool,
    ExchangeFailure,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    ResponseBuffers,
    ResponseLimits,
    exchange,
    response_parser,
)

if TYPE_CHECKING:
    from multiprocessing.connection import Connection

    from boragespool.types import Address, Seconds

_HOST: Final = '127.0.0.1'
_FAULTY_PEERS: Final = 4
_REQUEST_INTERVAL_S: Final = 0.05
_RUN_S: Final = 6
_SHORT_RUN_S: Final = 2
_TIMEOUT_S: Final = 7
_FAULTY_TIMEOUT_S: Final = 6
_GOAL_S: Final = 0.05
_QUANTILE: Final = 0.99
_CHUNKS: Final = b'1\r\nx\r\n' * 10_000
_RESPONSE_HEAD: Final = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_REQUEST_HEAD: Final = (
    b'POST /sound HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
)
_SOUND: Final = '/sound'
_FAULTY: Final = '/faulty'
_UNLIMITED: Final = 1_000_000_000


def main(*, short: bool = False) -> int:
    """Print the latency with and without the bounds; return 1 if it is missed.

    Parameters
    ----------
    short : bool
        Whether each run takes 2 s in place of 6 s.
    """
    run_s = _SHORT_RUN_S if short else _RUN_S
    is_missed = False
    for kind in ('servers', 'callers'):
        p99_s_by_bounds = {
            has_bounds: asyncio.run(
                _measure(kind, run_s, has_bounds=has_bounds)
            )
            for has_bounds in (False, True)
        }
        before_s, after_s = p99_s_by_bounds.values()
        print(
            f'{_FAULTY_PEERS} {kind}: p99 of sound requests {after_s:.3f} s, '
            f'{before_s:.3f} s without the bounds, ratio '
            f'{after_s / before_s:.3f}; goal {_GOAL_S} s',
            flush=True,
        )
        is_missed |= after_s > _GOAL_S
    return int(is_missed)


async def _measure(kind: str, run_s: Seconds, *, has_bounds: bool) -> Seconds:
    """Return the p99 of the latency; lost requests count as the timeout."""
    context = multiprocessing.get_context('spawn')
    parent, child = context.Pipe()
    faulty = await asyncio.start_server(_send_chunks, _HOST, 0)
    host, port = faulty.sockets[0].getsockname()
    process = context.Process(
        target=_serve, args=(child, f'{host}:{port}', has_bounds), daemon=True
    )
    process.start()
    address = await asyncio.to_thread(parent.recv)
    tasks = [
        asyncio.ensure_future(_request_faulty(address, kind))
        for _ in range(_FAULTY_PEERS)
    ]
    latencies_s = await _request_sound(address, run_s)
    for task in tasks:
        task.cancel()
    faulty.close()
    process.terminate()
    await asyncio.to_thread(process.join)
    return sorted(latencies_s)[int(_QUANTILE * (len(latencies_s) - 1))]


async def _request_sound(address: Address, run_s: Seconds) -> list[Seconds]:
    latencies: list[asyncio.Future[Seconds]] = []
    async with ConnectionPool(int(run_s / _REQUEST_INTERVAL_S)) as pool:
        for _ in range(int(run_s / _REQUEST_INTERVAL_S)):
            latencies.append(
                asyncio.ensure_future(_request_once(pool, address))
            )
            await asyncio.sleep(_REQUEST_INTERVAL_S)
        return await asyncio.gather(*latencies)


async def _request_once(pool: ConnectionPool, address: Address) -> Seconds:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    response = await pool.exchange(
        address, HttpRequest('GET', _SOUND), _TIMEOUT_S
    )
    if isinstance(response, ExchangeFailure):
        return _TIMEOUT_S
    return loop.time() - began_s


async def _request_faulty(address: Address, kind: str) -> None:
    """Send requests to faulty servers, or be a faulty caller, again and again.

    A connection is opened for each request.
    """
    host, _, port = address.rpartition(':')
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                if kind == 'callers':
                    await _send_request_body(writer)
                else:
                    writer.write(
                        f'GET {_FAULTY} HTTP/1.1\r\nHost: a\r\n\r\n'.encode()
                    )
                    await reader.readline()
            finally:
                writer.transport.abort()
        await asyncio.sleep(_REQUEST_INTERVAL_S)


async def _send_request_body(writer: asyncio.StreamWriter) -> None:
    writer.write(_REQUEST_HEAD)
    for _ in range(100):
        writer.write(_CHUNKS)
        await writer.drain()


async def _send_chunks(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_RESPONSE_HEAD)
        while True:
            writer.write(_CHUNKS)
            await writer.drain()


def _serve(pipe: Connection, faulty: Address, has_bounds: bool) -> None:
    """Run the process under test until it is terminated."""
    with contextlib.ExitStack() as stack:
        if not has_bounds:
            for module in (exchange, response_parser):
                for name, value in (
                    ('EVENTS_PER_TURN', _UNLIMITED),
                    ('is_chunking_wasteful', lambda *_: False),
                ):
                    stack.enter_context(mock.patch.object(module, name, value))
        asyncio.run(_serve_requests(pipe, faulty))


async def _serve_requests(pipe: Connection, faulty: Address) -> None:
    buffers = ResponseBuffers(ResponseLimits(4_194_304, 37_500_000))
    async with ConnectionPool(_FAULTY_PEERS, buffers=buffers) as pool:

        async def handle(request: HttpRequest) -> HttpResponse:
            if request.path == _FAULTY:
                await pool.exchange(
                    faulty, HttpRequest('GET', _SOUND), _FAULTY_TIMEOUT_S
                )
                return HttpResponse(502)
            return HttpResponse(200)

        async with HttpServer(f'{_HOST}:0', HttpLimits(), handle) as server:
            pipe.send(server.address)
            await asyncio.Event().wait()


if __name__ == '__main__':
    main()
