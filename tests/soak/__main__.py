"""Run the soak test: ``python -m tests.soak --seeds=0:10 --seconds=20``."""

from __future__ import annotations

import asyncio
import sys

from absl import app, flags

from tests.soak.run import Soak, summary

SEEDS = flags.DEFINE_string(
    'seeds', '0:1', 'First seed and end (exclusive), such as 0:10.'
)
SECONDS = flags.DEFINE_float(
    'seconds', 20, 'Duration of fault injection, in seconds.'
)
DAEMONS = flags.DEFINE_integer('daemons', 4, 'Number of daemons in each run.')


def main(_):
    """Run the seeds; exit with 1 if an invariant was violated."""
    first, _, end = SEEDS.value.partition(':')
    failed_count = 0
    for seed in range(int(first), int(end)):
        soak = Soak(seed, DAEMONS.value)
        failed_count += bool(asyncio.run(soak.run(SECONDS.value)))
        print(seed, summary(soak), flush=True)
        if soak.invariants.violations:
            print(*soak.injected_faults, sep='\n', flush=True)
    sys.exit(1 if failed_count else 0)


if __name__ == '__main__':
    app.run(main)
