"""Refusals of work by a queue; each states that the work was not run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.ranks.work import RefusedWork
from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from boragespool.ranks.work import QueuedWork
    from boragespool.types import Seconds

#: Upper bound of the reported ``retry_after_s``; also used for infinite waits.
_MAX_RETRY_AFTER_S: Final = 60


def refuse_unreachable(
    work: QueuedWork,
    now_s: Seconds,
    estimated_wait_s: Seconds,
) -> RefusedWork:
    """Return the refusal of work that cannot meet its deadline or missed it."""
    left_s = work.deadline_at_s - now_s
    rank = work.rank.value
    reason = (
        f'{left_s:.3f} s are left for {rank!r} work and the estimated wait '
        f'is {estimated_wait_s:.3f} s'
    )
    return _refuse(
        work, ResultCode.DEADLINE_UNREACHABLE, reason, estimated_wait_s
    )


def refuse_queue_full(
    work: QueuedWork,
    limit: int,
    estimated_wait_s: Seconds,
) -> RefusedWork:
    """Return the refusal of work whose caller used up its queue share."""
    rank = work.rank.value
    reason = (
        f'caller {work.caller!r} has its fair share of the {limit} {rank!r} '
        'requests that may wait'
    )
    return _refuse(work, ResultCode.QUEUE_FULL, reason, estimated_wait_s)


def _refuse(
    work: QueuedWork,
    code: ResultCode,
    reason: str,
    estimated_wait_s: Seconds,
) -> RefusedWork:
    retry_after_s = min(estimated_wait_s, _MAX_RETRY_AFTER_S)
    return RefusedWork(
        work,
        Failure(code, reason, retry_after_s=retry_after_s),
    )
