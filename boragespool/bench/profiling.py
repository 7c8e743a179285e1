"""Largest costs of one daemon under load, by cProfile.

``python -m boragespool.bench.profiling``
"""

from __future__ import annotations

import pathlib
import pstats
import signal
import tempfile
from typing import Final

from boragespool.bench.load_driver import LoadDriver
from boragespool.bench.process_fleet import ProcessFleet
from boragespool.bench.workloads import WORKLOADS_BY_DEPLOYMENT, scale_flows

_HOST: Final = 'entry-1'
_RUN_S: Final = 10
#: The ordinary load, times this, is about half of what a machine carried.
_FACTOR: Final = 4
_ROWS: Final = 25
#: Functions of one concept each; their cumulative times overlap.
_CONCEPTS: Final = 'boragespool|pynng|h11|_run$'


def main() -> None:
    """Print the functions of one daemon with the largest times."""
    workload = WORKLOADS_BY_DEPLOYMENT['cooperative']
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'profile'
        with (
            LoadDriver() as driver,
            ProcessFleet(
                workload.shape,
                profile_paths_by_host={_HOST: str(path)},
            ) as fleet,
        ):
            run = driver.run(
                fleet,
                scale_flows(workload.ordinary_flows, _FACTOR),
                _RUN_S,
            )
            profiled = fleet.daemons_by_host[_HOST]
            profiled.signal(signal.SIGTERM)
            profiled.wait(60)
        print(f'{run.received} backend requests by all daemons')
        profile = pstats.Stats(str(path))
        profile.strip_dirs()
        profile.sort_stats('tottime').print_stats(_ROWS)
        unstripped = pstats.Stats(str(path))
        unstripped.sort_stats('cumtime').print_stats(_CONCEPTS, _ROWS)


if __name__ == '__main__':
    main()
