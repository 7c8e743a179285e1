"""Processor time of the dispatch controller per backend request.

The baseline is a plain h11 client that does the same exchanges with the same
server in the same run. The server runs in a child process, so that its time is
not counted.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import sys
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, Final

import h11
import msgspec

from boragespool.bench.ports import free_address
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
_ROUND_COUNT: Final = 6
_READ_SIZE_BYTES: Final = 65_536
_BODY: Final = msgspec.json.encode({'text': 'lot', 'limit': 20})
_KEY_RANGE_END: Final = 100
_EXPECTED_ITEMS: Final = tuple(Item(key, f'lot {key}') for key in range(10))


async def _answer_request(request: HttpRequest) -> HttpResponse:
    """Answer a request as a backend server would, with constant items."""
    if request.path == '/v1/status':
        return json_response({'server': 's', 'incarnation': 1, 'service': 'v'})
    work = msgspec.json.decode(request.body)
    echoed = {name: work[name] for name in ('attempt_id', 'version', 'start')}
    return json_response(
        {
            **echoed,
            'end': work['end'],
            'items': _EXPECTED_ITEMS,
            'item_count': len(_EXPECTED_ITEMS),
            'run': 'run',
        },
    )


def _run_server(address: Address) -> None:
    async def serve() -> None:
        async with HttpServer(address, HttpLimits(), _answer_request):
            await asyncio.Event().wait()

    asyncio.run(serve())


class _BareH11Client:
    """Baseline: HTTP client of asyncio streams, h11 and msgspec only."""

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
        'end': _KEY_RANGE_END,
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
        end=_KEY_RANGE_END,
    )


@asynccontextmanager
async def _dispatch_sender(
    address: Address,
) -> AsyncIterator[Callable[[int], Awaitable[None]]]:
    """Run a dispatch controller; yield a function that sends one request."""
    server = ServerSettings(address, 'north')
    service = ServiceSettings(_CONCURRENCY, 40, {'s': server})
    document = RevisionDocument(1, 'c', Settings(services={'v': service}))
    board = Blackboard()
    board.post(DOCUMENT_IN_FORCE, document)
    own_address = free_address()
    timers = LoopTimers()
    async with PeerNetwork(PeerOptions('a', 1, own_address), timers) as peers:
        identity = Identity('a', 1, 'north', 'r', own_address, own_address)
        context = Context(identity, board, timers, peers, float)
        async with DispatchController(context):

            async def send(number: int) -> None:
                reply = await peers.request('a', _work_request(number), 2)
                if getattr(reply, 'items', ()) != _EXPECTED_ITEMS:
                    raise ValueError(f'unexpected reply {reply!r}')

            yield send


async def _cost_us(
    send: Callable[[int], Awaitable[None]],
    first_number: int,
    count: int,
) -> float:
    """Return the processor time per request in microseconds."""
    numbers = iter(range(first_number, first_number + count))

    async def worker() -> None:
        for number in numbers:
            await send(number)

    started_s = time.process_time()
    await asyncio.gather(*(worker() for _ in range(_CONCURRENCY)))
    return (time.process_time() - started_s) / count * 1e6


async def _measure(address: Address, count: int) -> tuple[float, float]:
    """Return the lowest cost of the controller and of the baseline.

    Both are processor times per request in microseconds.
    """
    h11_client = _BareH11Client(address)
    costs: list[tuple[float, float]] = []
    async with _dispatch_sender(address) as dispatch:
        for round_number in range(_ROUND_COUNT + 1):
            first_number = round_number * count
            dispatch_us = await _cost_us(dispatch, first_number, count)
            costs.append(
                (
                    dispatch_us,
                    await _cost_us(h11_client.send, first_number, count),
                )
            )
    # Skip the first round: it opens the connections and raises the
    # concurrency limit of the server.
    return min(cost[0] for cost in costs[1:]), min(
        cost[1] for cost in costs[1:]
    )


def main() -> int:
    """Print both costs and their ratio, which should be at most 2."""
    count = 500 if '--short' in sys.argv else 1_000
    address = free_address()
    server = multiprocessing.get_context('spawn').Process(
        target=_run_server,
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
