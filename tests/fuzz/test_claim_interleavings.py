"""Claim interleavings with more seeds than CI: ``make fuzz SEEDS=n``."""

from __future__ import annotations

import os

import pytest

from tests.claim_simulation import run_simulations

EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '20000'))


@pytest.mark.parametrize('fault_rate', [0.02, 0.1, 0.3, 0.5])
def test_claims_run_at_most_once(fault_rate):
    """A claim must not run twice when messages are lost or reordered.

    The violations name the failing seed; `World(seed, rate)` replays it.
    """
    states, violations = run_simulations(range(EXAMPLES // 4), fault_rate)
    print(fault_rate, dict(states))
    assert not violations
