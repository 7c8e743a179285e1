"""Runs seeds of the soak: ``python -m tests.soak --seeds=0:10 --seconds=20``."""

from __future__ import annotations

import asyncio
import sys

from absl import app, flags

from tests.soak.run import Soak, summary

SEEDS = flags.DEFINE_string('seeds', '0:1', 'First seed and end, as 0:10.')
SECONDS = flags.DEFINE_float('seconds', 20, 'Time with faults, in seconds.')
DAEMONS = flags.DEFINE_integer('daemons', 4, 'Daemons of each run.')


def main(_):
    """Run the seeds; exit with 1 if a promise was broken."""
    first, _, end = SEEDS.value.partition(':')
    broken = 0
    for seed in range(int(first), int(end)):
        soak = Soak(seed, DAEMONS.value)
        broken += bool(asyncio.run(soak.run(SECONDS.value)))
        print(seed, summary(soak), flush=True)
        if soak.promises.broken:
            print(*soak.injected, sep='\n', flush=True)
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    app.run(main)
