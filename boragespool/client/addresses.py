"""Cache of daemon addresses and unused tickets of a client.

Both are returned by ``GET /v1/addresses``.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeVar
from urllib.parse import urlencode

import msgspec

from boragespool.client.answers import AddressAnswer
from boragespool.client.channel import Channel, Reply, time_left_s
from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from boragespool.client.options import ClientOptions
    from boragespool.types import Address, Seconds

    _ChoiceT = TypeVar('_ChoiceT')

#: Time between two attempts to refresh the cache, in seconds. The addresses
#: known before are used in between.
_REFRESH_RETRY_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class Ticket:
    """An unused ticket for one claim.

    Attributes
    ----------
    text : str
        Ticket as the daemon encoded it.
    issuer : str
        Address of the daemon that issued it; empty if unknown.
    taken_s : float
        Time of the event loop's clock at which it was received.
    """

    text: str
    issuer: Address
    taken_s: Seconds


class AddressCache:
    """Cache of the daemon addresses and unused tickets of one client.

    Parameters
    ----------
    options : ClientOptions
        Initial addresses, timeouts and limits.
    channel : Channel
        Connections to the daemons.
    draw : callable
        Returns a random number in ``[0, 1)``.
    """

    def __init__(
        self,
        options: ClientOptions,
        channel: Channel,
        draw: Callable[[], float],
    ) -> None:
        """Start with the initial addresses and without tickets."""
        self._options = options
        self._channel = channel
        self._draw = draw
        self._addresses = options.addresses
        self._addresses_valid_until_s = float('-inf')
        self._avoid_until_by_address: dict[Address, Seconds] = {}
        self._tickets: deque[Ticket] = deque(maxlen=options.ticket_limit)
        self._fetch_lock = asyncio.Lock()

    def avoid(self, address: Address) -> None:
        """Avoid an address after a failure and drop the tickets it issued.

        It is used for `ClientOptions.avoid_s` only if all other addresses are
        avoided too or were tried by the same request.
        """
        avoid_until_s = (
            asyncio.get_running_loop().time() + self._options.avoid_s
        )
        self._avoid_until_by_address[address] = avoid_until_s
        for ticket in tuple(self._tickets):
            if ticket.issuer == address:
                self._tickets.remove(ticket)

    async def choose_address(
        self,
        tried: Collection[Address],
        deadline_s: Seconds,
    ) -> Address:
        """Return one of two random addresses.

        The one with fewer requests in flight from this client is chosen (power
        of two choices).

        Parameters
        ----------
        tried : collection of str
            Addresses to which this request was sent already. They are used
            again only if no other address is known.
        deadline_s : float
            Time of the event loop's clock at which to stop waiting for a
            refresh of the addresses.
        """
        if time_left_s(self._addresses_valid_until_s) <= 0:
            await self._refresh(deadline_s)
        candidates = self._preferred_addresses(self._addresses, tried)
        if all(address in tried for address in candidates):
            candidates = self._preferred_addresses(
                self._addresses + self._options.addresses,
                tried,
            )
        loads = self._channel.in_flight_by_address
        return min(
            self._choose_random(candidates),
            self._choose_random(candidates),
            key=lambda address: loads[address],
        )

    async def take_ticket(self, deadline_s: Seconds) -> Ticket | Failure:
        """Remove and return an unused ticket; fetch new ones if none is left.

        Parameters
        ----------
        deadline_s : float
            Time of the event loop's clock at which to give up.

        Returns
        -------
        Ticket or Failure
            ``NOT_READY`` if no daemon issued a ticket before the deadline.
        """
        while True:
            ticket = self._pop_ticket()
            if ticket is not None:
                return ticket
            left_s = time_left_s(deadline_s)
            if left_s <= 0:
                return Failure(
                    ResultCode.NOT_READY,
                    'no daemon issued a ticket before the deadline',
                )
            if not await self._refresh(deadline_s, needs_ticket=True):
                await asyncio.sleep(min(_REFRESH_RETRY_S, left_s))

    async def _refresh(
        self,
        deadline_s: Seconds,
        *,
        needs_ticket: bool = False,
    ) -> bool:
        """Refresh the cache, once for all concurrent requests.

        Returns
        -------
        bool
            Whether the cache already held what is needed, or tickets were
            fetched; False if no daemon sent tickets or the deadline passed.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline_s), self._fetch_lock:
                is_fresh = time_left_s(self._addresses_valid_until_s) > 0
                if needs_ticket:
                    is_fresh = bool(self._tickets)
                if is_fresh:
                    return True
                return await self._fetch(deadline_s)
        return False

    def _pop_ticket(self) -> Ticket | None:
        oldest_s = asyncio.get_running_loop().time()
        oldest_s -= self._options.ticket_age_s
        while self._tickets:
            ticket = self._tickets.popleft()
            if ticket.taken_s >= oldest_s:
                return ticket
        return None

    async def _fetch(self, deadline_s: Seconds) -> bool:
        """Request addresses from daemons in turn until one sends tickets.

        Returns
        -------
        bool
            Whether a daemon sent tickets.
        """
        self._addresses_valid_until_s = (
            asyncio.get_running_loop().time() + _REFRESH_RETRY_S
        )
        tried: set[Address] = set()
        known_addresses = self._addresses + self._options.addresses
        while (
            len(tried) < len(set(known_addresses))
            and time_left_s(deadline_s) > 0
        ):
            address = self._choose_random(
                self._preferred_addresses(known_addresses, tried)
            )
            tried.add(address)
            answer = await self._request_addresses(
                address, time_left_s(deadline_s)
            )
            if answer is not None:
                self._store_answer(address, answer)
                if answer.tickets:
                    return True
        return False

    async def _request_addresses(
        self,
        address: Address,
        left_s: Seconds,
    ) -> AddressAnswer | None:
        query_parameters = {'tickets': str(self._options.ticket_count)}
        if self._options.data_centre:
            query_parameters['data_centre'] = self._options.data_centre
        query_string = urlencode(query_parameters)
        reply = await self._channel.get(
            address,
            f'/v1/addresses?{query_string}',
            min(left_s, self._options.address_timeout_s),
        )
        if not isinstance(reply, Reply) or reply.refusal is not None:
            self.avoid(address)
            return None
        try:
            return msgspec.json.decode(reply.body, type=AddressAnswer)
        except msgspec.MsgspecError:
            self.avoid(address)
            return None

    def _store_answer(self, address: Address, answer: AddressAnswer) -> None:
        now_s = asyncio.get_running_loop().time()
        if answer.addresses:
            self._addresses = answer.addresses
            self._addresses_valid_until_s = now_s + answer.keep_s
        self._tickets.extend(
            Ticket(text, address, now_s) for text in answer.tickets
        )

    def _preferred_addresses(
        self,
        addresses: tuple[Address, ...],
        tried: Collection[Address],
    ) -> tuple[Address, ...]:
        """Return the best candidates for the next attempt.

        These are the addresses neither tried nor avoided, else those not
        tried, else all.
        """
        now_s = asyncio.get_running_loop().time()
        untried = tuple(
            address for address in addresses if address not in tried
        )
        working = tuple(
            address
            for address in untried
            if self._avoid_until_by_address.get(address, now_s) <= now_s
        )
        return working or untried or addresses

    def _choose_random(self, choices: tuple[_ChoiceT, ...]) -> _ChoiceT:
        return choices[int(self._draw() * len(choices))]
