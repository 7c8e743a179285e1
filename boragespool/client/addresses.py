"""Addresses and tickets that a client holds."""

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

# After a failed refresh the old addresses are used this long.
_RETRY_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket that was not used yet; `issuer` is the daemon's address."""

    text: str
    issuer: Address
    taken_s: Seconds


class AddressBook:
    """The cached address answer of one client.

    Parameters
    ----------
    options : ClientOptions
        First addresses and bounds.
    channel : Channel
        Connections.
    draw : callable
        Returns a random number in ``[0, 1)``.
    """

    def __init__(
        self,
        options: ClientOptions,
        channel: Channel,
        draw: Callable[[], float],
    ) -> None:
        """Start with the addresses of the options."""
        self._options = options
        self._channel = channel
        self._draw = draw
        self._addresses = options.addresses
        self._keep_until_s = float('-inf')
        self._avoid_until_by_address: dict[Address, Seconds] = {}
        self._tickets: deque[Ticket] = deque(maxlen=options.ticket_limit)
        self._fetching = asyncio.Lock()

    def avoid(self, address: Address) -> None:
        """Prefer other addresses for a while; drop tickets from there."""
        until_s = asyncio.get_running_loop().time() + self._options.avoid_s
        self._avoid_until_by_address[address] = until_s
        for ticket in tuple(self._tickets):
            if ticket.issuer == address:
                self._tickets.remove(ticket)

    async def pick(
        self,
        tried: Collection[Address],
        deadline_s: Seconds,
    ) -> Address:
        """Return the less loaded of two random addresses.

        Parameters
        ----------
        tried : collection of str
            Addresses that this request used already; used again only when
            no other is known.
        deadline_s : float
            Time on the clock of the event loop at which to stop waiting for
            a new address answer.
        """
        if time_left_s(self._keep_until_s) <= 0:
            await self._refresh(deadline_s)
        candidates = self._prefer(self._addresses, tried)
        if all(address in tried for address in candidates):
            candidates = self._prefer(
                self._addresses + self._options.addresses,
                tried,
            )
        loads = self._channel.in_flight_by_address
        return min(
            self._choose(candidates),
            self._choose(candidates),
            key=lambda address: loads[address],
        )

    async def take_ticket(self, deadline_s: Seconds) -> Ticket | Failure:
        """Return an unused ticket, fetching new ones if there is none.

        Returns
        -------
        Ticket or Failure
            ``NOT_READY`` if no daemon gave a ticket before the deadline.
        """
        while True:
            ticket = self._pop_ticket()
            if ticket is not None:
                return ticket
            left_s = time_left_s(deadline_s)
            if left_s <= 0:
                return Failure(
                    ResultCode.NOT_READY,
                    'no daemon gave a ticket before the deadline',
                )
            if not await self._refresh(deadline_s, for_ticket=True):
                await asyncio.sleep(min(_RETRY_S, left_s))

    async def _refresh(
        self,
        deadline_s: Seconds,
        *,
        for_ticket: bool = False,
    ) -> bool:
        """Fetch once for all requests that wait; tell whether it worked."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline_s), self._fetching:
                is_done = time_left_s(self._keep_until_s) > 0
                if for_ticket:
                    is_done = bool(self._tickets)
                if is_done:
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
        """Ask one address after another; tell whether tickets came."""
        self._keep_until_s = asyncio.get_running_loop().time() + _RETRY_S
        tried: set[Address] = set()
        known = self._addresses + self._options.addresses
        while len(tried) < len(set(known)) and time_left_s(deadline_s) > 0:
            address = self._choose(self._prefer(known, tried))
            tried.add(address)
            answer = await self._ask(address, time_left_s(deadline_s))
            if answer is not None:
                self._keep(address, answer)
                if answer.tickets:
                    return True
        return False

    async def _ask(
        self,
        address: Address,
        left_s: Seconds,
    ) -> AddressAnswer | None:
        asked = {'tickets': str(self._options.ticket_count)}
        if self._options.data_centre:
            asked['data_centre'] = self._options.data_centre
        parameters = urlencode(asked)
        reply = await self._channel.get(
            address,
            f'/v1/addresses?{parameters}',
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

    def _keep(self, address: Address, answer: AddressAnswer) -> None:
        now_s = asyncio.get_running_loop().time()
        if answer.addresses:
            self._addresses = answer.addresses
            self._keep_until_s = now_s + answer.keep_s
        self._tickets.extend(
            Ticket(text, address, now_s) for text in answer.tickets
        )

    def _prefer(
        self,
        addresses: tuple[Address, ...],
        tried: Collection[Address],
    ) -> tuple[Address, ...]:
        """Return the untried addresses, those that work first."""
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

    def _choose(self, choices: tuple[_ChoiceT, ...]) -> _ChoiceT:
        return choices[int(self._draw() * len(choices))]
