"""Slot time account of one rank: when its queue counts as flooded."""

from __future__ import annotations

from boragespool.ranks.account import SlotAccount
from boragespool.ranks.work import QueuedWork
from boragespool.types import Rank

SERVICE_S = 0.2


def flooded_account():
    """Return an account whose queue was never empty for two seconds."""
    account = SlotAccount()
    work = QueuedWork('a', Rank.URGENT, 0, 10)
    account.start(work, 0)
    account.finish('a', SERVICE_S, served=True)
    for step in range(21):
        account.advance(step / 10, 1, waiting=True)
    assert account.is_flooded
    return account


def test_short_gap_does_not_end_a_flood():
    """A flood must not end while its refused callers wait to retry.

    The queue is empty for a few milliseconds then. If that ended the flood,
    the floors of the other ranks would be given up at once.
    """
    account = flooded_account()
    account.advance(2.02, 1, waiting=False)
    account.advance(2.04, 1, waiting=True)
    assert account.is_flooded


def test_empty_queue_ends_a_flood():
    """A flood must end once the queue stays empty.

    Otherwise the floors of lower ranks would go on delaying its work.
    """
    account = flooded_account()
    account.advance(2.06, 1, waiting=False)
    account.advance(2.08, 1, waiting=True)
    assert not account.is_flooded
