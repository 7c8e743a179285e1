"""Which running work is cancelled to make room."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from boragespool.ranks.account import SlotAccount, Running


def all_running(accounts: Iterable[SlotAccount]) -> Iterator[Running]:
    """Yield the work that holds slots, of all ranks."""
    for account in accounts:
        yield from account.running_by_attempt.values()


def victims(
    running: Iterable[Running],
    excess: int,
    wanted: int,
) -> Sequence[Running]:
    """Choose among the running work of one rank above its cap.

    Parameters
    ----------
    running : iterable of Running
        Work of the rank that holds slots.
    excess : int
        Slots that the rank holds above its cap.
    wanted : int
        Slots that other ranks need.

    Returns
    -------
    sequence of Running
        The newest cancellable work, so that the least slot time is lost.
    """
    newest_first = sorted(
        running,
        key=lambda entry: entry.started_s,
        reverse=True,
    )
    already = sum(entry.preempted for entry in newest_first)
    candidates = [
        entry
        for entry in newest_first
        if entry.work.cancellable and not entry.preempted
    ]
    return candidates[: max(0, min(excess - already, wanted))]
