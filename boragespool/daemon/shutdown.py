"""Graceful stop of a daemon, which lets requests in flight finish."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, PHASE
from boragespool.events import Event, log_event
from boragespool.settings import Settings
from boragespool.types import Phase

if TYPE_CHECKING:
    from boragespool.daemon.entry import EntryDaemon

_IDLE_POLL_INTERVAL_S: Final = 0.02
#: Time without anything in flight that is required before connections are
#: closed, in seconds.
_MIN_IDLE_S: Final = 0.1
#: Number of ping intervals in which gossip reaches the members that are not
#: notified directly that this daemon is leaving. Until then they may still
#: give its address to callers.
_LEAVE_SPREAD_INTERVALS: Final = 2
#: Timeout for sending the last messages to peers, in seconds.
_FLUSH_TIMEOUT_S: Final = 0.5


async def stop_gracefully(entry: EntryDaemon) -> bool:
    """Stop a daemon without interrupting requests, and close it.

    The daemon announces that it leaves, serves until nothing is in flight,
    and hands its claim records over to another daemon.

    Parameters
    ----------
    entry : EntryDaemon
        Running daemon; it is closed afterwards.

    Returns
    -------
    bool
        Whether all phases were finished within ``stop_timeout_s``. If not,
        requests may have been interrupted.
    """
    host = entry.options.host
    is_complete = True
    try:
        async with asyncio.timeout(entry.options.stop_timeout_s):
            await _run_stop_phases(entry)
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


async def _run_stop_phases(entry: EntryDaemon) -> None:
    host = entry.options.host
    keep_s = _address_keep_s(entry)
    log_event(
        Event.STOP_REQUESTED,
        f'daemon {host!r} is stopping; callers may use its address for '
        f'another {keep_s!r} s',
        host=host,
        keep_s=keep_s,
    )
    entry.context.board.post(PHASE, Phase.LEAVING)
    entry.controllers.membership.leave()
    spread_s = (
        _LEAVE_SPREAD_INTERVALS * entry.options.membership.ping_interval_s
    )
    await asyncio.sleep(keep_s + spread_s)
    log_event(
        Event.STOP_LEFT_ADDRESSES,
        'the address of this daemon has expired at all callers',
        host=host,
        in_flight=entry.in_flight,
    )
    await _wait_until_idle(entry)
    log_event(Event.STOP_DRAINED, 'no requests are in flight', host=host)
    await entry.controllers.dispatch.drain(entry.options.stop_timeout_s)
    successor = await entry.controllers.claims.hand_over()
    if successor is not None:
        entry.controllers.membership.set_successor(successor)
    log_event(
        Event.STOP_HANDED_OVER,
        f'handover of claim records finished; successor is {successor!r}',
        host=host,
        successor=successor,
    )
    await entry.http.drain(entry.options.stop_timeout_s)
    await entry.context.peers.flush(_FLUSH_TIMEOUT_S)


async def _wait_until_idle(entry: EntryDaemon) -> None:
    """Wait until nothing has been in flight for `_MIN_IDLE_S`."""
    idle_s: float = 0
    while idle_s < _MIN_IDLE_S:
        await asyncio.sleep(_IDLE_POLL_INTERVAL_S)
        is_busy = entry.in_flight or not entry.controllers.claims.idle
        idle_s = 0 if is_busy else idle_s + _IDLE_POLL_INTERVAL_S


def _address_keep_s(entry: EntryDaemon) -> float:
    document = entry.context.board.read(DOCUMENT_IN_FORCE)
    settings = document.settings if document else Settings()
    return settings.addresses.keep_s
