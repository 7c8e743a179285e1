"""Processor time of peer links by number of messages per frame.

``python -m boragespool.bench.links``
"""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Final

from boragespool.bench.ports import free_address
from boragespool.bench.slopes import Point, fit_line
from boragespool.messages import Item, WorkReply, WorkRequest
from boragespool.peers import PeerNetwork, PeerOptions
from boragespool.timers import LoopTimers
from boragespool.types import Rank, RunState, WorkKind

if TYPE_CHECKING:
    from boragespool.peers import Sender

_BATCH_SIZES: Final = (1, 4, 16, 64, 256)
_RUNS_PER_SIZE: Final = 3
_REQUESTS_PER_RUN: Final = 3_000
_ITEMS: Final = tuple(Item(number, 'x' * 16) for number in range(5))


def main(*, short: bool = False) -> None:
    """Print the processor time of both ends per frame and per message."""
    sizes = _BATCH_SIZES[:3] if short else _BATCH_SIZES
    points = [
        Point(
            size,
            tuple(
                asyncio.run(_frame_cost_s(size)) for _ in range(_RUNS_PER_SIZE)
            ),
        )
        for size in sizes
    ]
    for point in points:
        per_message_us = point.median / point.size * 1e6
        print(
            f'requests per frame {point.size:4.0f}: '
            f'{point.median * 1e3:8.3f} ms per exchange of frames, '
            f'{per_message_us:7.1f} us per request and reply',
        )
    line = fit_line(points)
    print(
        f'line: {line.intercept * 1e3:.3f} ms per exchange + '
        f'{line.slope * 1e6:.1f} us per request, '
        f'spread {line.max_relative_error:.0%}',
    )


async def _frame_cost_s(batch_size: int) -> float:
    """Return the processor time of one batch of requests and replies.

    In seconds, for both ends together.
    """
    async with AsyncExitStack() as stack:
        networks = [
            await stack.enter_async_context(
                PeerNetwork(
                    PeerOptions(host, 1, free_address()),
                    LoopTimers(),
                ),
            )
            for host in ('a', 'b')
        ]
        networks[0].set_address('b', networks[1].options.listen_address)
        networks[1].set_address('a', networks[0].options.listen_address)
        networks[1].on_request(WorkRequest, _reply)
        await _exchange_batch(networks[0], batch_size)
        rounds = max(3, _REQUESTS_PER_RUN // batch_size)
        started_s = time.process_time()
        for _ in range(rounds):
            await _exchange_batch(networks[0], batch_size)
        return (time.process_time() - started_s) / rounds


async def _exchange_batch(network: PeerNetwork, batch_size: int) -> None:
    request = WorkRequest(
        attempt_id='attempt-0000000001',
        request_id='request-0000000001',
        kind=WorkKind.QUERY,
        route='find',
        server='lot-finder-3-b',
        rank=Rank.ROUTINE,
        caller='till-17',
        deadline_s=1,
        body=b'{"match": "oak plank"}',
        fingerprint=12_345_678_901,
        version=17,
        start=0,
        end=2**28,
    )
    await asyncio.gather(
        *(network.request('b', request, 5) for _ in range(batch_size)),
    )


async def _reply(sender: Sender, request: WorkRequest) -> WorkReply:
    return WorkReply(
        request.attempt_id,
        1000,
        RunState.RUN,
        request.version,
        request.start,
        request.end,
        _ITEMS,
        waits_s=(0, 0, 0),
    )


if __name__ == '__main__':
    main()
