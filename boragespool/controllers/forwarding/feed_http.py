"""Exchanges of change feeds between daemons, several prefixes at a time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final
from urllib.parse import urlencode

import msgspec

from boragespool.controllers.forwarding.feed import PrefixChanges
from boragespool.http import (
    ConnectionPool,
    ExchangeFailure,
    HttpRequest,
    HttpResponse,
)
from boragespool.item_store import HistoryLost
from boragespool.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Mapping, Sequence

    from boragespool.controllers.forwarding.feed import ChangeFeed
    from boragespool.types import Address, Seconds

FEED_PATH: Final = '/v1/feed'
_OK: Final = 200
_SEPARATOR: Final = ','
#: Longest time beyond the wait until the other daemon is given up, in
#: seconds; a paused daemon must not delay changes.
_TIMEOUT_S: Final = 0.4
#: Time in which the watches of a daemon gather for one exchange, in seconds;
#: they are asked again within one turn of the event loop.
_JOIN_S: Final = 0.01
#: Least wait that is worth an exchange of its own, in seconds.
_LEAST_WAIT_S: Final = 0.1
_CONNECTION_COUNT: Final = 8
_INCOMPLETE: Final = 'its answer is incomplete'

#: What another daemon knows of one prefix; None if its history is lost.
_Parts = tuple[PrefixChanges | None, ...]


@dataclass(slots=True)
class _Round:
    """Watches that are asked in one exchange."""

    after_by_prefix: dict[str, int] = field(default_factory=dict)
    answers_by_prefix: dict[str, asyncio.Future[PrefixChanges | str]] = field(
        default_factory=dict,
    )


class FeedClient:
    """Asks other daemons what changed, an async context manager.

    Parameters
    ----------
    wait_s : float
        Longest wait for a change at another daemon, in seconds.
    """

    def __init__(self, wait_s: Seconds) -> None:
        """Open nothing yet."""
        self._wait_s = wait_s
        self._pool = ConnectionPool(_CONNECTION_COUNT, _TIMEOUT_S)
        self._joining_by_address: dict[Address, _Round] = {}
        self._end_s_by_address: dict[Address, Seconds] = {}
        self._tasks = TaskSet()

    async def __aexit__(self, *exc_info: object) -> None:
        """Give up what is asked and close the idle connections."""
        await self._tasks.close()
        await self._pool.__aexit__(*exc_info)

    async def read(self, address: Address, prefix: str) -> PrefixChanges | str:
        """Return all items, or why the other daemon cannot tell."""
        parts_by_prefix = await self._exchange(address, {prefix: None}, 0)
        return parts_by_prefix.get(prefix, _INCOMPLETE)

    async def watch(
        self,
        address: Address,
        prefix: str,
        after_revision: int,
    ) -> PrefixChanges | str:
        """Wait for changes; watches of other prefixes share the exchange."""
        joined = self._joining_by_address.get(address)
        if joined is None:
            joined = _Round()
            self._joining_by_address[address] = joined
            self._tasks.spawn(self._run(address, joined))
        answer: asyncio.Future[PrefixChanges | str]
        answer = asyncio.get_running_loop().create_future()
        joined.after_by_prefix[prefix] = after_revision
        joined.answers_by_prefix[prefix] = answer
        return await answer

    async def _run(self, address: Address, joined: _Round) -> None:
        await asyncio.sleep(_JOIN_S)
        self._joining_by_address.pop(address, None)
        parts_by_prefix = await self._exchange(
            address,
            joined.after_by_prefix,
            self._wait_until_next_end_s(address),
        )
        for prefix, answer in joined.answers_by_prefix.items():
            if not answer.done():
                answer.set_result(parts_by_prefix.get(prefix, _INCOMPLETE))

    def _wait_until_next_end_s(self, address: Address) -> Seconds:
        """Return a wait that ends with the one under way, if there is one.

        Watches that end together are asked in one exchange from then on.
        """
        now_s = asyncio.get_running_loop().time()
        left_s = self._end_s_by_address.get(address, 0) - now_s
        if left_s >= _LEAST_WAIT_S:
            return left_s
        self._end_s_by_address[address] = now_s + self._wait_s
        return self._wait_s

    async def _exchange(
        self,
        address: Address,
        after_by_prefix: Mapping[str, int | None],
        wait_s: Seconds,
    ) -> dict[str, PrefixChanges | str]:
        query = {
            'prefix': _SEPARATOR.join(after_by_prefix),
            'after': _SEPARATOR.join(
                '' if after is None else str(after)
                for after in after_by_prefix.values()
            ),
            'wait_s': round(wait_s, 3),
        }
        answer = await self._pool.exchange(
            address,
            HttpRequest('GET', f'{FEED_PATH}?{urlencode(query)}'),
            wait_s + _TIMEOUT_S,
        )
        parts = _decoded(answer)
        if isinstance(parts, str):
            return dict.fromkeys(after_by_prefix, parts)
        return {
            prefix: part or 'its history does not reach back'
            for prefix, part in zip(after_by_prefix, parts, strict=False)
        }


async def handle_feed_request(
    feeds_by_prefix: Mapping[str, ChangeFeed],
    request: HttpRequest,
    longest_wait_s: Seconds,
) -> HttpResponse:
    """Answer another daemon that reads through this one.

    The answer comes with the first change of any prefix that is asked for.
    """
    query = request.query
    prefixes = query.get('prefix', '').split(_SEPARATOR)
    if not feeds_by_prefix.keys() >= set(prefixes):
        return HttpResponse(404)
    try:
        afters = [
            int(after) if after else None
            for after in query.get('after', '').split(_SEPARATOR)
        ]
        wait_s = min(longest_wait_s, float(query.get('wait_s', 0)))
    except ValueError:
        return HttpResponse(400)
    if len(afters) != len(prefixes):
        return HttpResponse(400)
    feeds = [feeds_by_prefix[prefix] for prefix in prefixes]
    asked = list(zip(feeds, afters, strict=True))
    if wait_s > 0:
        await _first([feed.wait(after) for feed, after in asked], wait_s)
    parts = [feed.read(after) for feed, after in asked]
    return HttpResponse(
        _OK,
        msgspec.msgpack.encode(
            [None if isinstance(part, HistoryLost) else part for part in parts]
        ),
        'application/msgpack',
    )


async def _first(
    waits: Sequence[Awaitable[object]],
    timeout_s: Seconds,
) -> None:
    """Return when the first one is done or the time is over; end them."""
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    try:
        await asyncio.wait(
            tasks,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for task in tasks:
            task.cancel()


def _decoded(answer: HttpResponse | ExchangeFailure) -> _Parts | str:
    """Return the changes, or why there are none."""
    if isinstance(answer, ExchangeFailure):
        return answer.reason
    if answer.status != _OK:
        return f'status {answer.status}'
    try:
        return msgspec.msgpack.decode(answer.body, type=_Parts)
    except msgspec.MsgspecError as error:
        return f'invalid answer: {error}'
