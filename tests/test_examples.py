"""Example settings have the sizes of section 1.5 of the design page."""

from __future__ import annotations

import pathlib

import pytest

from boragespool.settings import Settings, load_folder
from boragespool.types import Rank, WorkKind

COOPERATIVE = {
    'lot-finder': (30, 5, 40, 6),
    'yard-notices': (45, 5, 40, 6),
    'member-ledger': (7, 6, 100, 1),
    'truck-roster': (3, 6, 100, 1),
}
MWANGAZA = {
    'lookup-api': (30, 5, 40, 6),
    'unlock-codes': (45, 5, 40, 6),
    'reconciler': (10, 4, 40, 1),
    'agent-app': (5, 4, 40, 1),
}


@pytest.mark.parametrize(
    ('name', 'sizes', 'data_centres'),
    [
        ('cooperative', COOPERATIVE, {'north', 'centre', 'south'}),
        ('mwangaza', MWANGAZA, {'arusha', 'dodoma', 'mwanza'}),
    ],
)
def test_example_has_the_sizes_of_the_deployment(name, sizes, data_centres):
    """Guards against a demo and benchmarks that measure another deployment.

    They use the example settings, which could be edited without noticing that
    the sizes belong to the design.
    """
    settings = load_folder(pathlib.Path('examples', name))
    assert isinstance(settings, Settings), settings
    assert sizes == {
        service_name: (
            len(service.servers),
            service.slots,
            service.connections,
            service.connection_cost_ms,
        )
        for service_name, service in settings.services.items()
    }
    for service in settings.services.values():
        centres_by_shard = {}
        for server_name, server in service.servers.items():
            shard = server_name.rpartition('-')[0]
            centres_by_shard.setdefault(shard, set()).add(server.data_centre)
            assert server.region == server.data_centre
            assert server.host
            assert server.address.startswith('127.0.0.')
        assert set(map(frozenset, centres_by_shard.values())) == {
            frozenset(data_centres),
        }
    routes = settings.routes.values()
    assert {route.rank for route in routes} == set(Rank)
    claim_services = {
        route.service for route in routes if route.form is WorkKind.CLAIM
    }
    assert claim_services == set(list(sizes)[2:])
