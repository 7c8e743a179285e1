"""Start and cleanup of the deployments for load measurements."""

from __future__ import annotations

import pytest

from boragespool.bench.process_fleet import ProcessFleet
from boragespool.bench.shapes import DeploymentShape, ServiceShape
from boragespool.settings import RouteSettings
from boragespool.types import Rank, WorkKind

SMALL = DeploymentShape(
    'small',
    ('north', 'south'),
    2,
    (
        ServiceShape('finder', 2, 2, 5, 40, 0),
        ServiceShape('ledger', 1, 2, 5, 40, 0),
    ),
    {
        'find': RouteSettings('finder', Rank.ROUTINE, WorkKind.QUERY, 1_000),
        'pay': RouteSettings('ledger', Rank.URGENT, WorkKind.CLAIM, 2_000),
    },
)


def started_processes(fleet: ProcessFleet):
    return [running.process for running in fleet._processes.started]


def test_ends_all_processes_after_a_fault_of_the_measurement():
    """Guards against processes that survive an exception in a measurement."""
    with pytest.raises(ZeroDivisionError), ProcessFleet(SMALL) as fleet:
        processes = started_processes(fleet)
        assert len(processes) == 1 + 3 + 2
        assert all(process.poll() is None for process in processes)
        raise ZeroDivisionError
    assert all(process.poll() is not None for process in processes)


def test_ends_all_processes_when_the_start_fails(monkeypatch):
    """Guards against processes that survive a failed start.

    The store refuses the settings after the processes were started.
    """
    fleet = ProcessFleet(SMALL)

    def refuse(settings):
        raise RuntimeError('store refuses')

    monkeypatch.setattr(fleet, 'apply', refuse)
    with pytest.raises(RuntimeError), fleet:
        pass
    processes = started_processes(fleet)
    assert processes
    assert all(process.poll() is not None for process in processes)
