"""Processor time of the dispatch controller per backend request.

A bare h11 loop does the same exchanges with the same server in the same run.
Only the time of this process counts; the server runs in a child process.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import socket
import sys
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, Final

import h11
import msgspec

from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import DOCUMENT_IN_FORCE
from boragespool.controllers.backend_servers.dispatch import DispatchController
from boragespool.controllers.context import Context, Identity
from boragespool.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)
from boragespool.messages import Item, WorkRequest
from boragespool.peers import PeerNetwork, PeerOptions
from boragespool.revisions import RevisionDocument
from boragespool.settings import ServerSettings, ServiceSettings, Settings
from boragespool.timers import LoopTimers
from boragespool.types import Address, Rank, WorkKind

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

_CONCURRENCY: Final = 5
_ROUNDS: Final = 6
_READ_SIZE_BYTES: Final = 65_536
_BODY: Final = msgspec.json.encode({'text': 'lot', 'limit': 20})
_END: Final = 100
_EXPECTED: Final = tuple(Item(key, f'lot {key}') for key in range(10))


async def _answer(request: HttpRequest) -> HttpResponse:
    """Answer as a backend server without any work."""
    if request.path == '/v1/status':
        return json_response({'server': 's', 'incarnation': 1, 'service': 'v'})
    work = msgspec.json.decode(request.body)
    echoed = {name: work[name] for name in ('attempt_id', 'version', 'start')}
    return json_response(
        {
            **echoed,
            'end': work['end'],
            'items': _EXPECTED,
            'item_count': len(_EXPECTED),
            'run': 'run',
        },
    )


def _serve(address: Address) -> None:
    async def serve() -> None:
        async with HttpServer(address, HttpLimits(), _answer):
            await asyncio.Event().wait()

    asyncio.run(serve())


def _free_address() -> Address:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    return f'127.0.0.1:{port}'


class _BareLoop:
    """Exchanges on plain streams with h11 and msgspec."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle: list[Any] = []

    async def send(self, number: int) -> None:
        connection = self._idle.pop() if self._idle else await self._open()
        reader, writer, protocol = connection
        body = msgspec.json.encode(_work_body(number))
        writer.write(
            protocol.send(
                h11.Request(
                    method='POST',
                    target='/v1/work',
                    headers=[
                        ('host', self._address),
                        ('content-length', str(len(body))),
                        ('content-type', 'application/json'),
                    ],
                ),
            )
            + protocol.send(h11.Data(data=body))
            + protocol.send(h11.EndOfMessage()),
        )
        reply = msgspec.json.decode(await _read_body(reader, protocol))
        if reply['attempt_id'] != str(number):
            raise ValueError(f'reply {reply!r} is not for attempt {number!r}')
        protocol.start_next_cycle()
        self._idle.append(connection)

    async def _open(self) -> Any:
        host, _, port = self._address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        return reader, writer, h11.Connection(h11.CLIENT)


async def _read_body(reader: asyncio.StreamReader, protocol: Any) -> bytes:
    parts: list[bytes] = []
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(_READ_SIZE_BYTES))
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b''.join(parts)


def _work_body(number: int) -> dict[str, Any]:
    return {
        'attempt_id': str(number),
        'request_id': 'r',
        'kind': 'query',
        'version': 1,
        'start': 0,
        'end': _END,
        'body': msgspec.Raw(_BODY),
        'rank': 'routine',
        'deadline_s': 2.0,
    }


def _work_request(number: int) -> WorkRequest:
    return WorkRequest(
        attempt_id=str(number),
        request_id='r',
        kind=WorkKind.QUERY,
        route='find',
        server='s',
        rank=Rank.ROUTINE,
        caller='c',
        deadline_s=2,
        body=_BODY,
        fingerprint=1,
        version=1,
        end=_END,
    )


@asynccontextmanager
async def _dispatching(
    address: Address,
) -> AsyncIterator[Callable[[int], Awaitable[None]]]:
    """Give a function that sends one request through the controller."""
    place = ServerSettings(address, 'north')
    service = ServiceSettings(_CONCURRENCY, 40, {'s': place})
    document = RevisionDocument(1, 'c', Settings(services={'v': service}))
    board = Blackboard()
    board.post(DOCUMENT_IN_FORCE, document)
    own = _free_address()
    timers = LoopTimers()
    async with PeerNetwork(PeerOptions('a', 1, own), timers) as peers:
        identity = Identity('a', 1, 'north', 'r', own, own)
        context = Context(identity, board, timers, peers, float)
        async with DispatchController(context):

            async def send(number: int) -> None:
                reply = await peers.request('a', _work_request(number), 2)
                if getattr(reply, 'items', ()) != _EXPECTED:
                    raise ValueError(f'unexpected reply {reply!r}')

            yield send


async def _cost_us(
    send: Callable[[int], Awaitable[None]],
    begin: int,
    count: int,
) -> float:
    """Return processor time per request in microseconds."""
    numbers = iter(range(begin, begin + count))

    async def worker() -> None:
        for number in numbers:
            await send(number)

    started_s = time.process_time()
    await asyncio.gather(*(worker() for _ in range(_CONCURRENCY)))
    return (time.process_time() - started_s) / count * 1e6


async def _measure(address: Address, count: int) -> tuple[float, float]:
    """Return the lowest cost of the controller and of the bare loop."""
    bare = _BareLoop(address)
    costs: list[tuple[float, float]] = []
    async with _dispatching(address) as dispatch:
        for turn in range(_ROUNDS + 1):
            begin = turn * count
            dispatch_us = await _cost_us(dispatch, begin, count)
            costs.append((dispatch_us, await _cost_us(bare.send, begin, count)))
    # The first round opens the connections and raises the limit.
    return min(cost[0] for cost in costs[1:]), min(
        cost[1] for cost in costs[1:]
    )


def main() -> int:
    """Print the cost of both and their ratio; goal: at most 2."""
    count = 500 if '--short' in sys.argv else 1_000
    address = _free_address()
    server = multiprocessing.get_context('spawn').Process(
        target=_serve,
        args=(address,),
        daemon=True,
    )
    server.start()
    time.sleep(1)
    try:
        dispatch_us, bare_us = asyncio.run(_measure(address, count))
    finally:
        server.terminate()
        server.join()
    ratio = dispatch_us / bare_us
    print(f'dispatch {dispatch_us:.0f} us, bare h11 loop {bare_us:.0f} us')
    print(f'ratio {ratio:.2f} (goal: at most 2)')
    return 0


if __name__ == '__main__':
    sys.exit(main())
