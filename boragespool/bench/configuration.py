"""Size and processor time of configuration changes by fleet size.

``python -m boragespool.bench.configuration``
"""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING, Final

import msgspec

from boragespool.bench.configuration_parts import (
    change_costs,
    describe_first_adoption,
    format_cost,
)
from boragespool.bench.slopes import Line, Point, fit_line
from boragespool.messages import MemberRecord
from boragespool.revisions import RevisionDocument
from boragespool.routing import DispatcherAssignment, dispatcher_of
from boragespool.settings import ServerSettings, ServiceSettings, Settings
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable

_SERVER_COUNTS: Final = (100, 500, 2_000, 8_000)
#: Backend servers for the cost of changes, up to the target fleet size.
_CHANGE_SERVER_COUNTS: Final = (1_000, 4_000, 16_000, 67_000)
#: Half of the servers are in services of this size, the others in one service.
_SMALL_SERVICE_SERVER_COUNT: Final = 30
_RUNS_PER_SIZE: Final = 3
_DATA_CENTRE_COUNT: Final = 14
_MEMBER_COUNTS: Final = (25, 50, 100, 200, 500)
_ASSIGNED_SERVER_COUNT: Final = 200
_MEMBER_COUNT_BEFORE_JOIN: Final = 100


def main(*, short: bool = False) -> None:
    """Print the cost of changes and the growth with servers and members."""
    _print_changes(
        _CHANGE_SERVER_COUNTS[:2] if short else _CHANGE_SERVER_COUNTS
    )
    sizes = _SERVER_COUNTS[:3] if short else _SERVER_COUNTS
    for name, unit, measure in (
        ('document', 'bytes', _encoded_bytes),
        ('decoding', 'us', _decoding_us),
        ('join', 'us', _join_us),
    ):
        line = _print_fit(name, unit, sizes, measure)
        print(f'{name}: {line.slope:.1f} {unit} per backend server')
    members = _MEMBER_COUNTS[:3] if short else _MEMBER_COUNTS
    line = _print_fit('assignment', 'us', members, _assignment_us)
    print(f'assignment: {line.slope:.2f} us per server and candidate')


def _print_changes(sizes: tuple[int, ...]) -> None:
    """Print the cost of a change, written in parts and as one document."""
    for size in sizes:
        before = _mixed_settings(size)
        print(f'{size} servers: {describe_first_adoption(before)}')
        changes = {
            'address of a server': _with_moved_server(before),
            'slots of a service': _with_changed_slots(before),
        }
        for name, after in changes.items():
            for cost in change_costs(before, after):
                print(f'{size:6} {name:19} {format_cost(cost)}')


def _mixed_settings(server_count: int) -> Settings:
    """Return settings with one large service and many small ones."""
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
    for first in range(half, server_count, _SMALL_SERVICE_SERVER_COUNT):
        server_names = names[first : first + _SMALL_SERVICE_SERVER_COUNT]
        services[f'service-{first:06}'] = ServiceSettings(
            5,
            40,
            {name: servers[name] for name in server_names},
        )
    return Settings(services=services)


def _with_moved_server(settings: Settings) -> Settings:
    service = settings.services['large']
    name, server = next(iter(service.servers.items()))
    moved = replace(server, address='10.255.0.1:9000')
    return replace(
        settings,
        services=settings.services
        | {'large': replace(service, servers=service.servers | {name: moved})},
    )


def _with_changed_slots(settings: Settings) -> Settings:
    name = next(reversed(settings.services))
    changed = replace(settings.services[name], slots=6)
    return replace(settings, services=settings.services | {name: changed})


def _print_fit(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Line:
    points = [
        Point(size, tuple(measure(size) for _ in range(_RUNS_PER_SIZE)))
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
            f'data-centre-{number % _DATA_CENTRE_COUNT:02}',
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
    """Return the processor time to reassign all servers after a join."""
    assignment = DispatcherAssignment()
    data_centre_by_host = {
        f'entry-{number:05}': f'data-centre-{number % _DATA_CENTRE_COUNT:02}'
        for number in range(_MEMBER_COUNT_BEFORE_JOIN)
    }
    assignment.set_candidates(data_centre_by_host)
    assignment.set_servers(
        {
            f'server-{number:06}': f'data-centre-{number % _DATA_CENTRE_COUNT:02}'
            for number in range(server_count)
        },
    )
    started_s = time.process_time()
    assignment.set_candidates(data_centre_by_host | {'new': 'data-centre-00'})
    return (time.process_time() - started_s) * 1e6


def _assignment_us(member_count: int) -> float:
    """Return the processor time to find the dispatcher of one server."""
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
    for number in range(_ASSIGNED_SERVER_COUNT):
        dispatcher_of(f'server-{number}', 'data-centre-00', members)
    return (time.process_time() - started_s) * 1e6 / _ASSIGNED_SERVER_COUNT


if __name__ == '__main__':
    main()
