"""Fault and overload scenarios on deployments of real processes.

The deployments have today's sizes. Each scenario also measures a baseline on
the same processes.

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
_FAULT_START_S: Final = 2
#: Multiples of the ordinary load, to find the limit of the machine.
_LOAD_FACTORS: Final = (2, 4, 8, 16)
_FLOOD_WINDOW_S: Final = (2, 6)
_FLOOD_RUN_S: Final = 10
_FLOOD_FACTOR: Final = 10
_REPLACEMENT_RUN_S: Final = 13
_REPLACED_HOSTS: Final = ('entry-2',)
_STRAGGLER_FACTOR: Final = 20


@dataclass(frozen=True, slots=True)
class ScenarioContext:
    """Workload, running fleet and load driver of a scenario."""

    workload: DeploymentWorkload
    fleet: ProcessFleet
    driver: LoadDriver

    def run(
        self,
        actions: Iterable[tuple[Seconds, Callable[[], object]]] = (),
        duration_s: Seconds = _RUN_S,
    ) -> LoadSummary:
        """Send the ordinary load and run actions at their times."""
        flows = self.workload.ordinary_flows
        return self.driver.run(self.fleet, flows, duration_s, actions)

    def servers(self, replica: int | None = None) -> list[ServerName]:
        """Return the server names of one replica of each shard, or of all."""
        return [
            placed.spec.name
            for placed in self.fleet.placed_servers
            if replica is None or placed.replica == replica
        ]


def ordinary_load(context: ScenarioContext) -> Runs:
    """Run the ordinary load and multiples of it."""
    runs = {'ordinary load': context.run()}
    for factor in _LOAD_FACTORS:
        flows = scale_flows(context.workload.ordinary_flows, factor)
        runs[f'{factor} times the load'] = context.driver.run(
            context.fleet,
            flows,
            _RUN_S,
        )
    return runs


def deferrable_flood(context: ScenarioContext) -> Runs:
    """Run a flood of deferrable work at 10 times capacity, urgent at 0.3."""
    return _run_flood(context, 0.3, _FLOOD_FACTOR)


def urgent_flood(context: ScenarioContext) -> Runs:
    """Run a flood of urgent work at 10 times capacity, deferrable at 0.3."""
    return _run_flood(context, _FLOOD_FACTOR, 0.3)


def stragglers(context: ScenarioContext) -> Runs:
    """Let 1 in 100 replies take 20 times longer, with and without hedging."""
    context.fleet.control(
        context.servers(),
        straggler_probability=0.01,
        straggler_factor=_STRAGGLER_FACTOR,
        service_time_s=0.02,
    )
    return _run_without_and_with_hedging(context, context.run)


def lost_replica(context: ScenarioContext) -> Runs:
    """Crash one replica of each shard during the run."""
    lose = partial(context.fleet.control, context.servers(0), crash=True)
    restore = partial(context.fleet.control, context.servers(0), restart=True)
    runs = {'no fault': context.run()}
    runs['replica lost'] = context.run(((_FAULT_START_S, lose),))
    restore()
    return runs


def version_change(context: ScenarioContext) -> Runs:
    """Move the replicas to the next index version, one after another."""
    runs = {'no fault': context.run()}
    runs['version change'] = context.run(
        (_FAULT_START_S + replica, partial(_add_version, context, replica))
        for replica in range(3)
    )
    return runs


def silent_connections(context: ScenarioContext) -> Runs:
    """Let all open connections to backend servers stop delivering data."""
    silence = partial(context.fleet.control, context.servers(), silence=True)
    return {
        'no fault': context.run(),
        'silent connections': context.run(((_FAULT_START_S, silence),)),
    }


def store_down(context: ScenarioContext) -> Runs:
    """Let the store and the host list stop answering during the run."""
    down = partial(context.fleet.control_platform, down=True)
    runs = {
        'no fault': context.run(),
        'store down': context.run(((_FAULT_START_S, down),)),
    }
    context.fleet.control_platform(down=False)
    return runs


def rolling_replacement(context: ScenarioContext) -> Runs:
    """Stop a daemon gracefully and replace it during the run."""
    return {
        'no fault': context.run(),
        'replacement': context.run(
            [
                (1, partial(_replace_daemon, context.fleet, host))
                for host in _REPLACED_HOSTS
            ],
            _REPLACEMENT_RUN_S,
        ),
    }


SCENARIOS: Final = MappingProxyType(
    {
        'ordinary': ordinary_load,
        'closing-rush': deferrable_flood,
        'urgent-flood': urgent_flood,
        'stragglers': stragglers,
        'lost-replica': lost_replica,
        'version-change': version_change,
        'silent-connections': silent_connections,
        'store-down': store_down,
        'replacement': rolling_replacement,
    },
)

_FLOOD_SCENARIOS: Final = ('closing-rush', 'urgent-flood')


def measure(deployment: str, name: str, driver: LoadDriver) -> Runs:
    """Run one scenario on a fresh fleet.

    Parameters
    ----------
    deployment : str
        Key of `WORKLOADS_BY_DEPLOYMENT`.
    name : str
        Key of `SCENARIOS`.
    driver : LoadDriver
        Running driver of the caller processes.

    Returns
    -------
    dict of str to LoadSummary
        Summaries by run; the baseline is the first one.
    """
    workload = WORKLOADS_BY_DEPLOYMENT[deployment]
    shape = (
        flood_shape(workload) if name in _FLOOD_SCENARIOS else workload.shape
    )
    with ProcessFleet(shape) as fleet:
        context = ScenarioContext(workload, fleet, driver)
        # Opens connections and gives hedging its first latency samples.
        context.run(duration_s=_WARM_UP_S)
        return SCENARIOS[name](context)


def show(runs: Runs) -> None:
    """Print a line per run, and one per rank in it."""
    for label, run in runs.items():
        print(
            f'  {label}: load {run.load:.3f}, '
            f'driver lag p99 {run.lag_p99_s * 1e3:.1f} ms, '
            f'daemons {run.daemon_s:.2f} s, callers {run.caller_s:.2f} s '
            f'of processor time in {run.duration_s} s',
        )
        for rank, summary in run.by_rank.items():
            print(
                f'    {rank.value:10} offered {summary.offered:5} answered '
                f'{summary.answered:5} refused {summary.refused:5} '
                f'p50 {summary.p50_s * 1e3:7.1f} ms '
                f'p99 {summary.p99_s * 1e3:7.1f} ms '
                f'coverage {summary.coverage:.4f}',
            )


def main(arguments: Sequence[str] = ()) -> None:
    """Run scenarios and print the results.

    Parameters
    ----------
    arguments : sequence of str
        Names of deployments and scenarios, by default all of them. If the
        last one ends in ``.json``, the results are also written to that
        file.
    """
    names = [name for name in arguments if name in SCENARIOS]
    deployments = [
        name for name in arguments if name in WORKLOADS_BY_DEPLOYMENT
    ]
    figures: list[Any] = []
    with LoadDriver() as driver:
        for deployment in deployments or WORKLOADS_BY_DEPLOYMENT:
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


def _run_flood(
    context: ScenarioContext, urgent: float, deferrable: float
) -> Runs:
    """Run without a flood, and with one in a single rank and in all ranks."""
    workload = context.workload
    baseline_flows = flood_flows(
        workload, min(urgent, 0.3), min(deferrable, 0.3), _FLOOD_WINDOW_S
    )
    flooded_flows = flood_flows(workload, urgent, deferrable, _FLOOD_WINDOW_S)
    send = context.driver.run
    runs = {'no flood': send(context.fleet, baseline_flows, _RUN_S)}
    settings = context.fleet.settings
    context.fleet.apply(without_ranks(settings))
    runs['one rank'] = send(context.fleet, flooded_flows, _FLOOD_RUN_S)
    context.fleet.apply(settings)
    runs['ranks'] = send(context.fleet, flooded_flows, _FLOOD_RUN_S)
    return runs


def _run_without_and_with_hedging(
    context: ScenarioContext, run: Callable[[], LoadSummary]
) -> Runs:
    settings = context.fleet.settings
    context.fleet.apply(without_hedging(settings))
    runs = {'no hedging': run()}
    context.fleet.apply(settings)
    # Lets the merger measure the latency with hedging enabled.
    context.run(duration_s=_WARM_UP_S)
    runs['hedging'] = run()
    return runs


def _add_version(context: ScenarioContext, replica: int) -> None:
    """Replace the index version of one replica of each shard by the next."""
    for placed in context.fleet.placed_servers:
        if placed.replica == replica:
            ranges = placed.spec.switches.holdings.values()
            holdings = {'2': next(iter(ranges))}
            context.fleet.control([placed.spec.name], holdings=holdings)


def _replace_daemon(fleet: ProcessFleet, host: str) -> None:
    exit_codes = fleet.replace_daemons((host,))
    if any(exit_codes):
        raise RuntimeError(
            f'{host!r} stopped with exit codes {exit_codes!r}',
        )


if __name__ == '__main__':
    exit_on_sigterm()
    main(sys.argv[1:])
