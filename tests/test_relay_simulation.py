"""Daemons that read the store through each other, under random faults."""

from __future__ import annotations

from tests.relay_simulation import run_simulation

SEEDS = range(150)


def test_daemons_know_what_the_store_holds_after_random_faults():
    """Daemons must know exactly the registered servers once all is calm.

    A removal that is lost on the way through other daemons lets callers'
    requests reach a server that has left. Failures are listed by seed.
    """
    wrong_by_seed = {seed: run_simulation(seed) for seed in SEEDS}
    assert not {seed: wrong for seed, wrong in wrong_by_seed.items() if wrong}
