"""The client that callers use."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, Final, Self

import msgspec

from boragespool.client.addresses import AddressBook, Ticket
from boragespool.client.answers import (
    ClaimFailure,
    ClaimResult,
    QueryResult,
    claim_failure,
)
from boragespool.client.channel import Channel, Reply, time_left_s
from boragespool.client.claims import NEW_TICKET_CODES, ClaimCourse
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from boragespool.client.options import ClientOptions
    from boragespool.http import ExchangeFailure
    from boragespool.http.client import FailureKind
    from boragespool.types import Address, Rank, RouteName, Seconds

#: Refusals of one daemon that another daemon may not share. Refusals that
#: tell of overload are not among them, so that resends add no load to it.
_RESEND_CODES: Final = frozenset(
    (
        ResultCode.TOO_MANY_CONNECTIONS,
        ResultCode.NOT_READY,
        ResultCode.LEAVING,
        ResultCode.INTERNAL_ERROR,
        ResultCode.NO_SNAPSHOT,
    ),
)
_FIRST_PAUSE_S: Final = 0.02


class Client:
    """Sends queries and claims to the tier, an async context manager.

    Parameters
    ----------
    options : ClientOptions
        Name of the caller, first addresses, bounds.
    draw : callable, optional
        Returns a random number in ``[0, 1)``.
    """

    def __init__(
        self,
        options: ClientOptions,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Keep the settings; connections open at the first request."""
        self._options = options
        self._draw = draw
        self._channel = Channel(options)
        self._book = AddressBook(options, self._channel, draw)

    async def __aenter__(self) -> Self:
        """Return the client."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the idle connections."""
        await self._channel.__aexit__(*exc_info)

    @property
    def failures_after_send_by_kind(self) -> Mapping[FailureKind, int]:
        """Exchanges that failed after a byte was sent, resends included."""
        return self._channel.failures_after_send_by_kind

    async def query(
        self,
        route: RouteName,
        body: Any,
        deadline_s: Seconds,
        rank: Rank | None = None,
    ) -> QueryResult | Failure:
        """Send a query, to another address if one fails.

        Parameters
        ----------
        route : str
            Route from the settings of the tier.
        body : Any
            JSON value for the backend servers.
        deadline_s : float
            Longest time for the answer, in seconds.
        rank : Rank, optional
            Rank below that of the route.

        Returns
        -------
        QueryResult or Failure
            The last refusal, or ``DEADLINE_PASSED`` with `unknown`.
        """
        until_s = asyncio.get_running_loop().time() + deadline_s
        fields = _fields(route, body, rank)
        tried: set[Address] = set()
        last: QueryResult | Failure = Failure(
            ResultCode.DEADLINE_PASSED,
            f'no daemon answered within {deadline_s!r} s',
            RunState.UNKNOWN,
        )
        for _ in range(self._options.query_attempts):
            answer = await self._query_next(fields, tried, until_s)
            if answer is not None:
                last = answer
                if not _may_resend(answer):
                    break
        return last

    async def claim(
        self,
        route: RouteName,
        body: Any,
        deadline_s: Seconds,
        rank: Rank | None = None,
    ) -> ClaimResult | ClaimFailure:
        """Send a claim that runs at most once.

        Parameters
        ----------
        route : str
            Route from the settings of the tier.
        body : Any
            JSON value for the backend server.
        deadline_s : float
            Longest time for the answer, in seconds.
        rank : Rank, optional
            Rank below that of the route.

        Returns
        -------
        ClaimResult or ClaimFailure
            With run state ``NOT_RUN`` the caller may claim again. With
            ``UNKNOWN`` it must not; `outcome` may tell more later.
        """
        until_s = asyncio.get_running_loop().time() + deadline_s
        fields = _fields(route, body, rank)
        settled: ClaimResult | ClaimFailure = ClaimFailure(
            ResultCode.NOT_READY,
            'no ticket was asked for',
        )
        for number in range(self._options.tickets_per_claim):
            settled, may_claim_again = await self._claim_once(fields, until_s)
            if not may_claim_again:
                break
            if not await self._pause(number, settled, until_s):
                break
        return settled

    async def outcome(
        self,
        ticket: str,
        deadline_s: Seconds,
    ) -> ClaimResult | ClaimFailure:
        """Ask for the outcome of a ticket; one that never started is sealed.

        Parameters
        ----------
        ticket : str
            `ClaimFailure.ticket` of a claim whose outcome is unknown.
        deadline_s : float
            Longest time for the answer, in seconds.
        """
        until_s = asyncio.get_running_loop().time() + deadline_s
        return await self._course(Ticket(ticket, '', 0), until_s).ask()

    def _course(self, ticket: Ticket, until_s: Seconds) -> ClaimCourse:
        return ClaimCourse(
            self._options,
            self._channel,
            self._book,
            ticket,
            until_s,
        )

    async def _query_next(
        self,
        fields: dict[str, Any],
        tried: set[Address],
        until_s: Seconds,
    ) -> QueryResult | Failure | None:
        """Send a query to one more address; None if no valid answer came."""
        address = await self._book.pick(tried, until_s)
        left_s = time_left_s(until_s)
        if address in tried or left_s <= 0:
            return None
        tried.add(address)
        reply = await self._channel.post(
            address,
            '/v1/query',
            fields,
            left_s * self._options.attempt_share,
        )
        answer = _decode(reply)
        if answer is None or _may_resend(answer):
            self._book.avoid(address)
        return answer

    async def _claim_once(
        self,
        fields: dict[str, Any],
        until_s: Seconds,
    ) -> tuple[ClaimResult | ClaimFailure, bool]:
        """Claim under one ticket; tell whether another one may be used."""
        ticket = await self._book.take_ticket(until_s)
        if isinstance(ticket, Failure):
            return claim_failure(ticket, ''), False
        course = self._course(ticket, until_s)
        settled = await course.run(fields)
        if isinstance(settled, ClaimResult):
            return settled, False
        is_not_run = settled.run is RunState.NOT_RUN
        may_claim_again = is_not_run and not course.said_unknown
        return settled, may_claim_again and settled.code in NEW_TICKET_CODES

    async def _pause(
        self,
        number: int,
        settled: ClaimResult | ClaimFailure,
        until_s: Seconds,
    ) -> bool:
        """Wait before the next ticket; False if the deadline is nearer."""
        # Jitter between half and all of a pause that doubles each time.
        backoff_s = _FIRST_PAUSE_S * 2**number * (1 + self._draw()) / 2
        pause_s = backoff_s
        if isinstance(settled, ClaimFailure):
            pause_s = max(backoff_s, settled.retry_after_s)
        if time_left_s(until_s) <= pause_s:
            return False
        await asyncio.sleep(pause_s)
        return True


def _may_resend(answer: QueryResult | Failure) -> bool:
    return isinstance(answer, Failure) and answer.code in _RESEND_CODES


def _decode(reply: Reply | ExchangeFailure) -> QueryResult | Failure | None:
    if not isinstance(reply, Reply):
        return None
    if reply.refusal is not None:
        return reply.refusal
    try:
        return msgspec.json.decode(reply.body, type=QueryResult)
    except msgspec.MsgspecError:
        return None


def _fields(
    route: RouteName,
    body: Any,
    rank: Rank | None,
) -> dict[str, Any]:
    fields = {'route': route, 'body': body}
    return fields if rank is None else fields | {'rank': rank}
