"""Cost of group membership per daemon at several fleet sizes.

All members run in one process with real links on 127.0.0.1. Prints one line
per size, and lines fitted to the cost over the size.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import resource
import statistics
import sys
import time
from dataclasses import dataclass
from typing import Final

from boragespool.bench.ports import free_address
from boragespool.bench.slopes import Point, fit_line
from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import MEMBERS
from boragespool.controllers.context import Context, Identity
from boragespool.controllers.membership.membership import MembershipController
from boragespool.events import configure_logging
from boragespool.peers import PeerNetwork, PeerOptions
from boragespool.timers import LoopTimers
from boragespool.types import MemberStatus

#: Fleets with more members take longer to close than to measure.
_SIZES: Final = (10, 30, 60)
_SHORT_SIZES: Final = (5, 10)
_SETTLE_S: Final = 12.0
_MEASURE_S: Final = 8.0
_DETECTION_TIMEOUT_S: Final = 30.0
_POLL_S: Final = 0.05
_ROW: Final = (
    '{members:>7} members: {bytes_per_s:8.0f} B/s sent, '
    '{frames_per_s:6.2f} frames/s sent, {cpu_percent:6.3f} % of a core per '
    'daemon; view {view:.1f}; dead daemon noticed by all in {detect_s:.1f} s; '
    'process {memory_mb:.0f} MB'
)


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of membership for one daemon, at one fleet size.

    Attributes
    ----------
    members : int
        Number of daemons in the fleet.
    bytes_per_s, frames_per_s : float
        Bytes and frames that a daemon sends per second.
    cpu_percent : float
        Percentage of a core that a daemon uses.
    view : float
        Mean number of member records that a daemon holds.
    detect_s : float
        Time in seconds until all other members consider a stopped daemon
        dead.
    memory_mb : float
        Peak resident memory of the process with all members, in MB.
    """

    members: int
    bytes_per_s: float
    frames_per_s: float
    cpu_percent: float
    view: float
    detect_s: float
    memory_mb: float


class MemberFleet:
    """Async context manager that runs all members in this process."""

    def __init__(self, size: int) -> None:
        """Choose the addresses; the first member is the seed of the others."""
        self._addresses_by_host = {
            f'entry-{member}': _free_address(member) for member in range(size)
        }
        self._stacks_by_host: dict[str, contextlib.AsyncExitStack] = {}
        self.networks_by_host: dict[str, PeerNetwork] = {}
        self.blackboards_by_host: dict[str, Blackboard] = {}

    async def __aenter__(self) -> MemberFleet:
        """Start all members."""
        for host in self._addresses_by_host:
            self._stacks_by_host[host] = contextlib.AsyncExitStack()
            await self._start(host)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all members concurrently."""
        await asyncio.gather(
            *(stack.aclose() for stack in self._stacks_by_host.values()),
        )

    async def stop(self, host: str) -> None:
        """Stop one member; it doesn't announce that it leaves."""
        del self.blackboards_by_host[host]
        await self._stacks_by_host[host].aclose()

    def traffic(self) -> tuple[int, int]:
        """Return the numbers of frames and bytes that all members sent."""
        counts = [
            network.traffic() for network in self.networks_by_host.values()
        ]
        frames, size_bytes = zip(*counts, strict=True)
        return sum(frames), sum(size_bytes)

    async def _start(self, host: str) -> None:
        address = self._addresses_by_host[host]
        timers = LoopTimers()
        stack = self._stacks_by_host[host]
        network = await stack.enter_async_context(
            PeerNetwork(PeerOptions(host, 1, address), timers),
        )
        identity = Identity(host, 1, 'north', 'east', address, address)
        blackboard = Blackboard()
        context = Context(
            identity,
            blackboard,
            timers,
            network,
            random.Random(host).random,
        )
        seed = next(iter(self._addresses_by_host))
        seeds = {seed: self._addresses_by_host[seed]}
        await stack.enter_async_context(
            MembershipController(context, lambda: seeds),
        )
        self.networks_by_host[host] = network
        self.blackboards_by_host[host] = blackboard


async def measure(size: int, settle_s: float, measure_s: float) -> Cost:
    """Run a fleet of a given size; return and print the cost per daemon."""
    async with MemberFleet(size) as fleet:
        await asyncio.sleep(settle_s)
        frames, sent_bytes = fleet.traffic()
        cpu_s, wall_s = time.process_time(), time.monotonic()
        await asyncio.sleep(measure_s)
        duration_s = time.monotonic() - wall_s
        cpu_s = time.process_time() - cpu_s
        frames_after, bytes_after = fleet.traffic()
        per_member_second = 1 / duration_s / size
        views = [
            len(blackboard.read(MEMBERS))
            for blackboard in fleet.blackboards_by_host.values()
        ]
        detect_s = await _measure_detection_s(fleet)
        peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        cost = Cost(
            members=size,
            bytes_per_s=(bytes_after - sent_bytes) * per_member_second,
            frames_per_s=(frames_after - frames) * per_member_second,
            cpu_percent=100 * cpu_s * per_member_second,
            view=statistics.mean(views),
            detect_s=detect_s,
            memory_mb=peak_kb / 1024,
        )
        # Print before the fleet closes, which takes long for a large one.
        print(
            _ROW.format(
                **{name: getattr(cost, name) for name in _cost_fields()}
            )
        )
        return cost


async def _measure_detection_s(fleet: MemberFleet) -> float:
    """Stop one member; return the time until all others see it dead."""
    host = max(fleet.blackboards_by_host)
    started_s = time.monotonic()
    await fleet.stop(host)
    while time.monotonic() - started_s < _DETECTION_TIMEOUT_S:
        if all(
            _is_dead(blackboard, host)
            for blackboard in fleet.blackboards_by_host.values()
        ):
            break
        await asyncio.sleep(_POLL_S)
    return time.monotonic() - started_s


def _is_dead(blackboard: Blackboard, host: str) -> bool:
    member = blackboard.read(MEMBERS).get(host)
    return member is None or member.status == MemberStatus.DEAD


def _free_address(number: int) -> str:
    """Return a free address on a separate IP address for each member.

    Avoids 127.0.0.1, where the links of all members use ports.
    """
    octet = number + 1
    return free_address(f'127.0.1.{octet}')


def main(*, is_short: bool = False) -> None:
    """Print one line per fleet size, and the fitted lines."""
    configure_logging('ERROR')
    costs = []
    for size in _SHORT_SIZES if is_short else _SIZES:
        cost = asyncio.run(
            measure(size, _SETTLE_S, _MEASURE_S),
        )
        costs.append(cost)
    for name in ('bytes_per_s', 'cpu_percent'):
        fit = fit_line(
            [Point(cost.members, (getattr(cost, name),)) for cost in costs],
        )
        line = '{}: {:.3f} + {:.5f} per member'
        print(line.format(name, fit.intercept, fit.slope))


def _cost_fields() -> tuple[str, ...]:
    return tuple(Cost.__dataclass_fields__)


if __name__ == '__main__':
    main(is_short='--short' in sys.argv)
