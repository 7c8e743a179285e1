"""Calls that the API towards callers makes to other controllers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from boragespool.controllers.requests import (
        ClaimAnswer,
        ClaimRequest,
        QueryAnswer,
        QueryRequest,
    )
    from boragespool.results import Failure
    from boragespool.types import (
        Address,
        DataCentre,
        Rank,
        RequestId,
        Seconds,
    )


class QueryRunner(Protocol):
    """Answers queries."""

    async def answer(self, request: QueryRequest) -> QueryAnswer | Failure:
        """Answer within the deadline of the request."""
        ...


class ClaimRunner(Protocol):
    """Runs claims and remembers their outcomes."""

    def issue(self, count: int) -> tuple[str, ...]:
        """Return new tickets."""
        ...

    def refuse(self, ticket: str, refusal: Failure) -> Failure | None:
        """Seal a ticket without a check; None if its claim is known here."""
        ...

    async def run(self, request: ClaimRequest) -> ClaimAnswer | Failure:
        """Run a claim at most once for its ticket."""
        ...

    async def outcome(
        self,
        ticket: str,
        request_id: RequestId,
    ) -> ClaimAnswer | Failure:
        """Return the outcome, sealing a ticket that has not started."""
        ...


class AdmissionControl(Protocol):
    """Decides which requests of callers are admitted."""

    def record_wait(self, waited_s: Seconds) -> None:
        """Note how long a request waited for the event loop."""
        ...

    def refuse(self, rank: Rank) -> Failure | None:
        """Return a refusal unless the request is admitted."""
        ...


class AddressSource(Protocol):
    """Knows the daemons that take new callers."""

    def addresses(
        self,
        data_centre: DataCentre,
        count: int,
    ) -> tuple[Address, ...]:
        """Return addresses for callers of a data centre, best first."""
        ...


class QueueReporter(Protocol):
    """Knows the queues in front of backend servers."""

    def status(self) -> object:
        """Return queue lengths and limits by server and rank."""
        ...


@dataclass(frozen=True, slots=True)
class CallerControllers:
    """Controllers behind the API towards callers."""

    query: QueryRunner
    claims: ClaimRunner
    members: AddressSource
    dispatch: QueueReporter
    overload: AdmissionControl
