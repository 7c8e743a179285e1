"""Submission of a claim with one ticket, including resends.

A claim runs at most once per ticket, so it may be resent with the same ticket
to any daemon until its outcome is known.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote

import msgspec

from boragespool.client.answers import (
    ClaimFailure,
    ClaimResult,
    failure_with_ticket,
)
from boragespool.client.channel import Channel, Reply, time_left_s
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from boragespool.client.addresses import AddressCache, Ticket
    from boragespool.client.options import ClientOptions
    from boragespool.types import Address, Seconds

#: Codes of refusals with run state `not_run` after which the claim may succeed
#: with a new ticket.
NEW_TICKET_CODES: Final = frozenset(
    (
        ResultCode.NOT_RUN_SEALED,
        ResultCode.BAD_TICKET,
        ResultCode.TOO_MANY_CONNECTIONS,
        ResultCode.QUEUE_FULL,
        ResultCode.NO_SERVER,
        ResultCode.NOT_READY,
        ResultCode.LEAVING,
        ResultCode.NO_WITNESS,
        ResultCode.CANCELLED,
        ResultCode.OVERLOADED,
        ResultCode.PEER_UNREACHABLE,
        ResultCode.SERVER_UNREACHABLE,
        ResultCode.SERVER_SHED,
        ResultCode.SERVER_DRAINING,
    ),
)
#: Codes of refusals that concern a single HTTP request. They say nothing about
#: an earlier request with the same ticket that is still in progress.
_EXCHANGE_ONLY_CODES: Final = frozenset(
    code
    for code in ResultCode
    if ResultCode.MALFORMED_HTTP <= code < ResultCode.QUEUE_FULL
    or code
    in {ResultCode.LEAVING, ResultCode.NOT_READY, ResultCode.INTERNAL_ERROR}
)
_INITIAL_BACKOFF_S: Final = 0.03


class ClaimSubmission:
    """Sends a claim with one ticket until its outcome is known.

    It gives up when the deadline passes.

    Parameters
    ----------
    options : ClientOptions
        Timeouts and limits.
    channel : Channel
        Connections to the daemons.
    address_cache : AddressCache
        Source of daemon addresses.
    ticket : Ticket
        Ticket of the claim.
    deadline_s : float
        Deadline on the event loop's clock.
    """

    def __init__(
        self,
        options: ClientOptions,
        channel: Channel,
        address_cache: AddressCache,
        ticket: Ticket,
        deadline_s: Seconds,
    ) -> None:
        """Set up the state; the ticket was not sent yet."""
        self._options = options
        self._channel = channel
        self._address_cache = address_cache
        self._ticket = ticket
        self._deadline_s = deadline_s
        self._tried: set[Address] = set()
        # Whether a request with this ticket may still cause the claim to run.
        self._may_still_run = False
        self._received_unknown = False
        self._backoff_s = _INITIAL_BACKOFF_S

    @property
    def received_unknown(self) -> bool:
        """Whether a daemon replied with run state `unknown` at any time."""
        return self._received_unknown

    async def run(self, fields: dict[str, Any]) -> ClaimResult | ClaimFailure:
        """Send the claim and poll for its outcome if necessary.

        After a connection failure or timeout it is resent to other daemons
        with the same ticket.

        Parameters
        ----------
        fields : dict
            ``route``, ``body`` and optionally ``rank``.

        Returns
        -------
        ClaimResult or ClaimFailure
            Run state ``NOT_RUN`` only if no request with the ticket can still
            run the claim.
        """
        body = fields | {'ticket': self._ticket.text}
        while time_left_s(self._deadline_s) > 0:
            address = await self._next_address()
            reply = await self._channel.post(
                address,
                '/v1/claim',
                body,
                self._attempt_timeout_s(),
            )
            if isinstance(reply, Reply):
                return (
                    self._final_result(reply, is_outcome_reply=False)
                    or await self.poll_outcome()
                )
            self._may_still_run = self._may_still_run or reply.sent
            self._address_cache.avoid(address)
            if not self._may_still_run and address == self._ticket.issuer:
                return self._issuer_unreachable_failure()
        return self._deadline_failure()

    async def poll_outcome(self) -> ClaimResult | ClaimFailure:
        """Poll for the outcome until it is known or the deadline passes.

        A daemon seals a ticket whose claim never started, so that it can never
        run.
        """
        quoted_ticket = quote(self._ticket.text, safe='')
        target = f'/v1/claim/{quoted_ticket}'
        self._may_still_run = True
        while time_left_s(self._deadline_s) > 0:
            address = await self._next_address()
            reply = await self._channel.get(
                address, target, self._attempt_timeout_s()
            )
            if isinstance(reply, Reply):
                result = self._final_result(reply, is_outcome_reply=True)
                if result is not None:
                    return result
            else:
                self._address_cache.avoid(address)
            await self._back_off()
        return self._deadline_failure()

    async def _next_address(self) -> Address:
        """Return the issuer of the ticket first, then other daemons.

        Other daemons have to forward the claim to the issuer.
        """
        address = self._ticket.issuer
        if not address or address in self._tried:
            address = await self._address_cache.choose_address(
                self._tried, self._deadline_s
            )
            if address in self._tried:
                await self._back_off()
        self._tried.add(address)
        return address

    async def _back_off(self) -> None:
        """Wait twice as long as before, but not beyond the deadline."""
        left_s = time_left_s(self._deadline_s)
        await asyncio.sleep(max(0, min(self._backoff_s, left_s)))
        self._backoff_s *= 2

    def _attempt_timeout_s(self) -> Seconds:
        left_s = max(0, time_left_s(self._deadline_s))
        return left_s * self._options.attempt_share

    def _final_result(
        self,
        reply: Reply,
        *,
        is_outcome_reply: bool,
    ) -> ClaimResult | ClaimFailure | None:
        """Return the result that a reply proves; None if it proves none."""
        refusal = reply.refusal
        if refusal is None:
            return _decode_claim_result(reply.body, self._ticket.text)
        if refusal.run is RunState.UNKNOWN:
            self._received_unknown = True
            return None
        if refusal.run is RunState.NOT_RUN and not self._is_final_for_ticket(
            refusal,
            is_outcome_reply=is_outcome_reply,
        ):
            return None
        return failure_with_ticket(refusal, self._ticket.text)

    def _is_final_for_ticket(
        self, refusal: Failure, *, is_outcome_reply: bool
    ) -> bool:
        """Return whether `not_run` holds for all requests with the ticket."""
        if refusal.code is ResultCode.NOT_RUN_SEALED or not self._may_still_run:
            return True
        return is_outcome_reply and refusal.code not in _EXCHANGE_ONLY_CODES

    def _issuer_unreachable_failure(self) -> ClaimFailure:
        """Return the failure of a claim whose ticket was not sent yet.

        Its issuer is unreachable. Other daemons could only seal the ticket at
        its witness, and would reply `unknown` if that is unreachable too.
        """
        issuer = self._ticket.issuer
        return ClaimFailure(
            ResultCode.PEER_UNREACHABLE,
            f'the issuer {issuer!r} of the ticket accepts no connection',
            ticket=self._ticket.text,
        )

    def _deadline_failure(self) -> ClaimFailure:
        if self._may_still_run:
            return ClaimFailure(
                ResultCode.OUTCOME_UNKNOWN,
                'the deadline passed before the outcome was known',
                RunState.UNKNOWN,
                ticket=self._ticket.text,
            )
        return ClaimFailure(
            ResultCode.DEADLINE_PASSED,
            'the deadline passed before any daemon accepted the claim',
            ticket=self._ticket.text,
        )


def _decode_claim_result(
    body: bytes, ticket: str
) -> ClaimResult | ClaimFailure:
    fields = msgspec.json.decode(body)
    try:
        return msgspec.convert(fields | {'ticket': ticket}, ClaimResult)
    except msgspec.ValidationError as error:
        return ClaimFailure(
            ResultCode.OUTCOME_UNKNOWN,
            f'the reply to the claim is not valid: {error}',
            RunState.UNKNOWN,
            ticket=ticket,
        )
