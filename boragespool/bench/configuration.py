"""Size and processor time of a configuration by number of backend servers.

``python -m boragespool.bench.configuration``
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import msgspec

from boragespool.bench.slopes import Line, Point, fit_line
from boragespool.messages import MemberRecord
from boragespool.revisions import RevisionDocument
from boragespool.routing import dispatcher_of
from boragespool.settings import ServerSettings, ServiceSettings, Settings
from boragespool.types import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable

_SIZES: Final = (100, 500, 2_000, 8_000)
_RUNS: Final = 3
_SITES: Final = 14
_MEMBER_SIZES: Final = (25, 50, 100, 200, 500)
_ASSIGNED_SERVERS: Final = 200


def main(*, short: bool = False) -> None:
    """Print the slopes over the number of servers and of members."""
    sizes = _SIZES[:3] if short else _SIZES
    for name, unit, measure in (
        ('document', 'bytes', _encoded_bytes),
        ('decoding', 'us', _decoding_us),
    ):
        line = _print_line(name, unit, sizes, measure)
        print(f'{name}: {line.slope:.1f} {unit} per backend server')
    members = _MEMBER_SIZES[:3] if short else _MEMBER_SIZES
    line = _print_line('assignment', 'us', members, _assignment_us)
    print(f'assignment: {line.slope:.2f} us per server and candidate')


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
    print(f'{name} line: spread {line.spread:.0%}')
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
