"""Records results of attempts in the observations about backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.messages import WorkReply
from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from boragespool.routing import ServerObservations
    from boragespool.types import Seconds, ServerName

#: Results that are no sign of a failed server or connection.
_HEALTHY_CODES: Final = frozenset(
    (
        ResultCode.COMPLETE,
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.REQUEST_BLOCKED,
        ResultCode.CANCELLED,
        ResultCode.SERVER_SHED,
        ResultCode.VERSION_NOT_HELD,
        ResultCode.SERVER_REPLY_INVALID,
    )
)


def record_attempt_result(
    observations: ServerObservations,
    server: ServerName,
    result: WorkReply | Failure,
    latency_s: Seconds,
    now_s: Seconds,
) -> None:
    """Record the result of an attempt after `observations.record_sent`.

    Parameters
    ----------
    observations : ServerObservations
        Observations of this daemon about backend servers.
    server : str
        Backend server that the attempt was sent to.
    result : WorkReply or Failure
        Result of the attempt.
    latency_s : float
        Time since the attempt was sent, in seconds.
    now_s : float
        Current monotonic time, in seconds.
    """
    if isinstance(result, WorkReply):
        observations.record_waits(server, result.waits_s, now_s)
    if result.code == ResultCode.COMPLETE:
        observations.record_success(server, latency_s, now_s)
    elif result.code == ResultCode.SERVER_DRAINING:
        observations.record_draining(server, now_s)
    elif result.code in _HEALTHY_CODES:
        observations.record_refusal(server)
    else:
        observations.record_failure(server, now_s)
