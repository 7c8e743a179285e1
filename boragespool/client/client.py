"""Client for queries and claims."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, Final, Self

import msgspec

from boragespool.client.addresses import AddressCache, Ticket
from boragespool.client.answers import (
    ClaimFailure,
    ClaimResult,
    QueryResult,
    failure_with_ticket,
)
from boragespool.client.channel import Channel, Reply, time_left_s
from boragespool.client.claims import NEW_TICKET_CODES, ClaimSubmission
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from boragespool.client.options import ClientOptions
    from boragespool.http import ExchangeFailure
    from boragespool.http.failures import FailureKind
    from boragespool.types import Address, Rank, RouteName, Seconds

#: Codes of refusals after which a query is resent to another daemon, which may
#: accept it. Refusals for overload are not among them, because resends would
#: add to the load.
_RESEND_CODES: Final = frozenset(
    (
        ResultCode.TOO_MANY_CONNECTIONS,
        ResultCode.NOT_READY,
        ResultCode.LEAVING,
        ResultCode.INTERNAL_ERROR,
        ResultCode.NO_SNAPSHOT,
    ),
)
_INITIAL_BACKOFF_S: Final = 0.02


class Client:
    """Sends queries and claims to daemons, an async context manager.

    Parameters
    ----------
    options : ClientOptions
        Name of the caller, initial addresses, timeouts and limits.
    draw : callable, optional
        Returns a random number in ``[0, 1)``.
    """

    def __init__(
        self,
        options: ClientOptions,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Set up the client; connections are opened by the first requests."""
        self._options = options
        self._draw = draw
        self._channel = Channel(options)
        self._address_cache = AddressCache(options, self._channel, draw)

    async def __aenter__(self) -> Self:
        """Return the client."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the idle connections."""
        await self._channel.__aexit__(*exc_info)

    @property
    def failures_after_send_by_kind(self) -> Mapping[FailureKind, int]:
        """Requests that failed after a byte was sent, resends included."""
        return self._channel.failures_after_send_by_kind

    async def query(
        self,
        route: RouteName,
        body: Any,
        deadline_s: Seconds,
        rank: Rank | None = None,
    ) -> QueryResult | Failure:
        """Send a query; resend it to another daemon if one fails.

        Parameters
        ----------
        route : str
            Name of a route in the settings of the daemons.
        body : Any
            JSON value for the backend servers.
        deadline_s : float
            Longest time for the answer, in seconds.
        rank : Rank, optional
            Rank of the request if lower than that of its route.

        Returns
        -------
        QueryResult or Failure
            The last refusal, or ``DEADLINE_PASSED`` with run state `unknown`
            if no daemon responded.
        """
        deadline_at_s = asyncio.get_running_loop().time() + deadline_s
        fields = _request_fields(route, body, rank)
        tried: set[Address] = set()
        last_answer: QueryResult | Failure = Failure(
            ResultCode.DEADLINE_PASSED,
            f'no daemon answered within {deadline_s!r} s',
            RunState.UNKNOWN,
        )
        for _ in range(self._options.query_attempts):
            answer = await self._query_next_address(
                fields, tried, deadline_at_s
            )
            if answer is not None:
                last_answer = answer
                if not _may_resend(answer):
                    break
        return last_answer

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
            Name of a route in the settings of the daemons.
        body : Any
            JSON value for the backend server.
        deadline_s : float
            Longest time for the answer, in seconds.
        rank : Rank, optional
            Rank of the request if lower than that of its route.

        Returns
        -------
        ClaimResult or ClaimFailure
            With run state ``NOT_RUN`` the caller may send the claim again.
            With ``UNKNOWN`` it must not, but may call `outcome` later.
        """
        deadline_at_s = asyncio.get_running_loop().time() + deadline_s
        fields = _request_fields(route, body, rank)
        result: ClaimResult | ClaimFailure = ClaimFailure(
            ResultCode.NOT_READY,
            'no ticket was requested; tickets_per_claim must be at least 1',
        )
        for attempt_number in range(self._options.tickets_per_claim):
            result, may_claim_again = await self._claim_once(
                fields, deadline_at_s
            )
            if not may_claim_again:
                break
            if not await self._back_off(attempt_number, result, deadline_at_s):
                break
        return result

    async def outcome(
        self,
        ticket: str,
        deadline_s: Seconds,
    ) -> ClaimResult | ClaimFailure:
        """Return the outcome of an earlier claim.

        A ticket whose claim never started is sealed, so that the claim can
        never run with it.

        Parameters
        ----------
        ticket : str
            `ClaimFailure.ticket` of a claim whose outcome is unknown.
        deadline_s : float
            Longest time for the answer, in seconds.
        """
        deadline_at_s = asyncio.get_running_loop().time() + deadline_s
        return await self._new_submission(
            Ticket(ticket, '', 0), deadline_at_s
        ).poll_outcome()

    def _new_submission(
        self, ticket: Ticket, deadline_at_s: Seconds
    ) -> ClaimSubmission:
        return ClaimSubmission(
            self._options,
            self._channel,
            self._address_cache,
            ticket,
            deadline_at_s,
        )

    async def _query_next_address(
        self,
        fields: dict[str, Any],
        tried: set[Address],
        deadline_at_s: Seconds,
    ) -> QueryResult | Failure | None:
        """Send a query to an untried address.

        Returns
        -------
        QueryResult or Failure or None
            None if no address or time is left or no valid response came.
        """
        address = await self._address_cache.choose_address(tried, deadline_at_s)
        left_s = time_left_s(deadline_at_s)
        if address in tried or left_s <= 0:
            return None
        tried.add(address)
        reply = await self._channel.post(
            address,
            '/v1/query',
            fields,
            left_s * self._options.attempt_share,
        )
        answer = _decode_query_result(reply)
        if answer is None or _may_resend(answer):
            self._address_cache.avoid(address)
        return answer

    async def _claim_once(
        self,
        fields: dict[str, Any],
        deadline_at_s: Seconds,
    ) -> tuple[ClaimResult | ClaimFailure, bool]:
        """Send a claim with a new ticket.

        Returns
        -------
        tuple
            Result, and whether the claim may be sent with another ticket.
        """
        ticket = await self._address_cache.take_ticket(deadline_at_s)
        if isinstance(ticket, Failure):
            return failure_with_ticket(ticket, ''), False
        submission = self._new_submission(ticket, deadline_at_s)
        result = await submission.run(fields)
        if isinstance(result, ClaimResult):
            return result, False
        is_not_run = result.run is RunState.NOT_RUN
        may_claim_again = is_not_run and not submission.received_unknown
        return result, may_claim_again and result.code in NEW_TICKET_CODES

    async def _back_off(
        self,
        attempt_number: int,
        result: ClaimResult | ClaimFailure,
        deadline_at_s: Seconds,
    ) -> bool:
        """Wait before the next ticket.

        Return False at once if the wait would last until the deadline.
        """
        # Exponential backoff with a random factor from 0.5 to 1.
        backoff_s = (
            _INITIAL_BACKOFF_S * 2**attempt_number * (1 + self._draw()) / 2
        )
        delay_s = backoff_s
        if isinstance(result, ClaimFailure):
            delay_s = max(backoff_s, result.retry_after_s)
        if time_left_s(deadline_at_s) <= delay_s:
            return False
        await asyncio.sleep(delay_s)
        return True


def _may_resend(answer: QueryResult | Failure) -> bool:
    return isinstance(answer, Failure) and answer.code in _RESEND_CODES


def _decode_query_result(
    reply: Reply | ExchangeFailure,
) -> QueryResult | Failure | None:
    if not isinstance(reply, Reply):
        return None
    if reply.refusal is not None:
        return reply.refusal
    try:
        return msgspec.json.decode(reply.body, type=QueryResult)
    except msgspec.MsgspecError:
        return None


def _request_fields(
    route: RouteName,
    body: Any,
    rank: Rank | None,
) -> dict[str, Any]:
    fields = {'route': route, 'body': body}
    return fields if rank is None else fields | {'rank': rank}
