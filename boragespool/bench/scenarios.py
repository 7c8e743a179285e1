"""Scenarios at the sizes of today, each against a baseline of the same run.

``python -m boragespool.bench.scenarios [DEPLOYMENT] [SCENARIO ...]``
"""

from __future__ import annotations

import pathlib
import sys
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

import msgspec

from boragespool.bench.load_driver import LoadDriver
from boragespool.bench.process_fleet import ProcessFleet
from boragespool.bench.processes import exit_on_sigterm
from boragespool.bench.workloads import (
    WORKLOADS_BY_DEPLOYMENT,
    flood_flows,
    flood_shape,
    scale_flows,
    without_hedging,
    without_ranks,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from boragespool.bench.load_driver import LoadSummary
    from boragespool.bench.workloads import DeploymentWorkload
    from boragespool.types import Seconds, ServerName

    Runs = dict[str, LoadSummary]

_RUN_S: Final = 6
_WARM_UP_S: Final = 3
_FAULT_S: Final = 2
#: Multiples of the ordinary load, to find what the machine carries.
_FACTORS: Final = (2, 4, 8, 16)
_FLOOD_S: Final = (2, 6)
_FLOOD_RUN_S: Final = 10
_FLOOD_FACTOR: Final = 10
_REPLACE_RUN_S: Final = 13
_REPLACED: Final = ('entry-2',)
_STRAGGLER_FACTOR: Final = 20


@dataclass(frozen=True, slots=True)
class Bench:
    """What a scenario runs on."""

    place: DeploymentWorkload
    fleet: ProcessFleet
    driver: LoadDriver

    def run(
        self,
        actions: Iterable[tuple[Seconds, Callable[[], object]]] = (),
        duration_s: Seconds = _RUN_S,
    ) -> LoadSummary:
        """Send the ordinary load."""
        flows = self.place.ordinary_flows
        return self.driver.run(self.fleet, flows, duration_s, actions)

    def servers(self, replica: int | None = None) -> list[ServerName]:
        """Return the names of all servers, or of one replica of each shard."""
        return [
            placed.spec.name
            for placed in self.fleet.placed
            if replica is None or placed.replica == replica
        ]


def ordinary_day(bench: Bench) -> Runs:
    """Ordinary load, and multiples of it up to what the machine carries."""
    runs = {'ordinary load': bench.run()}
    for factor in _FACTORS:
        flows = scale_flows(bench.place.ordinary_flows, factor)
        runs[f'{factor} times the load'] = bench.driver.run(
            bench.fleet,
            flows,
            _RUN_S,
        )
    return runs


def closing_rush(bench: Bench) -> Runs:
    """Flood of deferrable work at 10 times capacity, urgent at 0.3."""
    return _flood(bench, 0.3, _FLOOD_FACTOR)


def urgent_flood(bench: Bench) -> Runs:
    """Flood of urgent work at 10 times capacity, deferrable at 0.3."""
    return _flood(bench, _FLOOD_FACTOR, 0.3)


def stragglers(bench: Bench) -> Runs:
    """1 in 100 replies takes 20 times longer."""
    bench.fleet.control(
        bench.servers(),
        straggler_probability=0.01,
        straggler_factor=_STRAGGLER_FACTOR,
        service_time_s=0.02,
    )
    return _hedging_off_and_on(bench, bench.run)


def lost_replica(bench: Bench) -> Runs:
    """One replica of each shard is lost during the run."""
    lose = partial(bench.fleet.control, bench.servers(0), crash=True)
    restore = partial(bench.fleet.control, bench.servers(0), restart=True)
    runs = {'no fault': bench.run()}
    runs['replica lost'] = bench.run(((_FAULT_S, lose),))
    restore()
    return runs


def version_change(bench: Bench) -> Runs:
    """Each replica moves to the next index version, one after another."""
    runs = {'no fault': bench.run()}
    runs['version change'] = bench.run(
        (_FAULT_S + replica, partial(_add_version, bench, replica))
        for replica in range(3)
    )
    return runs


def silent_connections(bench: Bench) -> Runs:
    """All open connections to backend servers stop delivering data."""
    silence = partial(bench.fleet.control, bench.servers(), silence=True)
    return {
        'no fault': bench.run(),
        'silent connections': bench.run(((_FAULT_S, silence),)),
    }


def store_down(bench: Bench) -> Runs:
    """The store and the host list do not answer."""
    down = partial(bench.fleet.control_platform, down=True)
    runs = {
        'no fault': bench.run(),
        'store down': bench.run(((_FAULT_S, down),)),
    }
    bench.fleet.control_platform(down=False)
    return runs


def rolling_replacement(bench: Bench) -> Runs:
    """A daemon is stopped gracefully and replaced."""
    return {
        'no fault': bench.run(),
        'replacement': bench.run(
            [
                (1, partial(_replace_entry, bench.fleet, host))
                for host in _REPLACED
            ],
            _REPLACE_RUN_S,
        ),
    }


SCENARIOS: Final = MappingProxyType(
    {
        'ordinary': ordinary_day,
        'closing-rush': closing_rush,
        'urgent-flood': urgent_flood,
        'stragglers': stragglers,
        'lost-replica': lost_replica,
        'version-change': version_change,
        'silent-connections': silent_connections,
        'store-down': store_down,
        'replacement': rolling_replacement,
    },
)

_FLOODS: Final = ('closing-rush', 'urgent-flood')


def measure(deployment: str, name: str, driver: LoadDriver) -> Runs:
    """Run one scenario on a fresh fleet.

    Parameters
    ----------
    deployment : str
        Key of `WORKLOADS_BY_DEPLOYMENT`.
    name : str
        Key of `SCENARIOS`.
    driver : LoadDriver
        Caller processes.

    Returns
    -------
    dict of str to LoadSummary
        Runs by label; the baseline is the first one.
    """
    place = WORKLOADS_BY_DEPLOYMENT[deployment]
    shape = flood_shape(place) if name in _FLOODS else place.shape
    with ProcessFleet(shape) as fleet:
        bench = Bench(place, fleet, driver)
        # Hedging has its first measurements, and connections are open.
        bench.run(duration_s=_WARM_UP_S)
        return SCENARIOS[name](bench)


def show(runs: Runs) -> None:
    """Print one line per run and rank."""
    for label, run in runs.items():
        print(
            f'  {label}: load {run.load:.3f}, '
            f'driver lag p99 {run.lag_p99_s * 1e3:.1f} ms, '
            f'daemons {run.daemon_s:.2f} s, callers {run.caller_s:.2f} s '
            f'of processor time in {run.duration_s} s',
        )
        for rank, one in run.by_rank.items():
            print(
                f'    {rank.value:10} offered {one.offered:5} answered '
                f'{one.answered:5} refused {one.refused:5} '
                f'p50 {one.p50_s * 1e3:7.1f} ms p99 {one.p99_s * 1e3:7.1f} ms '
                f'coverage {one.coverage:.4f}',
            )


def main(arguments: Sequence[str] = ()) -> None:
    """Run scenarios and print their figures.

    Parameters
    ----------
    arguments : sequence of str
        A deployment and names of scenarios; all by default. A last argument
        that ends in ``.json`` names a file for the figures.
    """
    names = [name for name in arguments if name in SCENARIOS]
    places = [name for name in arguments if name in WORKLOADS_BY_DEPLOYMENT]
    figures: list[Any] = []
    with LoadDriver() as driver:
        for deployment in places or WORKLOADS_BY_DEPLOYMENT:
            for name in names or SCENARIOS:
                print(f'{deployment}, {name}', flush=True)
                runs = measure(deployment, name, driver)
                show(runs)
                figures.append(
                    {'deployment': deployment, 'scenario': name, 'runs': runs},
                )
    if arguments and arguments[-1].endswith('.json'):
        path = pathlib.Path(arguments[-1])
        path.write_bytes(msgspec.json.encode(figures))


def _flood(bench: Bench, urgent: float, deferrable: float) -> Runs:
    """Run the load without the flood, in one rank, and in ranks."""
    place = bench.place
    calm = flood_flows(place, min(urgent, 0.3), min(deferrable, 0.3), _FLOOD_S)
    flood = flood_flows(place, urgent, deferrable, _FLOOD_S)
    send = bench.driver.run
    runs = {'no flood': send(bench.fleet, calm, _RUN_S)}
    settings = bench.fleet.settings
    bench.fleet.apply(without_ranks(settings))
    runs['one rank'] = send(bench.fleet, flood, _FLOOD_RUN_S)
    bench.fleet.apply(settings)
    runs['ranks'] = send(bench.fleet, flood, _FLOOD_RUN_S)
    return runs


def _hedging_off_and_on(bench: Bench, run: Callable[[], LoadSummary]) -> Runs:
    settings = bench.fleet.settings
    bench.fleet.apply(without_hedging(settings))
    runs = {'no hedging': run()}
    bench.fleet.apply(settings)
    # The merger learns the latency with hedging on.
    bench.run(duration_s=_WARM_UP_S)
    runs['hedging'] = run()
    return runs


def _add_version(bench: Bench, replica: int) -> None:
    """Let one replica of each shard hold only the next index version."""
    for placed in bench.fleet.placed:
        if placed.replica == replica:
            ranges = placed.spec.switches.holdings.values()
            holdings = {'2': next(iter(ranges))}
            bench.fleet.control([placed.spec.name], holdings=holdings)


def _replace_entry(fleet: ProcessFleet, host: str) -> None:
    exit_codes = fleet.replace_daemons((host,))
    if any(exit_codes):
        raise RuntimeError(f'{host!r} stopped with exit codes {exit_codes!r}')


if __name__ == '__main__':
    exit_on_sigterm()
    main(sys.argv[1:])
