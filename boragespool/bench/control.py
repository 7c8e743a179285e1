"""Cost of the control traffic of idle daemons by fleet size.

``python -m boragespool.bench.control`` starts real processes and prints the
processor time and memory of one daemon, the frames and bytes that it sends to
its peers, the number of store calls, and the time until a revision is in
force. ``--sizes 3,7`` sets the numbers of daemons.
"""

from __future__ import annotations

import pathlib
import statistics
import sys
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, Final
from urllib.request import urlopen

from boragespool.bench.process_fleet import ProcessFleet
from boragespool.bench.processes import fetch
from boragespool.bench.shapes import COOPERATIVE
from boragespool.bench.slopes import Point, fit_line

if TYPE_CHECKING:
    from boragespool.bench.processes import RunningProcess
    from boragespool.types import Seconds

_ENTRY_COUNTS: Final = (3, 7, 14, 28)
#: Time for the changes after a start to spread before the measurement, in
#: seconds. A new dispatcher replaces the records of a live one after 10 s.
_SETTLE_S: Final = 20
_SAMPLE_COUNT: Final = 3
_SAMPLE_S: Final = 5
_REVISION_COUNT: Final = 3
_FETCH_TIMEOUT_S: Final = 5
_SIZES_FLAG: Final = '--sizes'


@dataclass(frozen=True, slots=True)
class _FleetCost:
    """Measurements of one fleet.

    Attributes
    ----------
    core_shares : tuple of float
        Share of a core that a daemon used, by sample and daemon.
    bytes_per_s : tuple of float
        Bytes sent to peers per second, by daemon.
    frames_per_s : float
        Median number of frames sent to peers per second.
    memory_mb : float
        Median resident memory of a daemon.
    store_calls_per_s : float
        Store calls per second of all daemons together.
    apply_times_s : tuple of float
        Time until a revision was in force on all daemons, by revision.
    """

    core_shares: tuple[float, ...]
    bytes_per_s: tuple[float, ...]
    frames_per_s: float
    memory_mb: float
    store_calls_per_s: float
    apply_times_s: tuple[Seconds, ...]


def main(
    *,
    short: bool = False,
    sizes: tuple[int, ...] = _ENTRY_COUNTS,
) -> None:
    """Measure fleets of several sizes with the same backend servers."""
    sizes = sizes[:2] if short else sizes
    costs = {size: _measure(size) for size in sizes}
    for size, cost in costs.items():
        share = statistics.median(cost.core_shares)
        print(
            f'{size:3} daemons: {share:.2%} of a core '
            f'({min(cost.core_shares):.2%} to {max(cost.core_shares):.2%}), '
            f'{statistics.median(cost.bytes_per_s):.0f} bytes/s '
            f'({min(cost.bytes_per_s):.0f} to {max(cost.bytes_per_s):.0f}) '
            f'in {cost.frames_per_s:.1f} frames/s, '
            f'{cost.memory_mb:.0f} MB each; '
            f'{cost.store_calls_per_s:.1f} store calls/s in all; '
            f'revision in force everywhere in '
            f'{max(cost.apply_times_s):.2f} s',
        )
    if len(costs) < 2:
        return
    line = fit_line(
        [Point(count, costs[count].core_shares) for count in sizes],
    )
    print(
        f'line: {line.intercept:.3%} of a core + '
        f'{line.slope:.4%} per daemon in the fleet, '
        f'spread {line.max_relative_error:.0%}',
    )


def _measure(size: int) -> _FleetCost:
    shape = replace(COOPERATIVE, daemon_count=size)
    with ProcessFleet(shape) as fleet:
        time.sleep(_SETTLE_S)
        entries = tuple(fleet.daemons_by_host.values())
        calls_before = _store_call_count(fleet)
        sent_before = [_sent_totals(entry) for entry in entries]
        started_s = time.monotonic()
        shares: list[float] = []
        for _ in range(_SAMPLE_COUNT):
            shares.extend(_core_shares(entries))
        elapsed_s = time.monotonic() - started_s
        calls = _store_call_count(fleet) - calls_before
        sent = [
            (frames - before[0], size_bytes - before[1])
            for (frames, size_bytes), before in zip(
                map(_sent_totals, entries),
                sent_before,
                strict=True,
            )
        ]
        return _FleetCost(
            tuple(shares),
            tuple(size_bytes / elapsed_s for _, size_bytes in sent),
            statistics.median(frames for frames, _ in sent) / elapsed_s,
            statistics.median(_memory_mb(entry) for entry in entries),
            calls / (_SAMPLE_COUNT * _SAMPLE_S),
            tuple(_apply_time_s(fleet) for _ in range(_REVISION_COUNT)),
        )


def _core_shares(entries: tuple[RunningProcess, ...]) -> list[float]:
    """Return the share of a core that each daemon uses in one sample."""
    before = [entry.processor_s() for entry in entries]
    time.sleep(_SAMPLE_S)
    return [
        (entry.processor_s() - before_s) / _SAMPLE_S
        for entry, before_s in zip(entries, before, strict=True)
    ]


def _memory_mb(entry: RunningProcess) -> float:
    """Return the resident memory of a process in units of 1,024 kB."""
    status = pathlib.Path(f'/proc/{entry.process.pid}/status').read_text(
        encoding='ascii',
    )
    resident = status.partition('VmRSS:')[2].split()[0]
    return int(resident) / 1_024


def _sent_totals(entry: RunningProcess) -> tuple[float, float]:
    """Return how many frames and bytes a daemon has sent to its peers."""
    url = f'http://{entry.address}/metrics'
    with urlopen(url, timeout=_FETCH_TIMEOUT_S) as response:
        text = response.read().decode()
    values = dict(
        line.split()
        for line in text.splitlines()
        if line.startswith('boragespool_peer_') and '_total ' in line
    )
    return (
        float(values['boragespool_peer_frames_total']),
        float(values['boragespool_peer_bytes_total']),
    )


def _store_call_count(fleet: ProcessFleet) -> int:
    answer: Any = fetch(fleet.platform.address, '/v1/control')[1]
    return sum(answer['calls'].values())


def _apply_time_s(fleet: ProcessFleet) -> Seconds:
    """Apply a revision and return the time until all daemons use it."""
    started_s = time.monotonic()
    fleet.apply(fleet.settings)
    return time.monotonic() - started_s


def _parse_sizes(arguments: list[str]) -> tuple[int, ...]:
    if arguments and arguments[0] == _SIZES_FLAG:
        return tuple(map(int, arguments[1].split(',')))
    return _ENTRY_COUNTS


if __name__ == '__main__':
    main(sizes=_parse_sizes(sys.argv[1:]))
