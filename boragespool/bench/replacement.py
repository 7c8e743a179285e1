"""Effect of planned stops of daemons under load, compared with kills.

``python -m boragespool.bench replacement`` stops 100 daemons, some one by one
and the rest three at a time, and replaces each by a new process of the same
host.
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
    CallerResults,
    ClaimComparison,
    LoadRates,
    ReplacementLoad,
    compare_claims,
)
from boragespool.bench.shapes import COOPERATIVE
from boragespool.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from boragespool.bench.processes import RunningProcess
    from boragespool.types import HostName, Seconds

_STOP_COUNT: Final = 100
_SHORT_STOP_COUNT: Final = 9
_CONCURRENT_STOPS: Final = 3
#: Share of the planned stops that happen one at a time.
_SINGLE_STOP_SHARE: Final = 0.25
#: Planned stops for each daemon that the baseline kills.
_STOPS_PER_KILL: Final = 10
#: Time for which callers may cache daemon addresses, in this benchmark.
_ADDRESS_KEEP_S: Final = 0.5
#: Load before the first stop, while callers open connections and learn
#: addresses.
_WARM_UP_S: Final = 2
_RATES: Final = LoadRates('lots', 'claim-lot', queries_per_s=6, claims_per_s=10)
_TIME_FORMAT: Final = '%Y-%m-%d %H:%M:%S,%f'
#: Phases of a graceful stop in order, each with the event that ends it. The
#: first one begins with the signal.
_PHASES: Final = (
    ('signal handled', Event.STOP_REQUESTED),
    ('callers forget the address', Event.STOP_LEFT_ADDRESSES),
    ('nothing in flight', Event.STOP_DRAINED),
    ('records handed over', Event.STOP_HANDED_OVER),
    ('closed', Event.PROCESS_STOPPED),
)
#: Exit code of a killed daemon; `Popen` negates the signal number.
_KILLED: Final = -signal.SIGKILL


@dataclass(slots=True)
class RunResult:
    """Results of one run, which stops daemons in one way under load.

    Attributes
    ----------
    callers : CallerResults
        Results that the callers saw.
    claims : ClaimComparison
        Answers to claims, compared with their runs.
    exit_codes : Counter of int
        Number of stopped daemons by exit code.
    phases_s : list of tuple of float
        Duration of each phase, for each graceful stop, in seconds.
    duration_s : float
        Duration of the run, in seconds.
    """

    name: str
    callers: CallerResults
    claims: ClaimComparison
    exit_codes: Counter[int] = field(default_factory=Counter)
    phases_s: list[tuple[Seconds, ...]] = field(default_factory=list)
    duration_s: Seconds = 0

    @property
    def meets_goals(self) -> bool:
        """Whether all requests succeeded and all daemons exited with 0."""
        claims = self.claims
        wrong_claim_count = (
            claims.lost
            + claims.unknown
            + claims.false_not_run
            + claims.duplicated
        )
        failure_count = sum(self.callers.interrupted_by_kind.values()) + sum(
            self.callers.failures_by_code.values()
        )
        return (
            not wrong_claim_count
            and not failure_count
            and set(self.exit_codes) == {0}
        )


def phase_times_s(
    signalled_s: Seconds,
    events: Iterable[Mapping[str, object]],
) -> tuple[Seconds, ...]:
    """Return the duration of each phase of one graceful stop.

    Parameters
    ----------
    signalled_s : float
        Wall time at which the signal was sent, in seconds.
    events : iterable of mapping
        Log events of the daemon.

    Returns
    -------
    tuple of float
        Durations in the order of the phases, or empty if the log lacks the
        event at the end of a phase.
    """
    logged = {event['event']: str(event['asctime']) for event in events}
    if not all(event in logged for _, event in _PHASES):
        return ()
    ends_s = [signalled_s] + [
        datetime.strptime(logged[event], _TIME_FORMAT).timestamp()
        for _, event in _PHASES
    ]
    return tuple(after - before for before, after in itertools.pairwise(ends_s))


def measure(
    fleet: ProcessFleet,
    name: str,
    rounds: Sequence[tuple[HostName, ...]],
    signal_number: int,
) -> RunResult:
    """Replace daemons round by round under load.

    Parameters
    ----------
    fleet : ProcessFleet
        Running deployment.
    name : str
        Name of the run, unique in the fleet, since claim ids contain it.
    rounds : sequence of tuple of str
        Hosts whose daemons are replaced at the same time, by round.
    signal_number : int
        Signal that stops the daemons.
    """
    began_s = time.monotonic()
    exit_codes: Counter[int] = Counter()
    phases_s = []
    load = ReplacementLoad(fleet, _RATES, name)
    with load:
        time.sleep(_WARM_UP_S)
        for hosts in rounds:
            stopped = [fleet.daemons_by_host[host] for host in hosts]
            signalled_s = time.time()
            exit_codes.update(fleet.replace_daemons(hosts, signal_number))
            phases_s += [
                _daemon_phase_times_s(daemon, signalled_s) for daemon in stopped
            ]
    counts: Counter[str] = Counter()
    for report in fleet.server_reports().values():
        counts.update(report['counters']['claims_run_by_id'])
    return RunResult(
        name,
        load.results,
        compare_claims(load.results.run_states_by_claim, counts),
        exit_codes,
        [phases for phases in phases_s if phases],
        time.monotonic() - began_s,
    )


def show(result: RunResult) -> None:
    """Print the result of one run."""
    callers = result.callers
    claims = result.claims
    print(
        f'{result.name}: exit codes of the daemons {dict(result.exit_codes)}, '
        f'{result.duration_s:.0f} s',
    )
    print(
        f'  {callers.request_count} requests; exchanges interrupted '
        f'{dict(callers.interrupted_by_kind)}, requests without a complete '
        f'answer by result code {dict(callers.failures_by_code)}',
    )
    print(
        f'  {len(callers.run_states_by_claim)} claims: {claims.lost} lost, '
        f'{claims.unknown} unknown, {claims.false_not_run} run after not_run, '
        f'{claims.duplicated} run twice',
    )
    print(
        f'  slowest answer {callers.max_latency_s:.2f} s, driver lag at most '
        f'{callers.max_lag_s * 1e3:.0f} ms',
    )
    for number, (phase, _) in enumerate(_PHASES):
        times_s = sorted(times[number] for times in result.phases_s)
        if times_s:
            median_s = statistics.median(times_s)
            print(f'  {phase}: median {median_s:.3f} s, {times_s[-1]:.3f} s')


def plan_rounds(
    hosts: Sequence[HostName],
    stop_count: int,
    concurrent_count: int,
) -> tuple[tuple[HostName, ...], ...]:
    """Distribute stops over hosts in turn; return the hosts of each round."""
    stop_order = tuple(itertools.islice(itertools.cycle(hosts), stop_count))
    return tuple(
        stop_order[start : start + concurrent_count]
        for start in range(0, stop_count, concurrent_count)
    )


def main(arguments: Sequence[str] = (), *, short: bool = False) -> int:
    """Print the results of planned stops and of killed daemons.

    Parameters
    ----------
    arguments : sequence of str
        Number of planned stops, by default 100.
    short : bool
        Whether to stop fewer daemons.

    Returns
    -------
    int
        0 if no planned stop interrupted a request or lost a claim, else 1.
    """
    stop_count = _SHORT_STOP_COUNT if short else _STOP_COUNT
    if arguments:
        stop_count = int(arguments[0])
    single_stop_count = max(1, int(stop_count * _SINGLE_STOP_SHARE))
    print(f'load average {os.getloadavg()[0]:.1f}, keep_s {_ADDRESS_KEEP_S}')
    with ProcessFleet(COOPERATIVE) as fleet:
        addresses = replace(fleet.settings.addresses, keep_s=_ADDRESS_KEEP_S)
        fleet.apply(replace(fleet.settings, addresses=addresses))
        hosts = tuple(fleet.daemons_by_host)
        kill_count = max(1, stop_count // _STOPS_PER_KILL)
        runs = (
            ('killed', plan_rounds(hosts, kill_count, 1), signal.SIGKILL),
            (
                'one by one',
                plan_rounds(hosts, single_stop_count, 1),
                signal.SIGTERM,
            ),
            (
                'three at once',
                plan_rounds(
                    hosts, stop_count - single_stop_count, _CONCURRENT_STOPS
                ),
                signal.SIGTERM,
            ),
        )
        results = []
        for name, rounds, signal_number in runs:
            results.append(measure(fleet, name, rounds, signal_number))
            show(results[-1])
    planned = [result for result in results if _KILLED not in result.exit_codes]
    return 0 if all(result.meets_goals for result in planned) else 1


def _daemon_phase_times_s(
    daemon: RunningProcess,
    signalled_s: Seconds,
) -> tuple[Seconds, ...]:
    return phase_times_s(signalled_s, daemon.events())


if __name__ == '__main__':
    exit_on_sigterm()
    sys.exit(main(sys.argv[1:]))
