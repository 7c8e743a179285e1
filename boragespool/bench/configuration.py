"""Size and processor time of a configuration by number of backend servers.

``python -m boragespool.bench.configuration``
"""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING, Final

import msgspec

from boragespool.bench.configuration_parts import (
    change_costs,
    describe,
    first_adoption,
)
from boragespool.bench.slopes import Line, Point, fit_line
from boragespool.messages import MemberRecord
from boragespool.revisions import RevisionDocument
from boragespool.routing import DispatcherAssignment, dispatcher_of
from boragespool.settings import ServerSettings, ServiceSettings, Settings
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable

_SIZES: Final = (100, 500, 2_000, 8_000)
#: Backend servers, up to the number of the users' target.
_CHANGE_SIZES: Final = (1_000, 4_000, 16_000, 67_000)
#: Servers of a service; the rest of the servers are in one large service.
_SMALL_SERVICE: Final = 30
_RUNS: Final = 3
_SITES: Final = 14
_MEMBER_SIZES: Final = (25, 50, 100, 200, 500)
_ASSIGNED_SERVERS: Final = 200
_JOINED_MEMBERS: Final = 100


def main(*, short: bool = False) -> None:
    """Print the slopes over the number of servers and of members."""
    _print_changes(_CHANGE_SIZES[:2] if short else _CHANGE_SIZES)
    sizes = _SIZES[:3] if short else _SIZES
    for name, unit, measure in (
        ('document', 'bytes', _encoded_bytes),
        ('decoding', 'us', _decoding_us),
        ('join', 'us', _join_us),
    ):
        line = _print_line(name, unit, sizes, measure)
        print(f'{name}: {line.slope:.1f} {unit} per backend server')
    members = _MEMBER_SIZES[:3] if short else _MEMBER_SIZES
    line = _print_line('assignment', 'us', members, _assignment_us)
    print(f'assignment: {line.slope:.2f} us per server and candidate')


def _print_changes(sizes: tuple[int, ...]) -> None:
    """Print what one change costs, in parts and as a whole document."""
    for size in sizes:
        before = _settings(size)
        print(f'{size} servers: {first_adoption(before)}')
        changes = {
            'address of a server': _with_server(before),
            'slots of a service': _with_slots(before),
        }
        for name, after in changes.items():
            for cost in change_costs(before, after):
                print(f'{size:6} {name:19} {describe(cost)}')


def _settings(server_count: int) -> Settings:
    """Half of the servers in one service, the others in small services."""
    servers = _document(server_count).settings.services['all'].servers
    names = list(servers)
    half = server_count // 2
    services = {
        'large': ServiceSettings(
            5,
            40,
            {name: servers[name] for name in names[:half]},
        ),
    }
    for first in range(half, server_count, _SMALL_SERVICE):
        chosen = names[first : first + _SMALL_SERVICE]
        services[f'service-{first:06}'] = ServiceSettings(
            5,
            40,
            {name: servers[name] for name in chosen},
        )
    return Settings(services=services)


def _with_server(settings: Settings) -> Settings:
    service = settings.services['large']
    name, server = next(iter(service.servers.items()))
    moved = replace(server, address='10.255.0.1:9000')
    return replace(
        settings,
        services=settings.services
        | {'large': replace(service, servers=service.servers | {name: moved})},
    )


def _with_slots(settings: Settings) -> Settings:
    name = next(reversed(settings.services))
    changed = replace(settings.services[name], slots=6)
    return replace(settings, services=settings.services | {name: changed})


def _print_line(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Line:
    points = [
        Point(size, tuple(measure(size) for _ in range(_RUNS)))
        for size in sizes
    ]
    for point in points:
        print(f'{name} {point.size:6.0f}: {point.median:12.1f} {unit}')
    line = fit_line(points)
    print(f'{name} line: spread {line.max_relative_error:.0%}')
    return line


def _document(server_count: int) -> RevisionDocument:
    servers = {
        f'service-{number // 30:04}-{number % 30:02}': ServerSettings(
            f'10.{number // 65_536}.{number // 256 % 256}.{number % 256}:9000',
            f'data-centre-{number % _SITES:02}',
            f'region-{number % 5}',
            f'host-{number:06}',
        )
        for number in range(server_count)
    }
    service = ServiceSettings(5, 40, servers)
    return RevisionDocument(1, 'change', Settings(services={'all': service}))


def _encoded_bytes(server_count: int) -> float:
    return len(msgspec.json.encode(_document(server_count)))


def _decoding_us(server_count: int) -> float:
    encoded = msgspec.json.encode(_document(server_count))
    started_s = time.process_time()
    msgspec.json.decode(encoded, type=RevisionDocument)
    return (time.process_time() - started_s) * 1e6


def _join_us(server_count: int) -> float:
    """Return the time to reassign all servers when one daemon joins."""
    assignment = DispatcherAssignment()
    site_by_host = {
        f'entry-{number:05}': f'data-centre-{number % _SITES:02}'
        for number in range(_JOINED_MEMBERS)
    }
    assignment.set_candidates(site_by_host)
    assignment.set_servers(
        {
            f'server-{number:06}': f'data-centre-{number % _SITES:02}'
            for number in range(server_count)
        },
    )
    started_s = time.process_time()
    assignment.set_candidates(site_by_host | {'new': 'data-centre-00'})
    return (time.process_time() - started_s) * 1e6


def _assignment_us(member_count: int) -> float:
    """Return the time to find the dispatcher of one server."""
    members = {
        f'entry-{number:05}': MemberRecord(
            f'entry-{number:05}',
            1,
            1,
            MemberStatus.ALIVE,
            'data-centre-00',
            'region-0',
            '10.0.0.1:7000',
            '10.0.0.1:7001',
        )
        for number in range(member_count)
    }
    started_s = time.process_time()
    for number in range(_ASSIGNED_SERVERS):
        dispatcher_of(f'server-{number}', 'data-centre-00', members)
    return (time.process_time() - started_s) * 1e6 / _ASSIGNED_SERVERS


if __name__ == '__main__':
    main()
