"""A short seeded run of the fault soak; more seeds run by hand."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak.run import Soak

#: Time with faults, in seconds, so that all kinds come once or twice.
FAULT_S = 8


@pytest.mark.parametrize('seed', [0])
def test_promises_hold_under_random_faults(seed):
    """Signals, links, the store and servers fail; promises must hold."""
    soak = Soak(seed)
    broken = asyncio.run(soak.run(FAULT_S))
    assert not broken, (broken[:5], soak.injected)
    assert soak.promises.outcomes[200] > 100
