"""Retry budgets: the limit of all daemons together, hedges and time."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.forwarding import AllowanceShare, RetryBudget, RetryLimits

DETERMINISTIC = settings(derandomize=True, max_examples=40, deadline=None)
LIMITS = RetryLimits(ratio=0.2, window_s=10, allowance=52)
STEP_S = 0.1


def count_in_window(times, begin_s):
    """Return how many times are in the 10 s from `begin_s`."""
    return sum(begin_s <= time_s < begin_s + 10 for time_s in times)


@DETERMINISTIC
@given(st.lists(st.integers(0, 12), min_size=1, max_size=6), st.integers(0, 9))
def test_sum_over_daemons_stays_below_the_limit(rates, burst):
    """Retries of all daemons together must stay within the common limit.

    Each daemon counts only its own requests, so fixed allowances that
    were not divided by the number of daemons would add up to more.
    """
    budgets = [RetryBudget(LIMITS) for _ in rates]
    requests, repeats = [], []
    for step in range(300):
        now_s = step * STEP_S
        for budget, rate in zip(budgets, rates, strict=True):
            for _ in range(rate + burst * (step % 50 == 0)):
                budget.record_request(now_s)
                requests.append(now_s)
                if budget.spend(now_s, 1 / len(rates), is_hedge=False):
                    repeats.append(now_s)
    for begin in range(0, 200, 5):
        allowed = 0.2 * count_in_window(requests, begin / 10) + 52
        assert count_in_window(repeats, begin / 10) <= allowed


def test_restarted_daemon_starts_with_a_small_allowance():
    """A restarted daemon must not start with the whole allowance.

    It does not know what was spent before the restart, so together they
    would exceed the limit.
    """
    fresh = RetryBudget(LIMITS)
    share = AllowanceShare(changed_at_s=0).changed(1, 0, 10).at(0, 10)
    spent = sum(fresh.spend(0, share, is_hedge=False) for _ in range(100))
    assert 0 < spent <= 0.3 * 52


def test_hedges_leave_a_reserve_for_retries():
    """Failed attempts must be retried although hedges used up their part."""
    budget = RetryBudget(LIMITS)
    while budget.spend(0, 1, is_hedge=True):
        pass
    assert sum(budget.spend(0, 1, is_hedge=False) for _ in range(100)) >= 5


def test_budget_recovers_after_the_window():
    """Retries must be possible again once the window has passed."""
    budget = RetryBudget(LIMITS)
    while budget.spend(0, 1, is_hedge=False):
        pass
    assert not budget.spend(5, 1, is_hedge=False)
    assert budget.spend(11, 1, is_hedge=False)
