"""Numbered log events and the configuration of the JSON logger."""

from __future__ import annotations

import enum
import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from boragespool.log_output import BoundedHandler, BoundedOutput


class Event(enum.IntEnum):
    """Number of a log event; ``docs/events.md`` describes each event.

    100s: process life cycle; 200s: callers; 300s: queries and dispatch; 400s:
    backend servers; 500s: claims; 600s: membership and links between daemons;
    700s: configuration; 800s: platform and its store.
    """

    PROCESS_STARTED = 100
    PROCESS_READY = 101
    STOP_REQUESTED = 102
    STOP_LEFT_ADDRESSES = 103
    STOP_DRAINED = 104
    STOP_HANDED_OVER = 105
    PROCESS_STOPPED = 106
    SETTING_REJECTED = 107
    TASK_FAILED = 108
    ADDRESS_UNUSABLE = 109
    SETTINGS_RELOADED = 110
    LINES_OMITTED = 111
    CALLER_REJECTED = 200
    HANDLER_FAILED = 201
    ADMISSION_CHANGED = 202
    REQUEST_FORWARDED = 203
    QUERY_PARTIAL = 300
    QUERY_RESTARTED = 301
    WORK_REFUSED = 302
    WORK_PREEMPTED = 303
    SERVER_STATE_CHANGED = 400
    SERVER_LIMIT_CHANGED = 401
    CONNECTION_SILENT = 402
    SERVER_CRASH_SUSPECTED = 403
    REQUEST_BLOCKED = 404
    REQUEST_UNBLOCKED = 405
    SERVER_REPLY_REJECTED = 406
    REGISTRATION_REJECTED = 407
    SERVER_CHECKED = 408
    LOSSES_REPORTED = 409
    SERVER_RATE_LIMIT = 410
    SUSPECT_CLEARED = 411
    SERVER_NOT_CHECKED = 412
    CLAIM_SEALED = 500
    CLAIM_UNKNOWN = 501
    CLAIM_RECORDS_HANDED_OVER = 502
    CLAIM_RECORDS_DROPPED = 503
    MEMBER_STATUS_CHANGED = 600
    PEER_LINK_SILENT = 601
    PEER_FRAME_REJECTED = 602
    REVISION_IN_FORCE = 700
    REVISION_REJECTED = 701
    STORE_UNAVAILABLE = 800
    STORE_AVAILABLE = 801
    HOST_LIST_CHANGED = 802
    STORE_HISTORY_LOST = 803
    LEASE_HELD = 804
    LEASE_LOST = 805
    FEED_UNUSABLE = 806
    HOST_LOAD_CHANGED = 807


_LOGGER = logging.getLogger('boragespool')


def configure_logging(level: str, stream: TextIO | None = None) -> None:
    """Log events to a stream, one JSON object per line.

    Parameters
    ----------
    level : str
        Name of a `logging` level, such as ``'INFO'``.
    stream : TextIO, optional
        Stream to write to; standard error by default.
    """
    _replace_handlers(logging.StreamHandler(stream or sys.stderr), level)


def configure_bounded_logging(level: str, descriptor: int) -> None:
    """Log events to a file descriptor with a rate limit and without blocking.

    Lines that exceed the limits of `BoundedOutput` are dropped and counted.

    Parameters
    ----------
    level : str
        Name of a `logging` level.
    descriptor : int
        File descriptor, such as that of standard output.
    """
    _replace_handlers(
        BoundedHandler(BoundedOutput(descriptor), _make_omission_record),
        level,
    )


def _make_omission_record(count: int) -> logging.LogRecord:
    return _LOGGER.makeRecord(
        _LOGGER.name,
        logging.WARNING,
        __file__,
        0,
        f'{count} lines were omitted',
        (),
        None,
        extra={
            'event': int(Event.LINES_OMITTED),
            'event_name': Event.LINES_OMITTED.name,
            'omitted': count,
        },
    )


def _replace_handlers(handler: logging.Handler, level: str) -> None:
    """Make a handler the only one of the ``boragespool`` logger."""
    handler.setFormatter(
        JsonFormatter('%(asctime)s %(levelname)s %(message)s'),
    )
    for previous in tuple(_LOGGER.handlers):
        _LOGGER.removeHandler(previous)
    _LOGGER.addHandler(handler)
    _LOGGER.setLevel(level)
    _LOGGER.propagate = False


def log_event(
    event: Event,
    message: str,
    *,
    level: int = logging.INFO,
    **fields: Any,
) -> None:
    """Log one numbered event.

    Parameters
    ----------
    event : Event
        Number of the event.
    message : str
        One sentence for the reader of the log.
    level : int
        `logging` level.
    **fields
        Additional keys of the JSON object.
    """
    if _LOGGER.isEnabledFor(level):
        event_fields = {'event': int(event), 'event_name': event.name}
        _LOGGER.log(level, message, extra=event_fields | fields)
