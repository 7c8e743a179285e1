"""The demo: real queries and claims against embedded stand-ins.

Everything runs in one process over real sockets on 127.0.0.1.
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
_RUSH_S: Final = 3
_URGENT_PER_S: Final = 10
_DEFERRABLE_PER_S: Final = 120
_TIMEOUT_S: Final = 2
_MS_PER_S: Final = 1_000


@dataclass(frozen=True, slots=True)
class _Sample:
    """One claim of the rush: whether it ran, and how long it took."""

    ran: bool
    took_s: Seconds


async def demo() -> Outcome:
    """Start a small deployment, use it, and summarize what happened.

    Returns
    -------
    Outcome
        Rows of topic and result.
    """
    configure_logging('ERROR')
    async with Deployment(_SHAPE) as deployment:
        async with deployment.client('demo') as client:
            rows = (
                *(await _show_query(client)),
                *(await _show_claim(deployment)),
                *(await _show_rush(client)),
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
    """Send one claim twice under one ticket, to two daemons."""
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


async def _show_rush(client: Client) -> tuple[tuple[str, str], ...]:
    """Load the ledger with more deferrable claims than it can run."""
    urgent, deferrable = await asyncio.gather(
        _load(client, 'claim-lot', _URGENT_PER_S),
        _load(client, 'report', _DEFERRABLE_PER_S),
    )
    return (
        ('closing rush: urgent claims', _describe(urgent)),
        ('closing rush: deferrable claims', _describe(deferrable)),
    )


async def _load(
    client: Client,
    route: RouteName,
    per_s: int,
) -> list[_Sample]:
    """Send claims at a fixed rate, whatever the answers take."""
    tasks = []
    for _ in range(_RUSH_S * per_s):
        tasks.append(asyncio.create_task(_sample(client, route)))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks)


async def _sample(client: Client, route: RouteName) -> _Sample:
    started_s = time.monotonic()
    answer = await client.claim(route, {'at': started_s}, _TIMEOUT_S)
    return _Sample(
        not isinstance(answer, Failure),
        time.monotonic() - started_s,
    )


def _describe(samples: list[_Sample]) -> str:
    times_s = sorted(sample.took_s for sample in samples if sample.ran)
    if not times_s:
        return f'0 of {len(samples)} ran'
    median_ms = times_s[len(times_s) // 2] * _MS_PER_S
    slowest_ms = times_s[-1] * _MS_PER_S
    return (
        f'{len(times_s)} of {len(samples)} ran, median {median_ms:.0f} ms, '
        f'slowest {slowest_ms:.0f} ms'
    )
