"""Choice of the running work that is cancelled in favour of other ranks."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from boragespool.ranks.account import RunningWork, SlotAccount


def all_running(accounts: Iterable[SlotAccount]) -> Iterator[RunningWork]:
    """Yield the running work of all ranks."""
    for account in accounts:
        yield from account.running_by_attempt.values()


def choose_preemption_candidates(
    running: Iterable[RunningWork],
    excess_slots: int,
    wanted_slots: int,
) -> Sequence[RunningWork]:
    """Return the work of one rank to cancel while the rank exceeds its cap.

    Parameters
    ----------
    running : iterable of RunningWork
        Work of the rank that holds slots.
    excess_slots : int
        Number of slots that the rank holds above its cap.
    wanted_slots : int
        Number of slots that other ranks need.

    Returns
    -------
    sequence of RunningWork
        The work that started last and may be cancelled, so that the least
        slot time is lost. Work that is being cancelled already is left out.
    """
    newest_first = sorted(
        running,
        key=lambda entry: entry.started_s,
        reverse=True,
    )
    preempted_count = sum(entry.preempted for entry in newest_first)
    candidates = [
        entry
        for entry in newest_first
        if entry.work.cancellable and not entry.preempted
    ]
    return candidates[
        : max(0, min(excess_slots - preempted_count, wanted_slots))
    ]
