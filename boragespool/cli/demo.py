"""Command ``demo``: queries and claims against a small deployment.

Daemons and stand-ins for the platform and the backend servers run in this
process and communicate over sockets on 127.0.0.1.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import msgspec

from boragespool.bench.deployment import Deployment
from boragespool.bench.shapes import DeploymentShape, ServiceShape
from boragespool.cli.outcome import Outcome
from boragespool.events import configure_logging
from boragespool.http import ExchangeFailure, HttpRequest, open_connection
from boragespool.results import Failure
from boragespool.settings import RouteSettings
from boragespool.types import Rank, WorkKind

if TYPE_CHECKING:
    from boragespool.client import Client
    from boragespool.types import Address, RouteName, Seconds

_SHAPE: Final = DeploymentShape(
    'demo',
    ('north', 'centre', 'south'),
    3,
    (
        ServiceShape('lot-finder', 10, 3, 5, 40, 6),
        ServiceShape('member-ledger', 1, 3, 2, 100, 1, 0.1),
    ),
    {
        'lots': RouteSettings(
            'lot-finder', Rank.ROUTINE, WorkKind.QUERY, 1_000
        ),
        'claim-lot': RouteSettings(
            'member-ledger', Rank.URGENT, WorkKind.CLAIM, 2_000
        ),
        'report': RouteSettings(
            'member-ledger', Rank.DEFERRABLE, WorkKind.CLAIM, 2_000
        ),
    },
)
_OVERLOAD_DURATION_S: Final = 3
_URGENT_PER_S: Final = 10
_DEFERRABLE_PER_S: Final = 120
_TIMEOUT_S: Final = 2
_MS_PER_S: Final = 1_000


@dataclass(frozen=True, slots=True)
class _ClaimTiming:
    """Whether a claim was run, and the time until its result."""

    was_run: bool
    duration_s: Seconds


async def demo() -> Outcome:
    """Start a small deployment, send requests to it and show the results.

    Returns
    -------
    Outcome
        Table rows of topic and result.
    """
    configure_logging('ERROR')
    async with Deployment(_SHAPE) as deployment:
        async with deployment.client('demo') as client:
            rows = (
                *(await _show_query(client)),
                *(await _show_claim(deployment)),
                *(await _show_overload(client)),
            )
    return Outcome(dict(rows), ('what', 'result'), rows)


async def _show_query(client: Client) -> tuple[tuple[str, str], ...]:
    started_s = time.monotonic()
    answer = await client.query('lots', {}, 1)
    took_ms = (time.monotonic() - started_s) * _MS_PER_S
    if isinstance(answer, Failure):
        return (('query over 10 shards', answer.reason),)
    return (
        (
            'query over 10 shards',
            f'{len(answer.items)} items in {took_ms:.0f} ms',
        ),
        (
            'snapshot, coverage, rank',
            f'{answer.snapshot}, {answer.coverage}, {answer.rank}',
        ),
    )


async def _show_claim(deployment: Deployment) -> tuple[tuple[str, str], ...]:
    """Send one claim with one ticket to two daemons."""
    first, second = (entry.http.address for entry in deployment.entries[:2])
    request = await _claim_request(first)
    answers = await asyncio.gather(
        _exchange(first, request),
        _exchange(second, request),
    )
    servers = deployment.backends.servers_by_name.values()
    runs = sum(server.counters.claims_run for server in servers)
    codes = ', '.join(answered['name'] for answered in answers)
    return (
        ('one claim sent to two daemons', codes),
        ('times that it really ran', str(runs)),
    )


async def _claim_request(address: Address) -> HttpRequest:
    target = '/v1/addresses?tickets=1'
    answer = await _exchange(address, HttpRequest('GET', target))
    claim = {
        'route': 'claim-lot',
        'caller': 'demo',
        'body': {'lot': 'A-17'},
        'ticket': answer['tickets'][0],
    }
    return HttpRequest('POST', '/v1/claim', msgspec.json.encode(claim))


async def _exchange(address: Address, request: HttpRequest) -> Any:
    connection = await open_connection(address, _TIMEOUT_S)
    if isinstance(connection, ExchangeFailure):
        return {'name': connection.reason}
    async with connection:
        response = await connection.exchange(request, _TIMEOUT_S)
    if isinstance(response, ExchangeFailure):
        return {'name': response.reason}
    return msgspec.json.decode(response.body)


async def _show_overload(client: Client) -> tuple[tuple[str, str], ...]:
    """Send more deferrable claims than the backend servers can run."""
    urgent, deferrable = await asyncio.gather(
        _send_at_fixed_rate(client, 'claim-lot', _URGENT_PER_S),
        _send_at_fixed_rate(client, 'report', _DEFERRABLE_PER_S),
    )
    return (
        ('closing rush: urgent claims', _summarize(urgent)),
        ('closing rush: deferrable claims', _summarize(deferrable)),
    )


async def _send_at_fixed_rate(
    client: Client,
    route: RouteName,
    per_s: int,
) -> list[_ClaimTiming]:
    """Send claims at a fixed rate, independent of response times."""
    tasks = []
    for _ in range(_OVERLOAD_DURATION_S * per_s):
        tasks.append(asyncio.create_task(_time_claim(client, route)))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks)


async def _time_claim(client: Client, route: RouteName) -> _ClaimTiming:
    started_s = time.monotonic()
    answer = await client.claim(route, {'at': started_s}, _TIMEOUT_S)
    return _ClaimTiming(
        not isinstance(answer, Failure),
        time.monotonic() - started_s,
    )


def _summarize(timings: list[_ClaimTiming]) -> str:
    times_s = sorted(timing.duration_s for timing in timings if timing.was_run)
    if not times_s:
        return f'0 of {len(timings)} ran'
    median_ms = times_s[len(times_s) // 2] * _MS_PER_S
    slowest_ms = times_s[-1] * _MS_PER_S
    return (
        f'{len(times_s)} of {len(timings)} ran, median {median_ms:.0f} ms, '
        f'slowest {slowest_ms:.0f} ms'
    )
