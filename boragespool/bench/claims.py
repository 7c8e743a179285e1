"""Memory and processor time of claim records and tickets.

``python -m boragespool.bench.claims``
"""

from __future__ import annotations

import time
import tracemalloc
from typing import Final

from boragespool.bench.slopes import Point, fit_line
from boragespool.claims import (
    ClaimRecordTable,
    IssuerIdentity,
    format_ticket,
    issue_ticket,
    parse_ticket,
    record_outcome,
    record_start,
    starting_record,
)

_RECORD_COUNTS: Final = (1_000, 5_000, 20_000, 50_000)
_RUNS_PER_SIZE: Final = 3
_ISSUER: Final = IssuerIdentity(
    'entry-1', 1_700_000_000_000, 'north', b'k' * 32
)


def main(*, short: bool = False) -> None:
    """Print memory per record and processor time per record and ticket.

    Each is the slope of a line fitted over several record counts.
    """
    sizes = _RECORD_COUNTS[:3] if short else _RECORD_COUNTS
    memory_points = [
        Point(size, tuple(_table_bytes(size) for _ in range(_RUNS_PER_SIZE)))
        for size in sizes
    ]
    for point in memory_points:
        print(f'{point.size:7.0f} records: {point.median / 1e6:8.2f} MB')
    line = fit_line(memory_points)
    print(
        f'line: {line.slope:.0f} bytes per record, spread {line.max_relative_error:.1%}'
    )
    time_points = [
        Point(size, tuple(_witness_cost_s(size) for _ in range(_RUNS_PER_SIZE)))
        for size in sizes
    ]
    line = fit_line(time_points)
    print(
        f'witness: {line.slope * 1e6:.1f} us for start and outcome, '
        f'spread {line.max_relative_error:.0%}',
    )
    time_points = [
        Point(size, tuple(_ticket_cost_s(size) for _ in range(_RUNS_PER_SIZE)))
        for size in sizes
    ]
    line = fit_line(time_points)
    print(
        f'ticket: {line.slope * 1e6:.1f} us to issue and parse, '
        f'spread {line.max_relative_error:.0%}',
    )


def _table_bytes(count: int) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = _fill_table(count)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used if len(table) == count else 0


def _witness_cost_s(count: int) -> float:
    started_s = time.process_time()
    _fill_table(count)
    return time.process_time() - started_s


def _fill_table(count: int) -> ClaimRecordTable:
    table = ClaimRecordTable()
    for sequence in range(count):
        ticket = issue_ticket(_ISSUER, sequence, None, 0)
        record = starting_record(ticket, sequence)
        record_start(table, record, 0)
        record_outcome(table, record, 0)
    return table


def _ticket_cost_s(count: int) -> float:
    started_s = time.process_time()
    for sequence in range(count):
        parse_ticket(format_ticket(issue_ticket(_ISSUER, sequence, None, 0)))
    return time.process_time() - started_s


if __name__ == '__main__':
    main()
