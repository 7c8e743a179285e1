"""Numbered result codes and the `Failure` that functions return with one."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from boragespool.types import RunState


class ResultCode(enum.IntEnum):
    """Outcome of an operation; ``docs/result-codes.md`` explains each code.

    Codes 1000 to 1999 are answers to callers, 2000 to 2999 concern settings,
    revisions and the store, and 3000 to 3999 concern requests to other daemons
    and to backend servers.
    """

    COMPLETE = 1000
    PARTIAL = 1001
    CLAIM_RUN = 1002
    NOT_RUN_SEALED = 1010
    OUTCOME_UNKNOWN = 1011
    CLAIM_FAILED = 1012
    MALFORMED_HTTP = 1100
    AMBIGUOUS_LENGTH = 1101
    HEADERS_TOO_LARGE = 1102
    BODY_TOO_LARGE = 1103
    REQUEST_TIMEOUT = 1104
    UNKNOWN_PATH = 1105
    WRONG_METHOD = 1106
    TOO_MANY_CONNECTIONS = 1107
    TINY_CHUNKS = 1108
    MALFORMED_BODY = 1110
    DUPLICATE_KEY = 1111
    UNKNOWN_ROUTE = 1112
    UNKNOWN_RANK = 1113
    DEADLINE_PASSED = 1114
    BAD_TICKET = 1115
    TICKET_REUSED = 1116
    WRONG_FORM = 1117
    MALFORMED_PARAMETER = 1118
    QUEUE_FULL = 1200
    DEADLINE_UNREACHABLE = 1201
    NO_SNAPSHOT = 1202
    NO_SERVER = 1203
    REQUEST_BLOCKED = 1204
    LEAVING = 1205
    NOT_READY = 1206
    NO_WITNESS = 1207
    CANCELLED = 1208
    OVERLOADED = 1209
    INTERNAL_ERROR = 1299
    INVALID_SETTING = 2000
    UNKNOWN_SETTING = 2001
    UNREADABLE_FILE = 2002
    REVISION_CONFLICT = 2010
    REVISION_UNKNOWN = 2011
    APPLY_UNCONFIRMED = 2012
    VALUE_TOO_LARGE = 2013
    STORE_UNAVAILABLE = 2020
    PEER_UNREACHABLE = 3000
    PEER_VERSION = 3001
    PEER_REFUSED = 3002
    SERVER_UNREACHABLE = 3100
    SERVER_SHED = 3101
    SERVER_DRAINING = 3102
    VERSION_NOT_HELD = 3103
    SERVER_REPLY_INVALID = 3104
    SERVER_CLOSED = 3105
    SERVER_SILENT = 3106


_HTTP_STATUS_BY_CODE: Final = MappingProxyType(
    {
        ResultCode.COMPLETE: 200,
        ResultCode.PARTIAL: 200,
        ResultCode.CLAIM_RUN: 200,
        ResultCode.CLAIM_FAILED: 200,
        ResultCode.NOT_RUN_SEALED: 409,
        ResultCode.OUTCOME_UNKNOWN: 504,
        ResultCode.HEADERS_TOO_LARGE: 431,
        ResultCode.BODY_TOO_LARGE: 413,
        ResultCode.REQUEST_TIMEOUT: 408,
        ResultCode.TOO_MANY_CONNECTIONS: 503,
        ResultCode.UNKNOWN_PATH: 404,
        ResultCode.WRONG_METHOD: 405,
        ResultCode.UNKNOWN_ROUTE: 404,
        ResultCode.REQUEST_BLOCKED: 422,
        ResultCode.TICKET_REUSED: 409,
        ResultCode.INTERNAL_ERROR: 500,
        ResultCode.REVISION_CONFLICT: 409,
        ResultCode.QUEUE_FULL: 429,
    }
)
_FIRST_UNAVAILABLE_CODE: Final = 1200
_BAD_REQUEST: Final = 400
_UNAVAILABLE: Final = 503


def http_status(code: ResultCode) -> int:
    """Return the HTTP status that accompanies a result code.

    Parameters
    ----------
    code : ResultCode
        Code of an answer or a refusal.

    Returns
    -------
    int
        The listed status; otherwise 400 for codes below 1200, else 503.
    """
    default = _BAD_REQUEST if code < _FIRST_UNAVAILABLE_CODE else _UNAVAILABLE
    return _HTTP_STATUS_BY_CODE.get(code, default)


@dataclass(frozen=True, slots=True)
class Failure:
    """Returned in place of a result by an operation that failed.

    Attributes
    ----------
    code : ResultCode
        Kind of failure.
    reason : str
        Error message of one sentence.
    run : RunState
        Whether the work was executed. ``NOT_RUN`` guarantees that it was not.
    retry_after_s : float
        Time after which a retry can be useful, in seconds; 0 if unknown.
    """

    code: ResultCode
    reason: str
    run: RunState = RunState.NOT_RUN
    retry_after_s: float = 0
