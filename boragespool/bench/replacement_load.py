"""Open-loop query and claim load that runs while daemons are replaced."""

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
class LoadRates:
    """Routes of the load and their request rates."""

    query_route: RouteName
    claim_route: RouteName
    queries_per_s: float
    claims_per_s: float


@dataclass(slots=True)
class CallerResults:
    """Results that the callers saw during one run.

    Attributes
    ----------
    request_count : int
        Requests that have ended, with an answer or without.
    interrupted_by_kind : Counter of str
        HTTP exchanges that failed after a byte was sent, by kind of failure.
        The client resends the request, so most of them are still answered.
    failures_by_code : Counter of int
        Requests without a complete answer in time, by result code.
    run_states_by_claim : dict
        Run state that the answer to each claim stated.
    max_latency_s : float
        Longest time from the scheduled time of a request to its answer, in
        seconds.
    max_lag_s : float
        Longest delay between the scheduled time of a request and its sending
        by the driver, in seconds.
    """

    request_count: int = 0
    interrupted_by_kind: Counter[str] = field(default_factory=Counter)
    failures_by_code: Counter[int] = field(default_factory=Counter)
    run_states_by_claim: dict[str, RunState] = field(default_factory=dict)
    max_latency_s: Seconds = 0
    max_lag_s: Seconds = 0


@dataclass(frozen=True, slots=True)
class ClaimComparison:
    """Numbers of claims with an unknown, wrong or repeated run.

    The answers are compared with the runs that the servers counted.

    Attributes
    ----------
    lost : int
        Claims answered with `run` that did not run.
    unknown : int
        Claims answered with `unknown`.
    false_not_run : int
        Claims answered with `not_run` that did run.
    duplicated : int
        Claims that ran more than once.
    """

    lost: int
    unknown: int
    false_not_run: int
    duplicated: int


def compare_claims(
    run_states_by_claim: Mapping[str, RunState],
    run_counts_by_claim: Mapping[str, int],
) -> ClaimComparison:
    """Compare the answers to claims with the runs that servers counted.

    Parameters
    ----------
    run_states_by_claim : mapping of str to RunState
        Answered run state by claim id.
    run_counts_by_claim : mapping of str to int
        Runs counted by the backend servers, by claim id.
    """
    counts_by_case = Counter(
        (run, bool(run_counts_by_claim.get(claim)))
        for claim, run in run_states_by_claim.items()
    )
    return ClaimComparison(
        counts_by_case[RunState.RUN, False],
        counts_by_case[RunState.UNKNOWN, True]
        + counts_by_case[RunState.UNKNOWN, False],
        counts_by_case[RunState.NOT_RUN, True],
        sum(
            run_counts_by_claim.get(claim, 0) > 1
            for claim in run_states_by_claim
        ),
    )


class ReplacementLoad(threading.Thread):
    """Thread that sends requests of several callers at random times.

    The scheduled times don't depend on earlier answers. As a context manager
    it starts the load on entry; on exit it stops the load and waits for the
    outstanding answers.

    Parameters
    ----------
    fleet : ProcessFleet
        Deployment whose daemons get the requests.
    rates : LoadRates
        Routes and rates.
    name : str
        Prefix of the claim ids.

    Attributes
    ----------
    results : CallerResults
        Results so far; complete after the exit.
    """

    def __init__(
        self, fleet: ProcessFleet, rates: LoadRates, name: str
    ) -> None:
        """Set up the thread with the current addresses of the daemons."""
        # A daemon thread, because a second SIGTERM can interrupt `__exit__`
        # and the process still has to exit.
        super().__init__(name=name, daemon=True)
        self.results = CallerResults()
        self._rates = rates
        self._rng = random.Random(_SEED)
        self._addresses = fleet.addresses
        self._data_centres = fleet.shape.data_centres
        self._request_numbers = itertools.count(1)
        self._stop_requested = threading.Event()

    def __enter__(self) -> Self:
        """Start to send requests."""
        self.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop sending and wait for the outstanding answers."""
        self._stop_requested.set()
        self.join()

    def run(self) -> None:
        """Send requests from an event loop in this thread."""
        asyncio.run(self._send_all())

    async def _send_all(self) -> None:
        async with AsyncExitStack() as stack:
            clients = [
                await stack.enter_async_context(Client(self._options(number)))
                for number in range(_CALLER_COUNT)
            ]
            await self._send_at_rate(clients)
            for client in clients:
                self.results.interrupted_by_kind.update(
                    client.failures_after_send_by_kind
                )

    async def _send_at_rate(self, clients: list[Client]) -> None:
        """Send requests at random times until stopped; wait for all answers."""
        rate_per_s = self._rates.queries_per_s + self._rates.claims_per_s
        due_s = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            while not self._stop_requested.is_set():
                due_s += self._rng.expovariate(rate_per_s)
                await asyncio.sleep(due_s - time.monotonic())
                number = next(self._request_numbers)
                client = clients[number % _CALLER_COUNT]
                tasks.create_task(self._send(client, number, due_s))

    def _options(self, number: int) -> ClientOptions:
        data_centre = self._data_centres[number % len(self._data_centres)]
        return ClientOptions(f'caller-{number}', self._addresses, data_centre)

    async def _send(self, client: Client, number: int, due_s: Seconds) -> None:
        rates = self._rates
        lag_s = time.monotonic() - due_s
        self.results.max_lag_s = max(self.results.max_lag_s, lag_s)
        total_per_s = rates.queries_per_s + rates.claims_per_s
        answer: QueryResult | ClaimResult | Failure
        if self._rng.random() * total_per_s < rates.queries_per_s:
            answer = await client.query(
                rates.query_route,
                {'match': f'item-{number:06}'},
                _QUERY_DEADLINE_S,
            )
            is_complete = getattr(answer, 'coverage', 0) == 1
        else:
            claim_id = f'{self.name}-{number}'
            answer = await client.claim(
                rates.claim_route,
                {'claim_id': claim_id},
                _CLAIM_DEADLINE_S,
            )
            self.results.run_states_by_claim[claim_id] = answer.run
            is_complete = not isinstance(answer, Failure)
        self._record_answer(int(answer.code), due_s, is_complete=is_complete)

    def _record_answer(
        self, code: int, due_s: Seconds, *, is_complete: bool
    ) -> None:
        results = self.results
        results.request_count += 1
        results.max_latency_s = max(
            results.max_latency_s, time.monotonic() - due_s
        )
        if not is_complete:
            results.failures_by_code[code] += 1
