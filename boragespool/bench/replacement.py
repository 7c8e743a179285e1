"""Planned stops of daemons under load, compared with killing them.

``python -m boragespool.bench replacement`` stops 100 daemons, some one by one
and the rest three at once, and starts a new process as the same host each
time.
"""

from __future__ import annotations

import itertools
import os
import signal
import statistics
import sys
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import datetime
from typing import TYPE_CHECKING, Final

from boragespool.bench.process_fleet import ProcessFleet
from boragespool.bench.processes import exit_on_sigterm
from boragespool.bench.replacement_load import (
    ClaimComparison,
    LoadMix,
    ReplacementLoad,
    Service,
    compare_claims,
)
from boragespool.bench.shapes import COOPERATIVE
from boragespool.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from boragespool.bench.processes import RunningProcess
    from boragespool.types import HostName, Seconds

_STOPS: Final = 100
_SHORT_STOPS: Final = 9
_AT_ONCE: Final = 3
#: Share of the stops that is done one by one, and planned stops per killed
#: daemon of the baseline.
_ONE_BY_ONE_SHARE: Final = 0.25
_STOPS_PER_KILL: Final = 10
_KEEP_S: Final = 0.5
#: Load before the first stop, in which connections open and callers learn
#: addresses.
_WARM_UP_S: Final = 2
_MIX: Final = LoadMix('lots', 'claim-lot', queries_per_s=6, claims_per_s=10)
_TIME_FORMAT: Final = '%Y-%m-%d %H:%M:%S,%f'
#: Ends of the phases of a graceful stop, after the signal.
_PHASES: Final = (
    ('signal handled', Event.STOP_REQUESTED),
    ('callers forget the address', Event.STOP_LEFT_ADDRESSES),
    ('nothing in flight', Event.STOP_DRAINED),
    ('records handed over', Event.STOP_HANDED_OVER),
    ('closed', Event.PROCESS_STOPPED),
)
#: Signals that end a daemon show as negative exit codes.
_KILLED: Final = -signal.SIGKILL


@dataclass(slots=True)
class Part:
    """Figures of one part of the measurement.

    Attributes
    ----------
    phases_s : list of tuple of float
        Duration of each phase of each graceful stop, in seconds.
    """

    name: str
    service: Service
    truth: ClaimComparison
    exit_codes: Counter[int] = field(default_factory=Counter)
    phases_s: list[tuple[Seconds, ...]] = field(default_factory=list)
    duration_s: Seconds = 0

    @property
    def meets_goals(self) -> bool:
        """Whether no request was interrupted and no claim lost."""
        truth = self.truth
        lost = (
            truth.lost + truth.unknown + truth.false_not_run + truth.duplicated
        )
        missed = sum(self.service.broken.values()) + sum(
            self.service.failed.values()
        )
        return not lost and not missed and set(self.exit_codes) == {0}


def phase_times_s(
    signalled_s: Seconds,
    events: Iterable[Mapping[str, object]],
) -> tuple[Seconds, ...]:
    """Return the duration of each phase of one graceful stop.

    Parameters
    ----------
    signalled_s : float
        Wall time of the signal, in seconds.
    events : iterable of mapping
        Log of the daemon.

    Returns
    -------
    tuple of float
        In the order of the phases; empty if an event is missing.
    """
    logged = {event['event']: str(event['asctime']) for event in events}
    if not all(number in logged for _, number in _PHASES):
        return ()
    ends_s = [signalled_s] + [
        datetime.strptime(logged[number], _TIME_FORMAT).timestamp()
        for _, number in _PHASES
    ]
    return tuple(after - before for before, after in itertools.pairwise(ends_s))


def measure(
    fleet: ProcessFleet,
    name: str,
    rounds: Sequence[tuple[HostName, ...]],
    number: int,
) -> Part:
    """Replace the daemons of each round at once while callers send.

    Parameters
    ----------
    fleet : ProcessFleet
        Running fleet.
    name : str
        Name of the part; no two parts of a fleet have the same.
    rounds : sequence of tuple of str
        Hosts that are replaced, round by round.
    number : int
        Signal that ends a daemon.
    """
    began_s = time.monotonic()
    exit_codes: Counter[int] = Counter()
    phases_s = []
    load = ReplacementLoad(fleet, _MIX, name)
    with load:
        time.sleep(_WARM_UP_S)
        for hosts in rounds:
            stopped = [fleet.daemons_by_host[host] for host in hosts]
            signalled_s = time.time()
            exit_codes.update(fleet.replace_daemons(hosts, number))
            phases_s += [_phases_of(entry, signalled_s) for entry in stopped]
    counts: Counter[str] = Counter()
    for report in fleet.reports().values():
        counts.update(report['counters']['claims_run_by_id'])
    return Part(
        name,
        load.service,
        compare_claims(load.service.run_by_claim, counts),
        exit_codes,
        [phases for phases in phases_s if phases],
        time.monotonic() - began_s,
    )


def show(part: Part) -> None:
    """Print the figures of one part."""
    service = part.service
    truth = part.truth
    print(
        f'{part.name}: exit codes of the daemons {dict(part.exit_codes)}, '
        f'{part.duration_s:.0f} s',
    )
    print(
        f'  {service.offered} requests; exchanges interrupted '
        f'{dict(service.broken)}, requests without a complete answer by '
        f'result code {dict(service.failed)}',
    )
    print(
        f'  {len(service.run_by_claim)} claims: {truth.lost} lost, '
        f'{truth.unknown} unknown, {truth.false_not_run} run after not_run, '
        f'{truth.duplicated} run twice',
    )
    print(
        f'  slowest answer {service.slowest_s:.2f} s, driver lag at most '
        f'{service.lag_s * 1e3:.0f} ms',
    )
    for number, (phase, _) in enumerate(_PHASES):
        times_s = sorted(times[number] for times in part.phases_s)
        if times_s:
            median_s = statistics.median(times_s)
            print(f'  {phase}: median {median_s:.3f} s, {times_s[-1]:.3f} s')


def plan_rounds(
    hosts: Sequence[HostName],
    stops: int,
    at_once: int,
) -> tuple[tuple[HostName, ...], ...]:
    """Distribute stops over hosts in turn, some at the same time."""
    turn = tuple(itertools.islice(itertools.cycle(hosts), stops))
    return tuple(
        turn[start : start + at_once] for start in range(0, stops, at_once)
    )


def main(arguments: Sequence[str] = (), *, short: bool = False) -> int:
    """Print the figures of planned stops and of killed daemons.

    Parameters
    ----------
    arguments : sequence of str
        Number of planned stops.
    short : bool
        Whether to do few of them.

    Returns
    -------
    int
        0 if no planned stop interrupted a request or lost a claim, else 1.
    """
    stops = _SHORT_STOPS if short else _STOPS
    if arguments:
        stops = int(arguments[0])
    single = max(1, int(stops * _ONE_BY_ONE_SHARE))
    print(f'load average {os.getloadavg()[0]:.1f}, keep_s {_KEEP_S}')
    with ProcessFleet(COOPERATIVE) as fleet:
        addresses = replace(fleet.settings.addresses, keep_s=_KEEP_S)
        fleet.apply(replace(fleet.settings, addresses=addresses))
        hosts = tuple(fleet.daemons_by_host)
        kills = max(1, stops // _STOPS_PER_KILL)
        plans = (
            ('killed', plan_rounds(hosts, kills, 1), signal.SIGKILL),
            ('one by one', plan_rounds(hosts, single, 1), signal.SIGTERM),
            (
                'three at once',
                plan_rounds(hosts, stops - single, _AT_ONCE),
                signal.SIGTERM,
            ),
        )
        parts = []
        for name, rounds, number in plans:
            parts.append(measure(fleet, name, rounds, number))
            show(parts[-1])
    planned = [part for part in parts if _KILLED not in part.exit_codes]
    return 0 if all(part.meets_goals for part in planned) else 1


def _phases_of(
    entry: RunningProcess,
    signalled_s: Seconds,
) -> tuple[Seconds, ...]:
    return phase_times_s(signalled_s, entry.events())


if __name__ == '__main__':
    exit_on_sigterm()
    sys.exit(main(sys.argv[1:]))
