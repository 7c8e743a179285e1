"""Latency that the tier adds to a wide query, with real processes.

``python -m boragespool.bench.added_latency`` sends queries over 30 shards,
one after another, and compares them with the backend servers' own time.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

from boragespool.bench.process_fleet import ProcessFleet
from boragespool.bench.shapes import DeploymentShape, ServiceShape
from boragespool.client import Client, ClientOptions
from boragespool.results import Failure
from boragespool.settings import RouteSettings
from boragespool.types import Rank, WorkKind

if TYPE_CHECKING:
    from boragespool.types import Address

_SERVICE_TIME_S: Final = 0.02
_WIDE: Final = DeploymentShape(
    'wide',
    ('north', 'centre', 'south'),
    3,
    (ServiceShape('wide', 30, 3, 5, 40, 6, _SERVICE_TIME_S),),
    {'wide': RouteSettings('wide', Rank.ROUTINE, WorkKind.QUERY, 1_000)},
)
_WARM_UP: Final = 100
_QUERIES: Final = 400
_SHORT_QUERIES: Final = 100
_LARGEST_US: Final = 2_000_000
_DIGITS: Final = 3
_US_PER_S: Final = 1_000_000


def main(*, short: bool = False) -> None:
    """Print the added latency at p50 and p99 in milliseconds."""
    count = _SHORT_QUERIES if short else _QUERIES
    with ProcessFleet(_WIDE) as fleet:
        histogram = asyncio.run(_query(fleet.addresses, count))
    for percentile in (50, 99):
        latency_ms = histogram.get_value_at_percentile(percentile) / 1_000
        added_ms = latency_ms - _SERVICE_TIME_S * 1_000
        print(
            f'p{percentile}: {latency_ms:.1f} ms, {added_ms:.1f} ms more '
            f'than the backend servers take (goal at p99: under 5 ms)',
        )


async def _query(addresses: tuple[Address, ...], count: int) -> HdrHistogram:
    """Send queries one after another; return complete ones' latencies."""
    histogram = HdrHistogram(1, _LARGEST_US, _DIGITS)
    async with Client(ClientOptions('bench', addresses)) as client:
        for number in range(_WARM_UP + count):
            started_s = time.monotonic()
            answer = await client.query('wide', {'match': str(number)}, 1)
            took_us = int((time.monotonic() - started_s) * _US_PER_S)
            if number >= _WARM_UP and not isinstance(answer, Failure):
                histogram.record_value(took_us)
    return histogram


if __name__ == '__main__':
    main()
