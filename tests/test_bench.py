"""Benchmark program, its scenarios and load mixes."""

from __future__ import annotations

import pathlib
from dataclasses import replace

import pytest

from boragespool.bench import __main__ as program
from boragespool.bench import (
    replacement,
    replacement_load,
    scenarios,
    workloads,
)
from boragespool.bench.placement import deployment_settings, place_servers
from boragespool.settings import validate
from boragespool.types import Rank, RunState


def test_every_module_with_a_main_is_a_benchmark():
    """A new benchmark module must not be left out of `make bench`."""
    folder = pathlib.Path(program.__file__).parent
    expected = {
        path.stem
        for path in folder.glob('*.py')
        if '\ndef main(' in path.read_text(encoding='utf-8')
    } - {'__main__'}
    names = program.module_names()
    assert set(names) == expected
    assert names[-1] == 'scenarios'


@pytest.mark.parametrize('name', program.module_names())
def test_short_arguments_fit_the_module(name):
    """Arguments of `--short` must be parameters of the module's `main`.

    After a parameter is renamed, the module would fail only when a short
    run reaches it.
    """
    module = program._module(name)
    given = module.main.__code__.co_varnames
    assert set(program.short_arguments(name)) <= set(given)


def test_refuses_unknown_arguments(capsys):
    """A misspelt flag must not be ignored and start the full run."""
    assert program.main(('--shrt',)) == 2
    assert '--short' in capsys.readouterr().err


def test_a_failed_module_is_reported_and_others_run(monkeypatch, capsys):
    """An exception in one module must neither skip the others nor pass."""

    class Module:
        ran = 0

        @classmethod
        def main(cls):
            cls.ran += 1
            if cls.ran == 1:
                raise RuntimeError('no fleet')

    monkeypatch.setattr(program, 'module_names', lambda: ('a', 'b'))
    monkeypatch.setattr(program, '_module', lambda name: Module)
    assert program.main() == 1
    assert Module.ran == 2
    assert "goals missed or failed: ['a']" in capsys.readouterr().out


@pytest.mark.parametrize('place', workloads.WORKLOADS_BY_DEPLOYMENT.values())
def test_mixes_use_routes_of_the_shape(place):
    """Load must use the routes with their own kind and rank.

    Otherwise daemons refuse the requests and the benchmark measures
    refusals.
    """
    mixes = (
        place.ordinary_flows,
        workloads.flood_flows(place, 0.3, 10, (2, 6)),
    )
    for shape in (place.shape, workloads.flood_shape(place)):
        for flow in (flow for mix in mixes for flow in mix):
            route = shape.routes[flow.route]
            assert (route.form, route.rank) == (flow.kind, flow.rank)


@pytest.mark.parametrize('place', workloads.WORKLOADS_BY_DEPLOYMENT.values())
def test_flooded_service_has_the_stated_capacity(place):
    """The flooded service must have `FLOOD_CAPACITY_PER_S`.

    Floods are sized relative to this capacity, so a changed deployment
    would change the load unnoticed.
    """
    service = next(
        one
        for one in workloads.flood_shape(place).services
        if one.name == place.flooded_service
    )
    slots = service.slots * service.replicas * service.shards
    capacity = slots / service.service_time_s
    assert capacity == pytest.approx(workloads.FLOOD_CAPACITY_PER_S)


def test_baselines_turn_off_only_what_they_name():
    """A baseline must turn off ranks or hedging, and nothing else.

    If it changed nothing, each ratio to the baseline would be 1.
    """
    place = workloads.WORKLOADS_BY_DEPLOYMENT['cooperative']
    placed = place_servers(place.shape)
    addresses = {
        one.spec.name: f'127.0.0.1:{port}' for port, one in enumerate(placed, 1)
    }
    settings = deployment_settings(place.shape, placed, addresses)
    unranked = workloads.without_ranks(settings)
    # Daemons reject an invalid revision, so the run would never start.
    assert not validate(settings)
    assert not validate(unranked)
    assert not validate(workloads.without_hedging(settings))
    assert {route.rank for route in unranked.routes.values()} == {Rank.ROUTINE}
    assert unranked.ranks[Rank.ROUTINE].cap == 1
    unhedged = workloads.without_hedging(settings)
    assert (unhedged.hedging.budget_ratio, unhedged.hedging.burst) == (0, 0)
    assert replace(unhedged, hedging=settings.hedging) == settings


def test_both_deployments_have_all_scenarios():
    """The program must run every scenario that the results page lists."""
    assert set(workloads.WORKLOADS_BY_DEPLOYMENT) == {'cooperative', 'mwangaza'}
    assert len(scenarios.SCENARIOS) == 9


def test_claims_are_compared_with_the_runs():
    """Lost, repeated and wrongly reported claims must be counted.

    The reported states are compared with the runs at the servers; a claim
    that was lost or ran twice would otherwise count as served.
    """
    reported_states = {
        'served': RunState.RUN,
        'lost': RunState.RUN,
        'open': RunState.UNKNOWN,
        'denied': RunState.NOT_RUN,
        'refused': RunState.NOT_RUN,
    }
    runs = {'served': 2, 'open': 1, 'denied': 1, 'of-others': 5}
    comparison = replacement_load.compare_claims(reported_states, runs)
    assert comparison == replacement_load.ClaimComparison(
        lost=1, unknown=1, false_not_run=1, duplicated=1
    )


def test_planned_stops_are_distributed_over_hosts():
    """Every host must be replaced equally often, in rounds of three.

    A planner that forgets the hosts beyond a round would never replace them.
    """
    rounds = replacement.plan_rounds(('a', 'b', 'c', 'd'), 8, 3)
    assert rounds == (('a', 'b', 'c'), ('d', 'a', 'b'), ('c', 'd'))
