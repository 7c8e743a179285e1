"""Daemons that read the store through each other, with more seeds."""

from __future__ import annotations

import os

from tests.relay_simulation import run_simulation

#: One seed takes about 20 times as long as one example of the other tests.
EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '20000')) // 20


def test_daemons_know_what_the_store_holds_after_random_faults():
    """Daemons must know exactly the registered servers once all is calm.

    Runs the checks of the simulation with seeds that CI does not use.
    """
    for seed in range(1_000_000, 1_000_000 + EXAMPLES):
        assert not run_simulation(seed), seed
