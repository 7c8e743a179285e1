"""Short run of the soak test; ``python -m tests.soak`` runs more seeds."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak.run import Soak

#: Duration of fault injection; each kind of fault occurs once or twice.
FAULT_S = 8


@pytest.mark.parametrize('seed', [0])
def test_invariants_hold_under_random_faults(seed):
    """Answers must stay correct under faults of all parts of the system.

    Daemons are killed, paused and stopped, connections break, and the store
    and the servers fail. Then a request could run twice, run after a refusal,
    or get the answer to another one.
    """
    soak = Soak(seed)
    violations = asyncio.run(soak.run(FAULT_S))
    assert not violations, (violations[:5], soak.injected_faults)
    assert soak.invariants.outcomes[200] > 100
