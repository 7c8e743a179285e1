"""Snapshots of simulated servers, with more seeds than CI."""

from __future__ import annotations

import os

from tests.snapshot_simulation import run_simulation

EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '20000'))


def test_merged_answers_are_never_mixed_or_falsely_covered():
    """An answer must not mix snapshots nor claim coverage that it lacks.

    Runs the checks of the simulation with seeds that CI does not use.
    """
    for seed in range(1_000_000, 1_000_000 + EXAMPLES):
        run_simulation(seed)
