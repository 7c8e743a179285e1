"""Profile of one daemon under load, measured with cProfile.

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
#: Multiple of the ordinary load; about half of what one machine can handle.
_LOAD_FACTOR: Final = 4
_ROW_COUNT: Final = 25
#: Functions of this project and of its main dependencies. Their cumulative
#: times overlap.
_COMPONENT_PATTERN: Final = 'boragespool|pynng|h11|_run$'


def main() -> None:
    """Print the functions of one daemon that take the most time."""
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
                scale_flows(workload.ordinary_flows, _LOAD_FACTOR),
                _RUN_S,
            )
            profiled = fleet.daemons_by_host[_HOST]
            profiled.signal(signal.SIGTERM)
            profiled.wait(60)
        print(f'{run.received} backend requests by all daemons')
        profile = pstats.Stats(str(path))
        profile.strip_dirs()
        profile.sort_stats('tottime').print_stats(_ROW_COUNT)
        full_path_profile = pstats.Stats(str(path))
        full_path_profile.sort_stats('cumtime').print_stats(
            _COMPONENT_PATTERN, _ROW_COUNT
        )


if __name__ == '__main__':
    main()
