"""Refusals of a queue; each promises that the work was not run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.ranks.work import RefusedWork
from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from boragespool.ranks.work import QueuedWork
    from boragespool.types import Seconds

#: Reported in place of an unknown or longer wait.
_LONGEST_WAIT_S: Final = 60


def unreachable(
    work: QueuedWork,
    now_s: Seconds,
    expected_s: Seconds,
) -> RefusedWork:
    """Refuse work that cannot meet its deadline, or missed it."""
    left_s = work.deadline_at_s - now_s
    rank = work.rank.value
    reason = (
        f'{left_s:.3f} s are left for {rank!r} work and the estimated wait '
        f'is {expected_s:.3f} s'
    )
    return _refuse(work, ResultCode.DEADLINE_UNREACHABLE, reason, expected_s)


def queue_full(
    work: QueuedWork,
    limit: int,
    expected_s: Seconds,
) -> RefusedWork:
    """Refuse work of a caller that has its fair share of a queue."""
    rank = work.rank.value
    reason = (
        f'caller {work.caller!r} has its fair share of the {limit} {rank!r} '
        'requests that may wait'
    )
    return _refuse(work, ResultCode.QUEUE_FULL, reason, expected_s)


def _refuse(
    work: QueuedWork,
    code: ResultCode,
    reason: str,
    expected_s: Seconds,
) -> RefusedWork:
    retry_after_s = min(expected_s, _LONGEST_WAIT_S)
    return RefusedWork(
        work,
        Failure(code, reason, retry_after_s=retry_after_s),
    )
