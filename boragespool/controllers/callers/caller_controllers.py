"""Protocols of the controllers that the API for callers uses."""

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
    """Controller that answers queries."""

    async def answer(self, request: QueryRequest) -> QueryAnswer | Failure:
        """Return the answer within the deadline of the request."""
        ...


class ClaimRunner(Protocol):
    """Controller that runs claims and records their outcomes."""

    def issue(self, count: int) -> tuple[str, ...]:
        """Return new tickets."""
        ...

    def refuse(self, ticket: str, refusal: Failure) -> Failure | None:
        """Seal the ticket of a claim that is refused before it is checked.

        Return the refusal, or None if this daemon already has a record of
        the ticket, so that the request has to be answered with its outcome.
        The ticket of another daemon is not sealed; the refusal then has the
        run state ``UNKNOWN``.
        """
        ...

    async def run(self, request: ClaimRequest) -> ClaimAnswer | Failure:
        """Run a claim at most once for its ticket."""
        ...

    async def outcome(
        self,
        ticket: str,
        request_id: RequestId,
    ) -> ClaimAnswer | Failure:
        """Return the outcome of a claim; seal its ticket if it has not started.

        A sealed ticket cannot be used to start a claim any more.
        """
        ...


class AdmissionControl(Protocol):
    """Controller that admits requests by rank under overload."""

    def record_wait(self, waited_s: Seconds) -> None:
        """Record how long a request waited for the event loop."""
        ...

    def refuse(self, rank: Rank) -> Failure | None:
        """Count a request; return a failure if it is not admitted."""
        ...


class AddressSource(Protocol):
    """Controller that knows the daemons that accept new callers."""

    def addresses(
        self,
        data_centre: DataCentre,
        count: int,
    ) -> tuple[Address, ...]:
        """Return addresses for callers of a data centre, nearest first."""
        ...


class QueueReporter(Protocol):
    """Controller of the queues in front of the backend servers."""

    def status(self) -> object:
        """Return queue lengths and limits by server and rank.

        The result can be encoded as JSON.
        """
        ...


@dataclass(frozen=True, slots=True)
class CallerControllers:
    """Controllers that the API for callers uses."""

    query: QueryRunner
    claims: ClaimRunner
    members: AddressSource
    dispatch: QueueReporter
    overload: AdmissionControl
