"""False deaths among members that are paused again and again.

``python -m boragespool.bench slow_members`` runs fleets at the same time,
one with fixed detection times and others whose daemons lengthen them with
their health score, and pauses the daemons of all at the same moments.
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
_LIMIT_VARIABLE: Final = 'BORAGESPOOL_MEMBER_HEALTH_LIMIT'
_LIMITS: Final = (0, 3, 8)
_RUN_S: Final = 40
_SHORT_RUN_S: Final = 15
_PAUSE_S: Final = (0.5, 1.5)
_GAP_S: Final = (0.3, 1.5)
#: Time after the last pause in which members learn that all are alive.
_SETTLE_S: Final = 4
_DETECTION_LIMIT_S: Final = 60
_SEED: Final = 20_261_204


def pause_schedule(
    count: int,
    duration_s: Seconds,
    draw: random.Random,
) -> Iterator[tuple[Seconds, int, int]]:
    """Yield time, number of the daemon and signal, in no order of time.

    Parameters
    ----------
    count : int
        Daemons; each is paused and continued in turns of random length.
    duration_s : float
        Time in which pauses begin, in seconds.
    draw : random.Random
        Source of the lengths.
    """
    for number in range(count):
        begin_s = draw.uniform(*_GAP_S)
        while begin_s < duration_s:
            end_s = begin_s + draw.uniform(*_PAUSE_S)
            yield begin_s, number, signal.SIGSTOP
            yield end_s, number, signal.SIGCONT
            begin_s = end_s + draw.uniform(*_GAP_S)


def deaths(fleet: ProcessFleet) -> list[tuple[HostName, HostName, int]]:
    """Return observer, member and beat of each death that was declared."""
    return [
        (event['observer'], event['host'], event['beat'])
        for entry in fleet.daemons_by_host.values()
        for event in entry.events()
        if event['event'] == Event.MEMBER_STATUS_CHANGED
        and event['status'] == 'dead'
    ]


def detection_s(fleet: ProcessFleet) -> Seconds:
    """Kill the last daemon; return when all others call it dead."""
    host = tuple(fleet.daemons_by_host)[-1]
    before = len([death for death in deaths(fleet) if death[1] == host])
    others = len(fleet.daemons_by_host) - 1
    killed = fleet.daemons_by_host[host]
    killed.signal(signal.SIGKILL)
    killed.wait()
    return wait_until(
        lambda: (
            len([death for death in deaths(fleet) if death[1] == host])
            >= before + others
        ),
        _DETECTION_LIMIT_S,
        f'{host} is dead everywhere',
    )


def main(*, short: bool = False) -> None:
    """Print the false deaths and the detection time of each fleet.

    Parameters
    ----------
    short : bool
        Whether to pause for a shorter time.
    """
    duration_s = _SHORT_RUN_S if short else _RUN_S
    with ExitStack() as stack:
        fleets = {
            f'health limit {limit}': stack.enter_context(
                ProcessFleet(
                    _SHAPE,
                    1,
                    variables={_LIMIT_VARIABLE: str(limit)},
                ),
            )
            for limit in _LIMITS
        }
        print(f'load average {os.getloadavg()[0]:.1f}')
        _pause(tuple(fleets.values()), duration_s)
        for name, fleet in fleets.items():
            declared = deaths(fleet)
            members = {(host, beat) for _, host, beat in declared}
            print(
                f'{name}: {len(declared)} false deaths declared, of '
                f'{len(members)} members and beats, in {duration_s} s',
            )
        for label, one in fleets.items():
            took_s = detection_s(one)
            print(f'{label}: a killed daemon is dead after {took_s:.1f} s')


def _pause(fleets: tuple[ProcessFleet, ...], duration_s: Seconds) -> None:
    """Pause the daemons of all fleets at the same moments."""
    entries = [tuple(fleet.daemons_by_host.values()) for fleet in fleets]
    draw = random.Random(_SEED)
    schedule = sorted(pause_schedule(len(entries[0]), duration_s, draw))
    began_s = time.monotonic()
    for at_s, number, sent in schedule:
        time.sleep(max(0, began_s + at_s - time.monotonic()))
        for fleet_entries in entries:
            fleet_entries[number].signal(sent)
    time.sleep(_SETTLE_S)


if __name__ == '__main__':
    exit_on_sigterm()
    main(short='--short' in sys.argv)
