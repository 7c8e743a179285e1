"""The course of one claim under one ticket."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote

import msgspec

from boragespool.client.answers import (
    ClaimFailure,
    ClaimResult,
    claim_failure,
)
from boragespool.client.channel import Channel, Reply, time_left_s
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from boragespool.client.addresses import AddressBook, Ticket
    from boragespool.client.options import ClientOptions
    from boragespool.types import Address, Seconds

#: Refusals with `not_run` after which a new ticket may succeed.
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
#: Refusals that only concern one HTTP exchange. They say nothing about an
#: earlier exchange with the same ticket that is still under way.
_EXCHANGE_CODES: Final = frozenset(
    code
    for code in ResultCode
    if ResultCode.MALFORMED_HTTP <= code < ResultCode.QUEUE_FULL
    or code
    in {ResultCode.LEAVING, ResultCode.NOT_READY, ResultCode.INTERNAL_ERROR}
)
_FIRST_PAUSE_S: Final = 0.03


class ClaimCourse:
    """Sends one ticket until its outcome is known or the deadline passes.

    Parameters
    ----------
    options : ClientOptions
        Bounds.
    channel : Channel
        Connections.
    book : AddressBook
        Addresses.
    ticket : Ticket
        Ticket of the claim.
    deadline_s : float
        Deadline on the clock of the event loop.
    """

    def __init__(
        self,
        options: ClientOptions,
        channel: Channel,
        book: AddressBook,
        ticket: Ticket,
        deadline_s: Seconds,
    ) -> None:
        """Start with a ticket that was never sent."""
        self._options = options
        self._channel = channel
        self._book = book
        self._ticket = ticket
        self._deadline_s = deadline_s
        self._tried: set[Address] = set()
        # Whether an exchange with this ticket may still run the claim.
        self._is_open = False
        self._said_unknown = False
        self._pause_s = _FIRST_PAUSE_S

    @property
    def said_unknown(self) -> bool:
        """Whether a daemon answered `unknown` at any time."""
        return self._said_unknown

    async def run(self, fields: dict[str, Any]) -> ClaimResult | ClaimFailure:
        """Send the claim, and resend it with the same ticket.

        Parameters
        ----------
        fields : dict
            ``route``, ``body`` and optionally ``rank``.

        Returns
        -------
        ClaimResult or ClaimFailure
            ``NOT_RUN`` only if no exchange with the ticket can still run it.
        """
        body = fields | {'ticket': self._ticket.text}
        while time_left_s(self._deadline_s) > 0:
            address = await self._pick()
            reply = await self._channel.post(
                address,
                '/v1/claim',
                body,
                self._attempt_s(),
            )
            if isinstance(reply, Reply):
                return self._settle(reply, is_outcome=False) or await self.ask()
            self._is_open = self._is_open or reply.sent
            self._book.avoid(address)
            if not self._is_open and address == self._ticket.issuer:
                return self._abandon()
        return self._give_up()

    async def ask(self) -> ClaimResult | ClaimFailure:
        """Ask for the outcome until it is known or the deadline passes."""
        quoted = quote(self._ticket.text, safe='')
        target = f'/v1/claim/{quoted}'
        self._is_open = True
        while time_left_s(self._deadline_s) > 0:
            address = await self._pick()
            reply = await self._channel.get(address, target, self._attempt_s())
            if isinstance(reply, Reply):
                settled = self._settle(reply, is_outcome=True)
                if settled is not None:
                    return settled
            else:
                self._book.avoid(address)
            await self._pause()
        return self._give_up()

    async def _pick(self) -> Address:
        """Return the issuer first: it runs the claim without a forward."""
        address = self._ticket.issuer
        if not address or address in self._tried:
            address = await self._book.pick(self._tried, self._deadline_s)
            if address in self._tried:
                await self._pause()
        self._tried.add(address)
        return address

    async def _pause(self) -> None:
        """Wait twice as long as the last time."""
        left_s = time_left_s(self._deadline_s)
        await asyncio.sleep(max(0, min(self._pause_s, left_s)))
        self._pause_s *= 2

    def _attempt_s(self) -> Seconds:
        left_s = max(0, time_left_s(self._deadline_s))
        return left_s * self._options.attempt_share

    def _settle(
        self,
        reply: Reply,
        *,
        is_outcome: bool,
    ) -> ClaimResult | ClaimFailure | None:
        """Return what is final about the ticket; None if nothing is."""
        refusal = reply.refusal
        if refusal is None:
            return _decode(reply.body, self._ticket.text)
        if refusal.run is RunState.UNKNOWN:
            self._said_unknown = True
            return None
        if refusal.run is RunState.NOT_RUN and not self._is_final(
            refusal,
            is_outcome=is_outcome,
        ):
            return None
        return claim_failure(refusal, self._ticket.text)

    def _is_final(self, refusal: Failure, *, is_outcome: bool) -> bool:
        """Tell whether `not_run` covers all exchanges with the ticket."""
        if refusal.code is ResultCode.NOT_RUN_SEALED or not self._is_open:
            return True
        return is_outcome and refusal.code not in _EXCHANGE_CODES

    def _abandon(self) -> ClaimFailure:
        """Drop a ticket that was never sent and whose issuer is gone.

        Other daemons could only seal it at its witness, and would answer
        `unknown` if the witness is gone too.
        """
        issuer = self._ticket.issuer
        return ClaimFailure(
            ResultCode.PEER_UNREACHABLE,
            f'the issuer {issuer!r} of the ticket accepts no connection',
            ticket=self._ticket.text,
        )

    def _give_up(self) -> ClaimFailure:
        if self._is_open:
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


def _decode(body: bytes, ticket: str) -> ClaimResult | ClaimFailure:
    fields = msgspec.json.decode(body)
    try:
        return msgspec.convert(fields | {'ticket': ticket}, ClaimResult)
    except msgspec.ValidationError as error:
        return ClaimFailure(
            ResultCode.OUTCOME_UNKNOWN,
            f'the answer to the claim is not valid: {error}',
            RunState.UNKNOWN,
            ticket=ticket,
        )
