"""The benchmark program and its scenarios."""

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
    """Guards against a measurement that `make bench` leaves out."""
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
    """A renamed parameter must not break `--short` at its end."""
    module = program._module(name)
    given = module.main.__code__.co_varnames
    assert set(program.short_arguments(name)) <= set(given)


def test_refuses_unknown_arguments(capsys):
    """A misspelt flag must not start the long run."""
    assert program.main(('--shrt',)) == 2
    assert '--short' in capsys.readouterr().err


def test_a_failed_module_is_reported_and_others_run(monkeypatch, capsys):
    """One failed measurement must not hide the others, nor pass."""

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
    """Guards against load that is refused for a wrong route or form."""
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
    """The size of a flood is stated relative to this capacity."""
    service = next(
        one
        for one in workloads.flood_shape(place).services
        if one.name == place.flooded_service
    )
    slots = service.slots * service.replicas * service.shards
    capacity = slots / service.service_time_s
    assert capacity == pytest.approx(workloads.FLOOD_CAPACITY_PER_S)


def test_baselines_change_what_they_name():
    """A baseline that changes nothing would make each ratio 1."""
    place = workloads.WORKLOADS_BY_DEPLOYMENT['cooperative']
    placed = place_servers(place.shape)
    addresses = {
        one.spec.name: f'127.0.0.1:{port}' for port, one in enumerate(placed, 1)
    }
    settings = deployment_settings(place.shape, placed, addresses)
    flat = workloads.without_ranks(settings)
    # Daemons ignore a revision with problems, and the run would never start.
    assert not validate(settings)
    assert not validate(flat)
    assert not validate(workloads.without_hedging(settings))
    assert {route.rank for route in flat.routes.values()} == {Rank.ROUTINE}
    assert flat.ranks[Rank.ROUTINE].cap == 1
    unhedged = workloads.without_hedging(settings)
    assert (unhedged.hedging.budget_ratio, unhedged.hedging.burst) == (0, 0)
    assert replace(unhedged, hedging=settings.hedging) == settings


def test_both_deployments_have_all_scenarios():
    """The scenarios that the results page lists."""
    assert set(workloads.WORKLOADS_BY_DEPLOYMENT) == {'cooperative', 'mwangaza'}
    assert len(scenarios.SCENARIOS) == 9


def test_claims_are_compared_with_the_runs():
    """A lost or repeated claim must not pass as served."""
    told = {
        'served': RunState.RUN,
        'lost': RunState.RUN,
        'open': RunState.UNKNOWN,
        'denied': RunState.NOT_RUN,
        'refused': RunState.NOT_RUN,
    }
    runs = {'served': 2, 'open': 1, 'denied': 1, 'of-others': 5}
    truth = replacement_load.compare_claims(told, runs)
    assert truth == replacement_load.ClaimComparison(
        lost=1, unknown=1, false_not_run=1, duplicated=1
    )


def test_every_planned_stop_takes_its_turn():
    """A host that is left out would never be replaced."""
    rounds = replacement.plan_rounds(('a', 'b', 'c', 'd'), 8, 3)
    assert rounds == (('a', 'b', 'c'), ('d', 'a', 'b'), ('c', 'd'))
