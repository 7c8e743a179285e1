"""Open-loop queries and claims of callers while daemons are replaced."""

from __future__ import annotations

import asyncio
import itertools
import random
import threading
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, Self

from boragespool.client import Client, ClientOptions
from boragespool.results import Failure
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.bench.process_fleet import ProcessFleet
    from boragespool.client.answers import ClaimResult, QueryResult
    from boragespool.types import RouteName, Seconds

_QUERY_DEADLINE_S: Final = 1
_CLAIM_DEADLINE_S: Final = 2
_CALLER_COUNT: Final = 6
_SEED: Final = 20_261_204


@dataclass(frozen=True, slots=True)
class LoadMix:
    """Routes and rates of the load."""

    query_route: RouteName
    claim_route: RouteName
    queries_per_s: float
    claims_per_s: float


@dataclass(slots=True)
class Service:
    """What callers got during one part of a measurement.

    Attributes
    ----------
    broken : Counter of str
        Exchanges that failed after a byte was sent, by kind of failure. The
        client resends them, so most of them are answered all the same.
    failed : Counter of int
        Requests without a complete answer in time, by result code.
    run_by_claim : dict
        What callers were told of their claims.
    slowest_s : float
        Longest time from the scheduled start to the answer, in seconds.
    lag_s : float
        Longest delay with which the driver itself sent a request.
    """

    offered: int = 0
    broken: Counter[str] = field(default_factory=Counter)
    failed: Counter[int] = field(default_factory=Counter)
    run_by_claim: dict[str, RunState] = field(default_factory=dict)
    slowest_s: Seconds = 0
    lag_s: Seconds = 0


@dataclass(frozen=True, slots=True)
class ClaimComparison:
    """Answers to claims compared with the runs that servers counted.

    Attributes
    ----------
    lost : int
        Claims that were answered `run` and did not run.
    unknown : int
        Claims that were answered `unknown`.
    false_not_run : int
        Claims that were answered `not_run` and ran.
    duplicated : int
        Claims that ran more than once.
    """

    lost: int
    unknown: int
    false_not_run: int
    duplicated: int


def compare_claims(
    run_by_claim: Mapping[str, RunState],
    count_by_claim: Mapping[str, int],
) -> ClaimComparison:
    """Compare the answers to claims with the counted runs."""
    told = Counter(
        (run, bool(count_by_claim.get(claim)))
        for claim, run in run_by_claim.items()
    )
    return ClaimComparison(
        told[RunState.RUN, False],
        told[RunState.UNKNOWN, True] + told[RunState.UNKNOWN, False],
        told[RunState.NOT_RUN, True],
        sum(count_by_claim.get(claim, 0) > 1 for claim in run_by_claim),
    )


class ReplacementLoad(threading.Thread):
    """Callers that send at random times until they are stopped.

    Requests start at times that don't depend on earlier answers. A context
    manager: the load begins on entry and all answers are in on exit.

    Parameters
    ----------
    fleet : ProcessFleet
        Daemons to send to.
    mix : LoadMix
        Load.
    name : str
        Prefix of the claim ids.
    """

    def __init__(self, fleet: ProcessFleet, mix: LoadMix, name: str) -> None:
        """Prepare the callers; they follow the address answers later."""
        # A second SIGTERM can interrupt `__exit__`; the process has to end
        # all the same.
        super().__init__(name=name, daemon=True)
        self.service = Service()
        self._mix = mix
        self._draw = random.Random(_SEED)
        self._addresses = fleet.addresses
        self._sites = fleet.shape.data_centres
        self._numbers = itertools.count(1)
        self._stopping = threading.Event()

    def __enter__(self) -> Self:
        """Begin to send."""
        self.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop sending and wait for the last answer."""
        self._stopping.set()
        self.join()

    def run(self) -> None:
        """Send from an event loop of this thread."""
        asyncio.run(self._send_all())

    async def _send_all(self) -> None:
        async with AsyncExitStack() as stack:
            clients = [
                await stack.enter_async_context(Client(self._options(number)))
                for number in range(_CALLER_COUNT)
            ]
            await self._keep_rate(clients)
            for client in clients:
                self.service.broken.update(client.broken_by_kind)

    async def _keep_rate(self, clients: list[Client]) -> None:
        """Start requests at their times; return after the last answer."""
        per_s = self._mix.queries_per_s + self._mix.claims_per_s
        due_s = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            while not self._stopping.is_set():
                due_s += self._draw.expovariate(per_s)
                await asyncio.sleep(due_s - time.monotonic())
                number = next(self._numbers)
                client = clients[number % _CALLER_COUNT]
                tasks.create_task(self._send(client, number, due_s))

    def _options(self, number: int) -> ClientOptions:
        site = self._sites[number % len(self._sites)]
        return ClientOptions(f'caller-{number}', self._addresses, site)

    async def _send(self, client: Client, number: int, due_s: Seconds) -> None:
        mix = self._mix
        lag_s = time.monotonic() - due_s
        self.service.lag_s = max(self.service.lag_s, lag_s)
        total = mix.queries_per_s + mix.claims_per_s
        answer: QueryResult | ClaimResult | Failure
        if self._draw.random() * total < mix.queries_per_s:
            answer = await client.query(
                mix.query_route,
                {'match': f'item-{number:06}'},
                _QUERY_DEADLINE_S,
            )
            is_whole = getattr(answer, 'coverage', 0) == 1
        else:
            claim_id = f'{self.name}-{number}'
            answer = await client.claim(
                mix.claim_route,
                {'claim_id': claim_id},
                _CLAIM_DEADLINE_S,
            )
            self.service.run_by_claim[claim_id] = answer.run
            is_whole = not isinstance(answer, Failure)
        self._note(int(answer.code), due_s, is_whole=is_whole)

    def _note(self, code: int, due_s: Seconds, *, is_whole: bool) -> None:
        service = self.service
        service.offered += 1
        service.slowest_s = max(service.slowest_s, time.monotonic() - due_s)
        if not is_whole:
            service.failed[code] += 1
