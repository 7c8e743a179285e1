"""Graceful stop: no request in flight is interrupted."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, PHASE
from boragespool.events import Event, log_event
from boragespool.settings import Settings
from boragespool.types import Phase

if TYPE_CHECKING:
    from boragespool.daemon.entry import Entry

_POLL_S: Final = 0.02
#: Nothing may have been in flight for this time before connections close.
_QUIET_S: Final = 0.1
#: Ping intervals in which members that are not told directly hear that this
#: daemon leaves; until then they may still give its address to callers.
_SPREAD_INTERVALS: Final = 2
#: Longest wait for the last messages to peers.
_FLUSH_S: Final = 0.5


async def stop_gracefully(entry: Entry) -> bool:
    """Leave, serve until nothing is in flight, hand over and close.

    Parameters
    ----------
    entry : Entry
        Running daemon; it is closed afterwards.

    Returns
    -------
    bool
        False if ``stop_timeout_s`` passed before all phases were done, in
        which case work may have been interrupted.
    """
    host = entry.options.host
    is_complete = True
    try:
        async with asyncio.timeout(entry.options.stop_timeout_s):
            await _finish_phases(entry)
    except TimeoutError:
        is_complete = False
    in_flight = entry.in_flight
    await entry.__aexit__()
    log_event(
        Event.PROCESS_STOPPED,
        f'daemon {host!r} stopped',
        level=logging.INFO if is_complete else logging.WARNING,
        host=host,
        complete=is_complete,
        in_flight=in_flight,
    )
    return is_complete


async def _finish_phases(entry: Entry) -> None:
    host = entry.options.host
    keep_s = _keep_s(entry)
    log_event(
        Event.STOP_REQUESTED,
        f'daemon {host!r} leaves; callers may use it for {keep_s!r} s more',
        host=host,
        keep_s=keep_s,
    )
    entry.context.board.post(PHASE, Phase.LEAVING)
    entry.parts.membership.leave()
    spread_s = _SPREAD_INTERVALS * entry.options.membership.ping_interval_s
    await asyncio.sleep(keep_s + spread_s)
    log_event(
        Event.STOP_LEFT_ADDRESSES,
        'no caller should know this daemon any more',
        host=host,
        in_flight=entry.in_flight,
    )
    await _wait_until_quiet(entry)
    log_event(Event.STOP_DRAINED, 'nothing is in flight', host=host)
    await entry.parts.dispatch.drain(entry.options.stop_timeout_s)
    successor = await entry.parts.claims.hand_over()
    if successor is not None:
        entry.parts.membership.set_successor(successor)
    log_event(
        Event.STOP_HANDED_OVER,
        f'claim records are at {successor!r}',
        host=host,
        successor=successor,
    )
    await entry.http.drain(entry.options.stop_timeout_s)
    await entry.context.peers.flush(_FLUSH_S)


async def _wait_until_quiet(entry: Entry) -> None:
    """Wait until nothing was in flight for a moment."""
    quiet_s: float = 0
    while quiet_s < _QUIET_S:
        await asyncio.sleep(_POLL_S)
        is_busy = entry.in_flight or not entry.parts.claims.idle
        quiet_s = 0 if is_busy else quiet_s + _POLL_S


def _keep_s(entry: Entry) -> float:
    document = entry.context.board.read(DOCUMENT_IN_FORCE)
    settings = document.settings if document else Settings()
    return settings.addresses.keep_s
