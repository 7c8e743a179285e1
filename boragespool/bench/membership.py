"""Measures the cost of membership per daemon at several fleet sizes.

All members run in one process with real links on 127.0.0.1. Prints one line
per size and the fitted slopes.
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

from boragespool.bench.placement import free_address
from boragespool.bench.slopes import Point, fit_line
from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import MEMBERS
from boragespool.controllers.context import Context, Identity
from boragespool.controllers.membership.membership import MembershipController
from boragespool.events import configure_logging
from boragespool.peers import PeerNetwork, PeerOptions
from boragespool.timers import LoopTimers
from boragespool.types import MemberStatus

#: More members need longer to close than to measure.
_SIZES: Final = (10, 30, 60)
_SHORT_SIZES: Final = (5, 10)
_SETTLE_S: Final = 12.0
_MEASURE_S: Final = 8.0
_DETECT_LIMIT_S: Final = 30.0
_POLL_S: Final = 0.05
_ROW: Final = (
    '{members:>7} members: {bytes_per_s:8.0f} B/s sent, '
    '{frames_per_s:6.2f} frames/s sent, {cpu_percent:6.3f} % of a core per '
    'daemon; view {view:.1f}; dead daemon noticed by all in {detect_s:.1f} s; '
    'process {memory_mb:.0f} MB'
)


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one daemon at one fleet size.

    Attributes
    ----------
    view : float
        Mean number of records that a daemon holds.
    detect_s : float
        Time until all other members call a stopped daemon dead.
    """

    members: int
    bytes_per_s: float
    frames_per_s: float
    cpu_percent: float
    view: float
    detect_s: float
    memory_mb: float


class Fleet:
    """Members in this process, an async context manager."""

    def __init__(self, size: int) -> None:
        """Choose the addresses; the first member is the seed of the rest."""
        self._addresses = {
            f'entry-{member}': _free_address(member) for member in range(size)
        }
        self._stacks: dict[str, contextlib.AsyncExitStack] = {}
        self.networks: dict[str, PeerNetwork] = {}
        self.boards: dict[str, Blackboard] = {}

    async def __aenter__(self) -> Fleet:
        """Start all members."""
        for host in self._addresses:
            self._stacks[host] = contextlib.AsyncExitStack()
            await self._start(host)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all members at the same time."""
        await asyncio.gather(
            *(stack.aclose() for stack in self._stacks.values()),
        )

    async def stop(self, host: str) -> None:
        """Stop one member without a farewell."""
        del self.boards[host]
        await self._stacks[host].aclose()

    def traffic(self) -> tuple[int, int]:
        """Return frames and bytes sent by all members."""
        counts = [network.traffic() for network in self.networks.values()]
        frames, size_bytes = zip(*counts, strict=True)
        return sum(frames), sum(size_bytes)

    async def _start(self, host: str) -> None:
        address = self._addresses[host]
        timers = LoopTimers()
        stack = self._stacks[host]
        network = await stack.enter_async_context(
            PeerNetwork(PeerOptions(host, 1, address), timers),
        )
        identity = Identity(host, 1, 'north', 'east', address, address)
        board = Blackboard()
        context = Context(
            identity,
            board,
            timers,
            network,
            random.Random(host).random,
        )
        seed = next(iter(self._addresses))
        seeds = {seed: self._addresses[seed]}
        await stack.enter_async_context(
            MembershipController(context, lambda: seeds),
        )
        self.networks[host] = network
        self.boards[host] = board


async def measure(size: int, settle_s: float, measure_s: float) -> Cost:
    """Run one fleet and return the cost per daemon."""
    async with Fleet(size) as fleet:
        await asyncio.sleep(settle_s)
        frames, sent_bytes = fleet.traffic()
        cpu_s, wall_s = time.process_time(), time.monotonic()
        await asyncio.sleep(measure_s)
        duration_s = time.monotonic() - wall_s
        cpu_s = time.process_time() - cpu_s
        frames_after, bytes_after = fleet.traffic()
        share = 1 / duration_s / size
        views = [len(board.read(MEMBERS)) for board in fleet.boards.values()]
        detect_s = await _detection_s(fleet)
        peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        cost = Cost(
            members=size,
            bytes_per_s=(bytes_after - sent_bytes) * share,
            frames_per_s=(frames_after - frames) * share,
            cpu_percent=100 * cpu_s * share,
            view=statistics.mean(views),
            detect_s=detect_s,
            memory_mb=peak_kb / 1024,
        )
        # Closing a large fleet takes long; the line does not wait for it.
        print(_ROW.format(**{name: getattr(cost, name) for name in _fields()}))
        return cost


async def _detection_s(fleet: Fleet) -> float:
    """Stop the last member; wait until all others call it dead."""
    host = max(fleet.boards)
    started_s = time.monotonic()
    await fleet.stop(host)
    while time.monotonic() - started_s < _DETECT_LIMIT_S:
        if all(_is_dead(board, host) for board in fleet.boards.values()):
            break
        await asyncio.sleep(_POLL_S)
    return time.monotonic() - started_s


def _is_dead(board: Blackboard, host: str) -> bool:
    member = board.read(MEMBERS).get(host)
    return member is None or member.status == MemberStatus.DEAD


def _free_address(number: int) -> str:
    """Return a free address on an IP address of the member's own.

    The links of all members use ports of 127.0.0.1.
    """
    octet = number + 1
    return free_address(f'127.0.1.{octet}')


def main(*, is_short: bool = False) -> None:
    """Print one line per fleet size and the fitted slopes."""
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


def _fields() -> tuple[str, ...]:
    return tuple(Cost.__dataclass_fields__)


if __name__ == '__main__':
    main(is_short='--short' in sys.argv)
