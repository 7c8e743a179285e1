"""Latency and processor time that the tier adds to queries.

``python -m boragespool.bench.added_latency`` sends queries over 1, 10 and 30
shards, one after another, to real processes, and compares them with the
backend servers' own time.
"""

from __future__ import annotations

import asyncio
import time
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

from boragespool.bench.process_fleet import ProcessFleet
from boragespool.bench.shapes import DeploymentShape, ServiceShape
from boragespool.client import Client, ClientOptions
from boragespool.results import Failure
from boragespool.settings import RouteSettings
from boragespool.types import Rank, WorkKind

if TYPE_CHECKING:
    from boragespool.types import Seconds

_SERVICE_TIME_S: Final = 0.02
#: Queries by number of shards. The goal is for the widest.
_COUNT_BY_SHARDS: Final = MappingProxyType({1: 200, 10: 200, 30: 400})
_WARM_UP: Final = 100
_SHORT_QUERIES: Final = 100
_IDLE_S: Final = 2
_LARGEST_US: Final = 2_000_000
_DIGITS: Final = 3
_US_PER_S: Final = 1_000_000
_MS_PER_S: Final = 1_000


def main(*, short: bool = False) -> None:
    """Print added latency and processor time by number of shards."""
    for shards, usual_count in _COUNT_BY_SHARDS.items():
        count = _SHORT_QUERIES if short else usual_count
        with ProcessFleet(_shape(shards)) as fleet:
            print(asyncio.run(_measure(fleet, shards, count)), flush=True)


def _shape(shards: int) -> DeploymentShape:
    """Return 3 daemons and 3 backend servers for each shard."""
    return DeploymentShape(
        'wide',
        ('north', 'centre', 'south'),
        3,
        (ServiceShape('wide', shards, 3, 5, 40, 6, _SERVICE_TIME_S),),
        {'wide': RouteSettings('wide', Rank.ROUTINE, WorkKind.QUERY, 1_000)},
    )


async def _measure(fleet: ProcessFleet, shards: int, count: int) -> str:
    """Return a line with the figures of one width.

    The processor time of the daemons is that of the run less what idle
    daemons use, which poll 3 backend servers for each shard every second.
    """
    async with Client(ClientOptions('bench', fleet.addresses)) as client:
        await _query(client, _WARM_UP)
        began = _moment(fleet)
        await asyncio.sleep(_IDLE_S)
        idle = _moment(fleet)
        histogram = await _query(client, count)
        ended = _moment(fleet)
    idle_share = (idle[1] - began[1]) / (idle[0] - began[0])
    used_s = ended[1] - idle[1] - idle_share * (ended[0] - idle[0])
    used_ms = used_s / count * _MS_PER_S
    p50_ms, p99_ms = (
        histogram.get_value_at_percentile(percentile) / _MS_PER_S
        for percentile in (50, 99)
    )
    service_ms = _SERVICE_TIME_S * _MS_PER_S
    return (
        f'{shards} shards: p50 {p50_ms:.1f} ms, p99 {p99_ms:.1f} ms; '
        f'{p50_ms - service_ms:.1f} and {p99_ms - service_ms:.1f} ms more '
        f'than the backend servers take (goal at p99: under 5 ms); '
        f'daemons {used_ms:.1f} ms per query, {used_ms / shards:.2f} ms per '
        f'shard, and {idle_share:.1%} of a core when idle'
    )


def _moment(fleet: ProcessFleet) -> tuple[Seconds, Seconds]:
    """Return the time and the processor time of all daemons, in seconds."""
    entries = fleet.daemons_by_host.values()
    return time.monotonic(), sum(entry.processor_s() for entry in entries)


async def _query(client: Client, count: int) -> HdrHistogram:
    """Send queries one after another; return complete ones' latencies."""
    histogram = HdrHistogram(1, _LARGEST_US, _DIGITS)
    for number in range(count):
        started_s = time.monotonic()
        answer = await client.query('wide', {'match': str(number)}, 1)
        took_us = int((time.monotonic() - started_s) * _US_PER_S)
        if not isinstance(answer, Failure):
            histogram.record_value(took_us)
    return histogram


if __name__ == '__main__':
    main()
