"""Queries under random faults, with more seeds than CI."""

from __future__ import annotations

import os

from boragespool.bench.virtual_time import run_in_virtual_time
from tests.test_query_storm import Storm

#: One `Storm` takes about 20 times as long as one run of `run_world`.
EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '20000')) // 20


def test_answers_stay_correct_under_random_faults():
    """Answers must stay correct while holdings and server states change.

    Runs `Storm` and its checks with seeds that CI does not use.
    """
    for seed in range(1_000_000, 1_000_000 + EXAMPLES):
        run_in_virtual_time(Storm(seed).run())
