"""Latency and processor time that the query tier adds to queries.

``python -m boragespool.bench.added_latency`` sends queries over 1, 10 and 30
shards, one after another, to real processes and compares their latency with
the service time of the backend servers.
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
#: Number of queries by number of shards. The latency goal applies to the
#: largest number of shards.
_QUERY_COUNTS_BY_SHARDS: Final = MappingProxyType({1: 200, 10: 200, 30: 400})
_WARM_UP_COUNT: Final = 100
_SHORT_QUERY_COUNT: Final = 100
_IDLE_S: Final = 2
_MAX_LATENCY_US: Final = 2_000_000
_HISTOGRAM_DIGITS: Final = 3
_US_PER_S: Final = 1_000_000
_MS_PER_S: Final = 1_000


def main(*, short: bool = False) -> None:
    """Print the added latency and processor time by number of shards."""
    for shards, full_count in _QUERY_COUNTS_BY_SHARDS.items():
        count = _SHORT_QUERY_COUNT if short else full_count
        with ProcessFleet(_shape(shards)) as fleet:
            print(asyncio.run(_measure(fleet, shards, count)), flush=True)


def _shape(shards: int) -> DeploymentShape:
    """Return a deployment of 3 daemons, with 3 servers for each shard."""
    return DeploymentShape(
        'wide',
        ('north', 'centre', 'south'),
        3,
        (ServiceShape('wide', shards, 3, 5, 40, 6, _SERVICE_TIME_S),),
        {'wide': RouteSettings('wide', Rank.ROUTINE, WorkKind.QUERY, 1_000)},
    )


async def _measure(fleet: ProcessFleet, shards: int, count: int) -> str:
    """Measure one number of shards and return a line with the results.

    The processor time excludes what idle daemons use: they poll 3 backend
    servers for each shard every second.
    """
    async with Client(ClientOptions('bench', fleet.addresses)) as client:
        await _send_queries(client, _WARM_UP_COUNT)
        before_idle = _read_clocks(fleet)
        await asyncio.sleep(_IDLE_S)
        after_idle = _read_clocks(fleet)
        histogram = await _send_queries(client, count)
        after_queries = _read_clocks(fleet)
    idle_share = (after_idle[1] - before_idle[1]) / (
        after_idle[0] - before_idle[0]
    )
    cpu_s = (
        after_queries[1]
        - after_idle[1]
        - idle_share * (after_queries[0] - after_idle[0])
    )
    cpu_ms = cpu_s / count * _MS_PER_S
    p50_ms, p99_ms = (
        histogram.get_value_at_percentile(percentile) / _MS_PER_S
        for percentile in (50, 99)
    )
    service_ms = _SERVICE_TIME_S * _MS_PER_S
    return (
        f'{shards} shards: p50 {p50_ms:.1f} ms, p99 {p99_ms:.1f} ms; '
        f'{p50_ms - service_ms:.1f} and {p99_ms - service_ms:.1f} ms more '
        f'than the backend servers take (goal at p99: under 5 ms); '
        f'daemons {cpu_ms:.1f} ms per query, {cpu_ms / shards:.2f} ms per '
        f'shard, and {idle_share:.1%} of a core when idle'
    )


def _read_clocks(fleet: ProcessFleet) -> tuple[Seconds, Seconds]:
    """Return the monotonic time and the processor time of all daemons."""
    daemons = fleet.daemons_by_host.values()
    return time.monotonic(), sum(daemon.processor_s() for daemon in daemons)


async def _send_queries(client: Client, count: int) -> HdrHistogram:
    """Send queries one after another.

    Returns
    -------
    HdrHistogram
        Latencies of the queries that did not fail, in microseconds.
    """
    histogram = HdrHistogram(1, _MAX_LATENCY_US, _HISTOGRAM_DIGITS)
    for number in range(count):
        started_s = time.monotonic()
        answer = await client.query('wide', {'match': str(number)}, 1)
        latency_us = int((time.monotonic() - started_s) * _US_PER_S)
        if not isinstance(answer, Failure):
            histogram.record_value(latency_us)
    return histogram


if __name__ == '__main__':
    main()
