"""HTTP client and handler for change feeds between daemons.

One exchange asks for the changes of several prefixes. The handler is a long
poll: it responds with the first change of any of them, or after a wait.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, TypeAlias
from urllib.parse import urlencode

import msgspec

from boragespool.controllers.forwarding.feed import PrefixChanges
from boragespool.http import (
    ConnectionPool,
    ExchangeFailure,
    HttpRequest,
    HttpResponse,
    ResponseBuffers,
)
from boragespool.item_store import HistoryLost
from boragespool.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Mapping, Sequence

    from boragespool.controllers.forwarding.feed import ChangeFeed
    from boragespool.http import ResponseLimits
    from boragespool.types import Address, Seconds

FEED_PATH: Final = '/v1/feed'
_STATUS_OK: Final = 200
_STATUS_NOT_READY: Final = 503
_SEPARATOR: Final = ','
#: Timeout of an exchange beyond its wait, in seconds; a paused daemon must not
#: delay changes.
_RESPONSE_MARGIN_S: Final = 0.4
#: Delay in which watches are batched into one exchange, in seconds; the
#: watches of a completed exchange are sent again within one iteration of the
#: event loop.
_BATCH_DELAY_S: Final = 0.01
#: Minimum wait of an exchange that ends together with an earlier one, in
#: seconds; a shorter one would not be worth an exchange.
_MIN_WAIT_S: Final = 0.1
_CONNECTION_COUNT: Final = 8
_INCOMPLETE_MESSAGE: Final = 'its response is incomplete'

#: Changes of the requested prefixes, in their order; None for a prefix whose
#: history does not reach back to the requested revision.
_ChangesTuple = tuple[PrefixChanges | None, ...]
#: Changes of one prefix; the reason as text if the other daemon sent none.
_FeedResult: TypeAlias = PrefixChanges | HistoryLost | str


@dataclass(slots=True)
class _WatchBatch:
    """Watches that are sent to one daemon in one exchange."""

    after_by_prefix: dict[str, int] = field(default_factory=dict)
    answers_by_prefix: dict[str, asyncio.Future[_FeedResult]] = field(
        default_factory=dict,
    )


class FeedClient:
    """Client for the change feeds of other daemons.

    It has no `__aenter__`; `__aexit__` closes it.

    Parameters
    ----------
    wait_s : float
        Maximum time that another daemon waits for a change, in seconds.
    limits : ResponseLimits, optional
        Limits of the responses of all other daemons together.
    """

    def __init__(
        self, wait_s: Seconds, limits: ResponseLimits | None = None
    ) -> None:
        """Set up the client without open connections."""
        self._wait_s = wait_s
        self._pool = ConnectionPool(
            _CONNECTION_COUNT, _RESPONSE_MARGIN_S, ResponseBuffers(limits)
        )
        self._open_batches_by_address: dict[Address, _WatchBatch] = {}
        self._wait_ends_at_s_by_address: dict[Address, Seconds] = {}
        self._tasks = TaskSet()

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel the exchanges in progress and close idle connections."""
        await self._tasks.close()
        await self._pool.__aexit__(*exc_info)

    async def read(self, address: Address, prefix: str) -> _FeedResult:
        """Return all items of a prefix without waiting.

        Returns
        -------
        PrefixChanges, HistoryLost or str
            The reason as text if the other daemon sent no changes.
        """
        changes_by_prefix = await self._exchange(address, {prefix: None}, 0)
        return changes_by_prefix.get(prefix, _INCOMPLETE_MESSAGE)

    async def check(
        self,
        address: Address,
        prefix: str,
        after_revision: int,
    ) -> _FeedResult:
        """Return the changes of a prefix after a revision without waiting.

        Returns
        -------
        PrefixChanges, HistoryLost or str
            `HistoryLost` if the other daemon lacks changes after the revision;
            the reason as text if it sent none.
        """
        changes_by_prefix = await self._exchange(
            address, {prefix: after_revision}, 0
        )
        return changes_by_prefix.get(prefix, _INCOMPLETE_MESSAGE)

    async def watch(
        self,
        address: Address,
        prefix: str,
        after_revision: int,
    ) -> _FeedResult:
        """Wait for changes of a prefix after a revision.

        Watches of several prefixes at one daemon share an exchange.

        Returns
        -------
        PrefixChanges, HistoryLost or str
            The changes, which may be none; `HistoryLost` if the other daemon
            lacks changes after the revision; the reason as text if it sent
            none.
        """
        batch = self._open_batches_by_address.get(address)
        if batch is None:
            batch = _WatchBatch()
            self._open_batches_by_address[address] = batch
            self._tasks.spawn(self._send_batch(address, batch))
        future: asyncio.Future[_FeedResult]
        future = asyncio.get_running_loop().create_future()
        batch.after_by_prefix[prefix] = after_revision
        batch.answers_by_prefix[prefix] = future
        return await future

    async def _send_batch(self, address: Address, batch: _WatchBatch) -> None:
        await asyncio.sleep(_BATCH_DELAY_S)
        self._open_batches_by_address.pop(address, None)
        changes_by_prefix = await self._exchange(
            address,
            batch.after_by_prefix,
            self._remaining_wait_s(address),
        )
        for prefix, future in batch.answers_by_prefix.items():
            if not future.done():
                future.set_result(
                    changes_by_prefix.get(prefix, _INCOMPLETE_MESSAGE)
                )

    def _remaining_wait_s(self, address: Address) -> Seconds:
        """Return how long the next exchange may wait, in seconds.

        It ends together with the exchange in progress, if there is one, so
        that the watches share one exchange from then on.
        """
        now_s = asyncio.get_running_loop().time()
        left_s = self._wait_ends_at_s_by_address.get(address, 0) - now_s
        if left_s >= _MIN_WAIT_S:
            return left_s
        self._wait_ends_at_s_by_address[address] = now_s + self._wait_s
        return self._wait_s

    async def _exchange(
        self,
        address: Address,
        after_by_prefix: Mapping[str, int | None],
        wait_s: Seconds,
    ) -> dict[str, _FeedResult]:
        query = {
            'prefix': _SEPARATOR.join(after_by_prefix),
            'after': _SEPARATOR.join(
                '' if after is None else str(after)
                for after in after_by_prefix.values()
            ),
            'wait_s': round(wait_s, 3),
        }
        response = await self._pool.exchange(
            address,
            HttpRequest('GET', f'{FEED_PATH}?{urlencode(query)}'),
            wait_s + _RESPONSE_MARGIN_S,
        )
        changes = _decode_response(response)
        if isinstance(changes, str):
            return dict.fromkeys(after_by_prefix, changes)
        return {
            prefix: HistoryLost() if change is None else change
            for prefix, change in zip(after_by_prefix, changes, strict=False)
        }


async def handle_feed_request(
    feeds_by_prefix: Mapping[str, ChangeFeed],
    request: HttpRequest,
    max_wait_s: Seconds,
) -> HttpResponse:
    """Return the response to another daemon that reads through this one.

    It is sent after the first change of any requested prefix or the requested
    wait; at once if `ChangeFeed.read` already returns changes or `HistoryLost`.
    The status is 404 for an unknown prefix, 400 for parameters that cannot be
    parsed and 503 if this daemon has not read a prefix yet.

    Parameters
    ----------
    feeds_by_prefix : mapping of str to ChangeFeed
        Feeds of this daemon.
    request : HttpRequest
        Request with the query parameters ``prefix``, ``after`` and
        ``wait_s``; the first two are lists separated by commas.
    max_wait_s : float
        Upper bound of the requested wait, in seconds.
    """
    query = request.query
    prefixes = query.get('prefix', '').split(_SEPARATOR)
    if not feeds_by_prefix.keys() >= set(prefixes):
        return HttpResponse(404)
    try:
        after_revisions = [
            int(after) if after else None
            for after in query.get('after', '').split(_SEPARATOR)
        ]
        wait_s = min(max_wait_s, float(query.get('wait_s', 0)))
    except ValueError:
        return HttpResponse(400)
    if len(after_revisions) != len(prefixes):
        return HttpResponse(400)
    feeds = [feeds_by_prefix[prefix] for prefix in prefixes]
    if not all(feed.has_state for feed in feeds):
        return HttpResponse(_STATUS_NOT_READY)
    feeds_and_revisions = list(zip(feeds, after_revisions, strict=True))
    if wait_s > 0:
        await _wait_for_first(
            [feed.wait(after) for feed, after in feeds_and_revisions], wait_s
        )
    changes = [feed.read(after) for feed, after in feeds_and_revisions]
    return HttpResponse(
        _STATUS_OK,
        msgspec.msgpack.encode(
            [
                None if isinstance(change, HistoryLost) else change
                for change in changes
            ]
        ),
        'application/msgpack',
    )


async def _wait_for_first(
    waits: Sequence[Awaitable[object]],
    timeout_s: Seconds,
) -> None:
    """Wait for the first awaitable or the timeout, then cancel the rest."""
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


def _decode_response(
    response: HttpResponse | ExchangeFailure,
) -> _ChangesTuple | str:
    """Return the changes by position, or the reason why there are none."""
    if isinstance(response, ExchangeFailure):
        return response.reason
    if response.status != _STATUS_OK:
        return f'status {response.status}'
    try:
        return msgspec.msgpack.decode(response.body, type=_ChangesTuple)
    except msgspec.MsgspecError as error:
        return f'invalid response: {error}'
