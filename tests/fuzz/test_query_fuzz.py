"""Longer runs of the query storm."""

from __future__ import annotations

import os

from boragespool.bench.virtual_time import run_in_virtual_time
from tests.test_query_storm import Storm

#: One storm takes about 20 times as long as one run of the snapshot world.
EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '20000')) // 20


def test_answers_stay_true_in_a_storm_of_changes():
    """The checks of the storm must hold for seeds that CI does not run."""
    for seed in range(1_000_000, 1_000_000 + EXAMPLES):
        run_in_virtual_time(Storm(seed).run())
