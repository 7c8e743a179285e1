"""False death declarations of members that are paused repeatedly.

``python -m boragespool.bench slow_members`` runs several fleets at the same
time and pauses the same daemons of all fleets at the same moments. In one
fleet the detection times are fixed; in the others a daemon lengthens them
with its local health score, up to a limit.
"""

from __future__ import annotations

import os
import random
import signal
import sys
import time
from contextlib import ExitStack
from typing import TYPE_CHECKING, Final

from boragespool.bench.process_fleet import ProcessFleet
from boragespool.bench.processes import exit_on_sigterm, wait_until
from boragespool.bench.shapes import DeploymentShape, ServiceShape
from boragespool.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragespool.types import HostName, Seconds

_SHAPE: Final = DeploymentShape(
    'paused',
    ('north', 'centre', 'south'),
    7,
    (ServiceShape('finder', 1, 2, 5, 40, 0),),
)
_HEALTH_LIMIT_VARIABLE: Final = 'BORAGESPOOL_MEMBER_HEALTH_LIMIT'
_HEALTH_LIMITS: Final = (0, 3, 8)
_RUN_S: Final = 40
_SHORT_RUN_S: Final = 15
_PAUSE_RANGE_S: Final = (0.5, 1.5)
_GAP_RANGE_S: Final = (0.3, 1.5)
#: Time after the last pause in which members learn that all members are
#: alive.
_SETTLE_S: Final = 4
_DETECTION_TIMEOUT_S: Final = 60
_SEED: Final = 20_261_204


def pause_schedule(
    count: int,
    duration_s: Seconds,
    rng: random.Random,
) -> Iterator[tuple[Seconds, int, int]]:
    """Yield time, daemon number and signal, not sorted by time.

    Parameters
    ----------
    count : int
        Number of daemons. Each alternates between running and being paused,
        for random durations.
    duration_s : float
        Time in which pauses can start, in seconds.
    rng : random.Random
        Source of the durations.
    """
    for number in range(count):
        pause_start_s = rng.uniform(*_GAP_RANGE_S)
        while pause_start_s < duration_s:
            pause_end_s = pause_start_s + rng.uniform(*_PAUSE_RANGE_S)
            yield pause_start_s, number, signal.SIGSTOP
            yield pause_end_s, number, signal.SIGCONT
            pause_start_s = pause_end_s + rng.uniform(*_GAP_RANGE_S)


def declared_deaths(
    fleet: ProcessFleet,
) -> list[tuple[HostName, HostName, int]]:
    """Return observer, member and beat of each declared death."""
    return [
        (event['observer'], event['host'], event['beat'])
        for daemon in fleet.daemons_by_host.values()
        for event in daemon.events()
        if event['event'] == Event.MEMBER_STATUS_CHANGED
        and event['status'] == 'dead'
    ]


def measure_detection_s(fleet: ProcessFleet) -> Seconds:
    """Kill the last daemon; return the time until all others see it dead."""
    host = tuple(fleet.daemons_by_host)[-1]
    earlier_count = len(
        [death for death in declared_deaths(fleet) if death[1] == host]
    )
    observer_count = len(fleet.daemons_by_host) - 1
    killed = fleet.daemons_by_host[host]
    killed.signal(signal.SIGKILL)
    killed.wait()
    return wait_until(
        lambda: (
            len([death for death in declared_deaths(fleet) if death[1] == host])
            >= earlier_count + observer_count
        ),
        _DETECTION_TIMEOUT_S,
        f'{host} is dead everywhere',
    )


def main(*, short: bool = False) -> None:
    """Print the false deaths and the detection time of each fleet.

    Parameters
    ----------
    short : bool
        Whether to run for a shorter time.
    """
    duration_s = _SHORT_RUN_S if short else _RUN_S
    with ExitStack() as stack:
        fleets = {
            f'health limit {limit}': stack.enter_context(
                ProcessFleet(
                    _SHAPE,
                    1,
                    variables={_HEALTH_LIMIT_VARIABLE: str(limit)},
                ),
            )
            for limit in _HEALTH_LIMITS
        }
        print(f'load average {os.getloadavg()[0]:.1f}')
        _pause_daemons(tuple(fleets.values()), duration_s)
        for name, fleet in fleets.items():
            false_deaths = declared_deaths(fleet)
            members = {(host, beat) for _, host, beat in false_deaths}
            print(
                f'{name}: {len(false_deaths)} false deaths declared, of '
                f'{len(members)} members and beats, in {duration_s} s',
            )
        for label, measured_fleet in fleets.items():
            detected_after_s = measure_detection_s(measured_fleet)
            print(
                f'{label}: a killed daemon is dead after {detected_after_s:.1f} s'
            )


def _pause_daemons(
    fleets: tuple[ProcessFleet, ...], duration_s: Seconds
) -> None:
    """Pause the daemons of all fleets at the same moments."""
    daemon_groups = [tuple(fleet.daemons_by_host.values()) for fleet in fleets]
    rng = random.Random(_SEED)
    schedule = sorted(pause_schedule(len(daemon_groups[0]), duration_s, rng))
    began_s = time.monotonic()
    for at_s, number, signal_number in schedule:
        time.sleep(max(0, began_s + at_s - time.monotonic()))
        for fleet_daemons in daemon_groups:
            fleet_daemons[number].signal(signal_number)
    time.sleep(_SETTLE_S)


if __name__ == '__main__':
    exit_on_sigterm()
    main(short='--short' in sys.argv)
