"""Slot time of one rank: when its queue counts as a flood."""

from __future__ import annotations

from boragespool.ranks.account import SlotAccount
from boragespool.ranks.work import QueuedWork
from boragespool.types import Rank

SERVICE_S = 0.2


def flooded_account():
    """Return an account whose queue has been full for two seconds."""
    account = SlotAccount()
    work = QueuedWork('a', Rank.URGENT, 0, 10)
    account.start(work, 0)
    account.finish('a', SERVICE_S, served=True)
    for step in range(21):
        account.advance(step / 10, 1, waiting=True)
    assert account.is_flooded
    return account


def test_short_gap_does_not_end_a_flood():
    """Refused callers come back after a moment; floors must not give way."""
    account = flooded_account()
    account.advance(2.02, 1, waiting=False)
    account.advance(2.04, 1, waiting=True)
    assert account.is_flooded


def test_empty_queue_ends_a_flood():
    """Floors must give way once the higher rank has room."""
    account = flooded_account()
    account.advance(2.06, 1, waiting=False)
    account.advance(2.08, 1, waiting=True)
    assert not account.is_flooded
